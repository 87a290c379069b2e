package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/standin"
)

// proxyMode is what a proxy does with the data that it forwards.
type proxyMode int

const (
	forwarding       proxyMode = iota
	delaying                   // each read is forwarded after 20 to 99 ms
	holdingResponses           // data from the target is held back, data to it is forwarded
	holdingAll                 // data is held back in both directions
)

// bufferBytes is the size of the read buffer of one direction.
const bufferBytes = 16 << 10

// proxy is a TCP proxy that injects network faults between a process and a server
// that it calls.
type proxy struct {
	listenAddress string
	target        string
	mu            sync.Mutex
	listener      net.Listener
	mode          proxyMode
	conns         map[net.Conn]bool
	refusals      int // faults that make the proxy refuse connections
	closed        bool
	wg            sync.WaitGroup
}

// newProxy listens on a free loopback port and forwards connections to the target.
func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := listenOnFreeAddress()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, listenAddress: l.Addr().String(), target: target.String(), conns: make(map[net.Conn]bool)}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

// listenOnFreeAddress listens at an address that no outgoing connection takes while the
// proxy refuses connections. Another process may take it between choice and use.
func listenOnFreeAddress() (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		address, err := standin.FreeAddress()
		if err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp4", address.String())
		if err == nil || attempt == listenAttempts {
			return l, err
		}
	}
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listenAddress) }

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		t, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = c.Close() // no data was forwarded
			continue
		}
		p.track(c, t)
		p.wg.Go(func() { p.forward(c, t, false) })
		p.wg.Go(func() { p.forward(t, c, true) })
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies data in one direction; response is set for data from the target.
func (p *proxy) forward(from, to net.Conn, response bool) {
	defer p.closeConns(from, to)
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitForMode(response, from) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForMode delays data as the present mode requires, and reports whether the
// connection is still open.
func (p *proxy) waitForMode(response bool, c net.Conn) bool {
	for {
		p.mu.Lock()
		m, open := p.mode, p.conns[c]
		p.mu.Unlock()
		switch {
		case !open:
			return false
		case m == delaying:
			time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
			return true
		case m == holdingAll, m == holdingResponses && response:
			time.Sleep(10 * time.Millisecond)
		default:
			return true
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // the other direction may have closed it
		delete(p.conns, c)
	}
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closes with RST instead of FIN
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// refuse makes the proxy refuse connections until as many calls of listen.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals++
	_ = p.listener.Close() // it may have been closed by an earlier fault
}

// listenAttempts bounds the attempts to listen at the proxy's address again, which
// another process may use for a moment.
const listenAttempts = 100

// listen ends the effect of a call of refuse.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals--
	if p.refusals > 0 || p.closed {
		return nil
	}
	var err error
	for range listenAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp4", p.listenAddress); err == nil {
			p.listener = l
			p.wg.Go(func() { p.accept(l) })
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close() // accept returns then
	p.mu.Unlock()
	p.reset()
	p.wg.Wait()
}
