package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"github.com/rosemarysill/rosemarysill"
)

var testLimits = Limits{
	Connections: 2, RPCConnections: 2, SmallConnections: 2, Requests: 2, BodyBytes: 100, MessageBytes: 100,
	BodyPause: time.Hour, BodyTime: time.Hour, AnswerTimeout: time.Hour,
}

// Guards against a body that is read past a limit, or whose refusal has another code
// than that of its cause.
func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		body io.Reader
		want rosemarysill.Code
	}{
		"whole":              {strings.NewReader("0123456789"), rosemarysill.Done},
		"at the limit":       {bytes.NewReader(make([]byte, 90)), rosemarysill.Done},
		"announced too long": {bytes.NewReader(make([]byte, 91)), rosemarysill.TooLarge},
		"too long":           {io.MultiReader(bytes.NewReader(make([]byte, 91))), rosemarysill.TooLarge},
		"broken transfer":    {io.MultiReader(strings.NewReader("0"), brokenReader{}), rosemarysill.InvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGate(testLimits, zerolog.Nop())
			h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, err := Read(w, r, 90, time.Now().Add(time.Hour))
				require.Equal(t, c.want, rosemarysill.CodeOf(err), "%v", err)
				if err == nil {
					require.EqualValues(t, len(data), g.Counts().Held)
				}
			}), g.NewSlots("test", 1), Refuse)
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", c.body))
			require.Zero(t, g.Counts().Held)
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a dropped body that is kept or executed, and against a connection that
// is used again after its read was ended.
func TestDroppedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(testLimits, zerolog.Nop())
		codes := make(chan rosemarysill.Code, 2)
		h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := Read(w, r, 90, time.Now().Add(time.Hour))
			codes <- rosemarysill.CodeOf(err)
		}), g.NewSlots("test", 1), Refuse)
		body, client := io.Pipe()
		dropped := httptest.NewRecorder()
		go h.ServeHTTP(dropped, httptest.NewRequest(http.MethodPost, "/", body))
		_, err := client.Write(make([]byte, 60))
		require.NoError(t, err)
		time.Sleep(stallTime)
		go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 80))))
		synctest.Wait()
		require.Empty(t, codes, "the dropped body still holds its memory")
		require.EqualValues(t, 1, g.Counts().Dropped)
		require.EqualValues(t, 60, g.Counts().Held)
		_, _ = client.Write([]byte("x")) // may be refused; ends the read, which a recorder has no deadline for
		require.ElementsMatch(t, []rosemarysill.Code{rosemarysill.Overloaded, rosemarysill.Done}, []rosemarysill.Code{<-codes, <-codes})
		synctest.Wait()
		require.EqualValues(t, 1, g.Counts().Dropped)
		require.Zero(t, g.Counts().Held)
		require.Equal(t, "close", dropped.Header().Get("Connection"))
	})
}

// Guards against a request that runs although it was refused for want of a slot, and
// against a slot that is not returned.
func TestSlots(t *testing.T) {
	g := NewGate(testLimits, zerolog.Nop())
	slots := g.NewSlots("test", 1)
	ran := 0
	h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Read(w, r, 90, time.Now().Add(time.Hour))
		if err == nil {
			ran++
		}
	}), slots, Refuse)
	ask := func(body io.Reader) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", body))
		return w.Code
	}
	require.True(t, slots.Enter(t.Context()))
	require.Equal(t, http.StatusServiceUnavailable, ask(http.NoBody))
	ask(strings.NewReader("x"))
	require.Zero(t, ran)
	slots.Leave()
	require.Equal(t, http.StatusOK, ask(http.NoBody))
	ask(strings.NewReader("x"))
	require.Equal(t, 2, ran)
	require.EqualValues(t, 2, g.Counts().Busy)
}

// Guards against a connection that is closed for another between the execution of its
// request and the answer, which would tell the client that the request has not run.
func TestAnswerIsWrittenBeforeConnectionGivesWay(t *testing.T) {
	g := NewGate(testLimits, zerolog.Nop())
	l := &Listener{gate: g, table: newTable(1)}
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	c := &Conn{Conn: server, listener: l}
	require.True(t, l.table.add(c, time.Now()))
	for method, replaceable := range map[string]bool{http.MethodGet: true, http.MethodPost: false, http.MethodDelete: false} {
		h := g.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			require.Zero(t, l.table.waiting.Len())
		}), nil, Refuse)
		r := httptest.NewRequest(method, "/", http.NoBody)
		h.ServeHTTP(httptest.NewRecorder(), r.WithContext(ConnContext(r.Context(), c)))
		require.Equal(t, replaceable, l.table.waiting.Len() == 1, method)
		ConnState(c, http.StateIdle)
		require.Equal(t, 1, l.table.waiting.Len(), method)
	}
}

