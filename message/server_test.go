package message

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// pipes is a listener in memory, so that sockets follow the virtual clock.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{make(chan net.Conn), make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { close(p.closed); return nil }

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
}

// served runs a server of the handler in a bubble.
func served(t *testing.T, limits Limits, h http.HandlerFunc, test func(c *Client, p *pipes, s *Server, stop func())) {
	synctest.Test(t, func(*testing.T) {
		p := newPipes()
		ctx, stop := context.WithCancel(context.Background())
		s := NewServer(h, limits)
		go func() { _ = s.Run(ctx, p) }()
		c := NewClient(1 << 20)
		c.http.Transport.(*http.Transport).DialContext = p.dial
		defer func() { stop(); c.Close(); <-s.Done() }()
		test(c, p, s, stop)
	})
}

// ask sends an identifier and returns the code of the answer.
func ask(c *Client, id uuid.UUID, within time.Duration, body string) rosemarysill.Code {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var r Reply
	err := c.Send(ctx, netip.MustParseAddrPort("10.0.0.1:80"), id, func(s *sling.Sling) *sling.Sling {
		return s.Post("/").Body(strings.NewReader(body))
	}, &r)
	if err == nil {
		err = r.Err()
	}
	return rosemarysill.CodeOf(err)
}

func post(s *sling.Sling) *sling.Sling { return s.Post("/") }

func number(n int) uuid.UUID { return uuid.UUID{6: 0x70, 8: 0x80, 15: byte(n)} }

// echo answers Done to the identifier after the time that the body gives.
func echo(limits Limits) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.MustParse(r.Header.Get(IDHeader))
		data, err := Read(w, r, limits.BodyBytes, time.Now().Add(limits.ReadWithin))
		if err != nil {
			_ = Write(w, rosemarysill.CodeOf(err), ReplyTo(id, err), time.Now().Add(limits.WriteWithin))
			return
		}
		if string(data) == "panic" {
			panic("a fault of the handler")
		}
		if d, err := time.ParseDuration(string(data)); err == nil {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		_ = Write(w, rosemarysill.Done, NewReply(id, rosemarysill.Done, ""), time.Now().Add(limits.WriteWithin))
	}
}

// TestServerLimits guards against requests that use up memory or connections,
// and against read deadlines that cut off a request in progress.
func TestServerLimits(t *testing.T) {
	limits := DefaultLimits()
	limits.BodyBytes, limits.HeldBytes, limits.Requests = 100, 150, 2
	cases := map[string]struct {
		before string // body of a request that is in progress
		body   string
		want   rosemarysill.Code
	}{
		"within all limits":                  {"", "1s", rosemarysill.Done},
		"runs longer than the read deadline": {"", "20m", rosemarysill.Done},
		"too large":                          {"", strings.Repeat("x", 101), rosemarysill.TooLarge},
		"too large together":                 {strings.Repeat("0", 90) + "1s", strings.Repeat("x", 100), rosemarysill.Overloaded},
		"handler panics":                     {"", "panic", rosemarysill.OutcomeUnknown},
		"too many":                           {"1s", "", rosemarysill.Overloaded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := limits
			if c.before == "1s" || c.body == "panic" {
				l.Requests = 1
			}
			served(t, l, echo(l), func(client *Client, _ *pipes, _ *Server, _ func()) {
				done := make(chan rosemarysill.Code, 1)
				if c.before != "" {
					go func() {
						done <- ask(client, number(1), time.Hour, c.before)
					}()
					synctest.Wait()
				}
				got := ask(client, number(9), time.Hour, c.body)
				require.Equal(t, c.want, got)
				if c.before != "" {
					require.Equal(t, rosemarysill.Done, <-done)
				}
				require.Equal(t, rosemarysill.Done, ask(client, number(9), time.Hour, ""), "a place was not given back")
			})
		})
	}
}

// TestSlowAndBrokenSenders guards against connections that are held for ever
// and against a process that stops because of a malformed message.
func TestSlowAndBrokenSenders(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + IDHeader + ": " + number(1).String() + "\r\n"
	for name, c := range map[string]struct{ sent, want string }{
		"no end of the header":       {"POST / HT", "HTTP/1.1 4"},
		"no end of the body":         {head + "Content-Length: 10\r\n\r\nabc", "HTTP/1.1 422"},
		"chunks without end":         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", "HTTP/1.1 422"},
		"header too large":           {head + "X: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		"two lengths":                {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
		"not HTTP":                   {"\x16\x03\x01\x00\xff\r\n\r\n", "HTTP/1.1 400"},
		"chunk of impossible size":   {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "HTTP/1.1 422"},
		"body longer than the limit": {head + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1000), "HTTP/1.1 422"},
	} {
		t.Run(name, func(t *testing.T) {
			limits := DefaultLimits()
			limits.BodyBytes = 500
			served(t, limits, echo(limits), func(client *Client, p *pipes, _ *Server, _ func()) {
				conn, err := p.dial(context.Background(), "", "")
				require.NoError(t, err)
				go func() { _, _ = io.WriteString(conn, c.sent) }()
				line, _ := bufio.NewReader(conn).ReadString('\n')
				require.True(t, strings.HasPrefix(line, c.want), "%q", line)
				_ = conn.Close()
				require.Equal(t, rosemarysill.Done, ask(client, number(2), time.Minute, ""))
			})
		})
	}
}

// TestShutdownCutsNothingOff guards against a planned stop that loses requests
// in progress or answers new ones with a broken connection.
func TestShutdownCutsNothingOff(t *testing.T) {
	limits := DefaultLimits()
	served(t, limits, echo(limits), func(c *Client, _ *pipes, s *Server, stop func()) {
		codes := make(chan rosemarysill.Code, 5)
		for n := range 5 {
			go func() { codes <- ask(c, number(n+1), time.Hour, "10m") }()
		}
		synctest.Wait()
		stop()
		synctest.Wait()
		require.Equal(t, rosemarysill.ShuttingDown, ask(c, number(9), time.Minute, ""))
		for range 5 {
			require.Equal(t, rosemarysill.Done, <-codes)
		}
		<-s.Done()
		require.Equal(t, rosemarysill.Unreachable, ask(c, number(9), time.Minute, ""))
	})
}

// TestAnswersBelongToTheirRequests guards against an answer that reaches a later
// request on the same connections after an earlier one timed out.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	limits := DefaultLimits()
	served(t, limits, echo(limits), func(c *Client, _ *pipes, _ *Server, _ func()) {
		for n := range 20 {
			require.Equal(t, rosemarysill.OutcomeUnknown, ask(c, number(2*n), time.Second, fmt.Sprintf("%dms", 1001+n)))
			require.Equal(t, rosemarysill.Done, ask(c, number(2*n+1), time.Second, ""))
		}
	})
}
