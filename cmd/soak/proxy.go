package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes that pass.
type mode int

const (
	passing   mode = iota
	delaying       // each chunk waits
	cutting        // bytes of the callee are held back: one way
	silencing      // all bytes are held back
)

// chunk is the size of what a proxy passes at once.
const chunk = 16 << 10

// proxy stands between a process and something that it calls.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

// newProxy passes connections on to the target.
func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target.String(), conns: make(map[net.Conn]bool)}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the proxy is closed
		}
		t, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = c.Close() // nothing was passed
			continue
		}
		p.track(c, t)
		p.done.Go(func() { p.pass(c, t, false) })
		p.done.Go(func() { p.pass(t, c, true) })
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// pass copies bytes in one direction.
func (p *proxy) pass(from, to net.Conn, back bool) {
	defer p.forget(from, to)
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.hold(back, from) {
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

// hold waits as the mode says, and reports whether the connection is still
// there.
func (p *proxy) hold(back bool, c net.Conn) bool {
	for {
		p.mu.Lock()
		m, alive := p.mode, p.conns[c]
		p.mu.Unlock()
		switch {
		case !alive:
			return false
		case m == delaying:
			time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
			return true
		case m == silencing, m == cutting && back:
			time.Sleep(10 * time.Millisecond)
		default:
			return true
		}
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // it may be closed already
		delete(p.conns, c)
	}
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // accept returns then
	p.reset()
	p.done.Wait()
}