// Guards against a request that is executed without a slot because it announces a body that
// its handler does not read, and against its connection being closed for another meanwhile.
func TestUnreadBodyNeedsSlot(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		g := NewGate(testLimits, zerolog.Nop())
		l := &Listener{gate: g, table: newTable(1)}
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		c := &Conn{Conn: server, listener: l}
		require.True(t, l.table.add(c, time.Now()))
		slots := g.NewSlots("test", 1)
		ran := 0
		h := g.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			ran++
			require.Zero(t, l.table.waiting.Len(), method)
		}), slots, Refuse)
		ask := func() int {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(method, "/", strings.NewReader("x"))
			h.ServeHTTP(w, r.WithContext(ConnContext(r.Context(), c)))
			return w.Code
		}
		require.True(t, slots.Enter(t.Context()))
		require.Equal(t, http.StatusServiceUnavailable, ask(), method)
		require.Zero(t, ran, method)
		slots.Leave()
		require.Equal(t, http.StatusOK, ask(), method)
		require.Equal(t, 1, ran, method)
	}
}

// Guards against a slot that is held while the body of a question arrives.
func TestArrivingBodyHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(testLimits, zerolog.Nop())
		slots := g.NewSlots("test", 1)
		h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := Read(w, r, 90, time.Now().Add(time.Hour))
			require.NoError(t, err)
			require.Len(t, slots.taken, 1)
		}), slots, Refuse)
		body, client := io.Pipe()
		go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", body))
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		synctest.Wait()
		require.Empty(t, slots.taken)
		require.NoError(t, client.Close())
		synctest.Wait()
		require.Empty(t, slots.taken)
	})
}

// Guards against a request that runs although its connection was closed for another just
// before, which tells the client that it has not run.
func TestReplacedConnectionRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(testLimits, zerolog.Nop())
		l := g.Listen(&pipeListener{}, "test", 1)
		first, err := l.Accept()
		require.NoError(t, err)
		time.Sleep(stallTime)
		second := acceptNext(l)
		_, err = first.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.ErrClosedPipe)
		slots := g.NewSlots("test", 1)
		for name, body := range map[string]io.Reader{"without body": http.NoBody, "with body": strings.NewReader("x")} {
			h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := Read(w, r, 90, time.Now().Add(time.Hour))
				require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err), name)
			}), slots, Refuse)
			r := httptest.NewRequest(http.MethodPost, "/", body)
			h.ServeHTTP(httptest.NewRecorder(), r.WithContext(ConnContext(r.Context(), first.(*Conn))))
			require.Empty(t, slots.taken, name)
		}
		require.NoError(t, first.Close())
		require.NoError(t, (<-second).Close())
	})
}

// acceptNext accepts a connection in a goroutine, because a connection that replaces another
// has to wait until the server has closed that one.
func acceptNext(l net.Listener) <-chan net.Conn {
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	return accepted
}

// Guards against bytes of messages that are taken from the budget after their connection
// was closed, and are never returned.
func TestClosedConnectionDrawsNothing(t *testing.T) {
	g := NewGate(Limits{RPCConnections: 1, MessageBytes: 1 << 20}, zerolog.Nop())
	l := g.ListenRPC(&pipeListener{}, "test")
	accepted, err := l.Accept()
	require.NoError(t, err)
	c := accepted.(*Conn)
	sent := append([]byte(http2.ClientPreface), headers(t, 1)...)
	c.Conn = closingConn{Conn: c.Conn, sent: sent, closed: func() { _ = c.Close() }}
	_, err = c.Read(make([]byte, len(sent)))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, g.Counts().Held)
	require.Zero(t, g.Counts().Dropped)
	require.Zero(t, g.messages.active.Len())
	require.Zero(t, g.messages.waiting.Len())
}

// closingConn is closed by another goroutine while its bytes are delivered.
type closingConn struct {
	net.Conn
	sent   []byte
	closed func()
}

func (c closingConn) Read(p []byte) (int, error) {
	n := copy(p, c.sent)
	c.closed()
	return n, nil
}

// Guards against a handler that writes an answer which the client does not read, and never
// returns.
func TestUnreadAnswerEndsHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(testLimits, zerolog.Nop())
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		returned := make(chan error, 1)
		h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 64<<10))
			returned <- err
		}), g.NewSlots("test", 1), Refuse)
		l := &oneListener{conns: make(chan net.Conn, 1)}
		l.conns <- server
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Hour}
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		_, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		time.Sleep(2 * testLimits.AnswerTimeout)
		synctest.Wait()
		require.Len(t, returned, 1)
		require.Error(t, <-returned)
	})
}

// oneListener accepts the connections in its channel.
type oneListener struct{ conns chan net.Conn }

func (l *oneListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *oneListener) Close() error   { close(l.conns); return nil }
func (l *oneListener) Addr() net.Addr { return pipeAddr("one") }

// Guards against a client that sees its connection reset before it has read a refusal:
// net/http ends the connection in that direction first, if it can, and waits.
func TestRefusalEndsConnectionInOrder(t *testing.T) {
	g := NewGate(testLimits, zerolog.Nop())
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := g.Listen(raw, "test", 2)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	half, ok := server.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, half.CloseWrite())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, g.Counts().Open)
}

// Guards against a listener that leaks connections, does not close the replaced one, or
// accepts a connection before the server has ended the one that it replaces, whose memory it
// still holds.
func TestListenerReplaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(testLimits, zerolog.Nop())
		l := g.Listen(&pipeListener{}, "test", 2)
		var accepted []net.Conn
		for range 2 {
			c, err := l.Accept()
			require.NoError(t, err)
			accepted = append(accepted, c)
		}
		time.Sleep(stallTime)
		third := acceptNext(l)
		_, err := accepted[0].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.ErrClosedPipe)
		synctest.Wait()
		require.Empty(t, third, "the server has not ended the first connection")
		require.Equal(t, Counts{Open: 2, Replaced: 1}, g.Counts())
		require.NoError(t, accepted[0].Close())
		accepted = append(accepted, <-third)
		require.Equal(t, Counts{Open: 2, Replaced: 1}, g.Counts())
		for _, c := range accepted {
			_ = c.Close() // the first one is closed already
		}
		require.Zero(t, g.Counts().Open)
		last, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, Counts{Open: 1, Replaced: 1}, g.Counts())
		require.NoError(t, last.Close())
	})
}

// Guards against Accept that waits for ever because the server does not end a connection, or
// because the listener is closed meanwhile.
func TestAcceptDoesNotWaitForOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewGate(testLimits, zerolog.Nop()).Listen(&pipeListener{}, "test", 2)
		var accepted []net.Conn
		for range 2 {
			c, err := l.Accept()
			require.NoError(t, err)
			accepted = append(accepted, c)
		}
		time.Sleep(stallTime)
		third := acceptNext(l)
		for _, c := range accepted { // the server does not end the first one
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.ErrClosedPipe)
		}
		require.NoError(t, accepted[1].Close())
		require.NoError(t, (<-third).Close())
		failed := make(chan error, 1)
		go func() {
			for {
				if _, err := l.Accept(); err != nil {
					failed <- err
					return
				}
			}
		}()
		time.Sleep(time.Hour)
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-failed, net.ErrClosed)
	})
}

// Guards against a gRPC connection whose memory is not counted while calls on it are executed.
func TestClosedRPCConnectionCountsUntilItsCallsEnd(t *testing.T) {
	g := NewGate(Limits{RPCConnections: 1}, zerolog.Nop())
	l := g.ListenRPC(&pipeListener{}, "test")
	accepted, err := l.Accept()
	require.NoError(t, err)
	c := accepted.(*Conn)
	require.True(t, c.begin())
	require.NoError(t, c.Close())
	require.EqualValues(t, 1, g.Counts().Open)
	c.end()
	require.Zero(t, g.Counts().Open)
}

// pipeListener accepts connections to nobody.
type pipeListener struct{ n int }

func (l *pipeListener) Accept() (net.Conn, error) {
	l.n++
	_, server := net.Pipe()
	return server, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return pipeAddr(fmt.Sprint(l.n)) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
