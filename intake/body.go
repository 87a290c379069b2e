package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// segmentBytes is the size of the buffers into which bodies are read. A connection holds
// one before the first byte arrives.
const segmentBytes = 4 << 10

var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

type (
	connKey    struct{}
	requestKey struct{}
)

// request is an HTTP request under the limits of a gate.
type request struct {
	gate    *Gate
	slots   *Slots
	conn    *Conn // nil if the server has another listener
	body    *share
	writer  http.ResponseWriter // of net/http, which http.MaxBytesReader has to know
	entered bool

	waiting   context.Context // is done if the body is dropped while the request waits
	uncounted int64           // bytes of the body that the budget does not include yet
	executed  int64           // bytes of the body that count as those of an executed request
}

// enter begins the execution. It returns false if the request is refused.
func (q *request) enter(ctx context.Context) bool {
	if q.entered {
		return true
	}
	if !q.acquire(ctx) {
		return false
	}
	if !q.slots.Enter(ctx) {
		q.releaseExecuted()
		return false
	}
	q.entered = true
	// A request whose connection has just been closed for another must not run, because the
	// closed connection tells its client that it has not.
	if q.conn != nil && !q.conn.begin() || !q.gate.execute(q.body) {
		q.leave()
		return false
	}
	return true
}

// acquire waits until the bytes of the body may be those of an executed request. It returns
// false if the request is refused.
func (q *request) acquire(ctx context.Context) bool {
	n := min(q.body.held, q.gate.limits.executedBytes())
	if !q.gate.executing.TryAcquire(n) {
		ctx, cancel := context.WithTimeout(ctx, q.gate.limits.SlotWait)
		defer cancel()
		if q.gate.executing.Acquire(ctx, n) != nil {
			q.slots.refused()
			return false
		}
	}
	q.executed = n
	return true
}

func (q *request) releaseExecuted() {
	q.gate.executing.Release(q.executed)
	q.executed = 0
}

// leave undoes enter before anything has been executed.
func (q *request) leave() {
	if !q.entered {
		return
	}
	q.entered = false
	q.slots.Leave()
	q.releaseExecuted()
	if q.conn != nil {
		q.conn.end()
	}
}

// finish ends the execution and returns the memory of the body. The connection of a
// request that may have had an effect may be closed only after its answer; ConnState does
// that.
func (q *request) finish(method string) {
	if q.entered {
		q.entered = false
		q.slots.Leave()
		q.releaseExecuted()
		switch {
		case q.conn == nil:
		case method == http.MethodGet:
			q.conn.end()
		default:
			q.conn.answering = true
		}
	}
	q.gate.release(q.gate.bodies, q.body)
}

// ConnContext is for http.Server.ConnContext. It tells the handler the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Refuse answers a request that was not executed with 503.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// takesBody reports whether handlers read the body of a request with Read before they
// execute it. Requests of other methods are executed without it, also if they have one.
func takesBody(method string) bool { return method == http.MethodPost || method == http.MethodPut }

// Handler returns a handler that limits the requests in progress and the times of their
// bodies and answers. The inner handler has to read the bodies of POST and PUT with Read
// before it executes the request. A request without a body, or of another method, that is
// not admitted is answered by refuse.
func (g *Gate) Handler(inner http.Handler, slots *Slots, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		q := &request{gate: g, slots: slots}
		q.conn, _ = r.Context().Value(connKey{}).(*Conn)
		waiting, stop := context.WithCancel(r.Context())
		defer stop()
		q.waiting, q.uncounted = waiting, g.limits.UncountedBytes
		// The deadline of the connection ends a read that waits for more of the body.
		q.body = newShare(func() {
			_ = control.SetReadDeadline(time.Unix(1, 0))
			stop()
		})
		defer q.finish(r.Method)
		// Deadlines are not supported by test recorders. After a request whose body the
		// handler has not read, net/http reads up to 256 KiB of it.
		if r.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(g.limits.BodyPause))
			if q.conn != nil {
				q.conn.beginBody()
			}
		}
		if (r.ContentLength == 0 || !takesBody(r.Method)) && !q.enter(r.Context()) {
			refuse(w, r)
			return
		}
		q.writer = w
		unread := &unreadBody{ReadCloser: r.Body}
		r.Body = unread
		answer := &answerWriter{ResponseWriter: w, control: control, timeout: g.limits.AnswerTimeout}
		answer.held = q.conn != nil && outlastsAnswer(r)
		inner.ServeHTTP(answer, r.WithContext(context.WithValue(r.Context(), requestKey{}, q)))
		if answer.held && !unread.ended {
			answer.flush()
			q.finish(r.Method)
			q.conn.drain()
			panic(http.ErrAbortHandler) // ends the connection without the wait of net/http
		}
		answer.release()
		_ = control.SetWriteDeadline(time.Now().Add(g.limits.AnswerTimeout))
	})
}

// Read reads the body of a request of at most limit bytes until the deadline, and then
// waits until the request may be executed. The memory of the body is part of the budget
// until the handler returns. An error states that the request has not run: TooLarge,
// Overloaded if the body was dropped, was late or the request was not admitted, and
// InvalidRequest if the transfer failed otherwise. Without a gate only limit applies.
func Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	q, ok := r.Context().Value(requestKey{}).(*request)
	if !ok {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		return data, readError(err, limit)
	}
	if r.ContentLength > limit {
		return nil, rosemarysill.NewError(rosemarysill.TooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	if r.ContentLength != 0 {
		q.leave() // of a method that needs no body: a slot is not held while one arrives
	}
	if last := time.Now().Add(q.gate.limits.BodyTime); deadline.After(last) {
		deadline = last
	}
	q.body.length, q.body.deadline = max(r.ContentLength, 0), deadline
	control := http.NewResponseController(w)
	data, err := q.read(control, http.MaxBytesReader(q.writer, r.Body, limit), deadline)
	if err != nil {
		// The deadline that ends the read must not meet a later request.
		w.Header().Set("Connection", "close")
		return nil, q.explain(err, limit)
	}
	// net/http watches the connection while the handler runs, and an expired deadline
	// would cancel the request.
	_ = control.SetReadDeadline(time.Time{})
	q.gate.arrived(q.body)
	if !q.enter(q.waiting) {
		data.free()
		err := q.explain(errBusy, limit)
		if q.body.dropped.Load() { // the deadline that was set then must not meet a later request
			w.Header().Set("Connection", "close")
		}
		return nil, err
	}
	return data.join(), nil
}

var (
	errDropped = errors.New("the memory for bodies is used up")
	errBusy    = errors.New("too many requests in progress")
)

// segmentList holds the bytes of a body.
type segmentList struct {
	full []*[segmentBytes]byte
	last *[segmentBytes]byte
	used int // bytes in last
}

// space returns where the next bytes are read to.
func (l *segmentList) space() []byte {
	if l.used == segmentBytes {
		l.full = append(l.full, l.last)
		l.last = nil
	}
	if l.last == nil {
		l.last, l.used = segments.Get().(*[segmentBytes]byte), 0
	}
	return l.last[l.used:]
}

// free returns the segments.
func (l *segmentList) free() {
	for _, s := range l.full {
		segments.Put(s)
	}
	if l.last != nil {
		segments.Put(l.last)
	}
	*l = segmentList{}
}

// join returns the bytes in one piece, and the segments.
func (l *segmentList) join() []byte {
	defer l.free()
	var b bytes.Buffer
	b.Grow(len(l.full)*segmentBytes + l.used)
	for _, s := range l.full {
		b.Write(s[:])
	}
	if l.last != nil {
		b.Write(l.last[:l.used])
	}
	return b.Bytes()
}

// read reads the whole body.
func (q *request) read(control *http.ResponseController, body io.Reader, deadline time.Time) (data *segmentList, err error) {
	list := &segmentList{}
	defer func() {
		if err != nil {
			list.free()
		}
	}()
	for {
		next := time.Now().Add(q.gate.limits.BodyPause)
		if next.After(deadline) {
			next = deadline
		}
		_ = control.SetReadDeadline(next) // not supported by test recorders
		if q.body.dropped.Load() {        // the line above may have undone the deadline that ends the read
			return nil, errDropped
		}
		n, err := body.Read(list.space())
		list.used += n
		counted := max(int64(n)-q.uncounted, 0)
		if uncounted := int64(n) - counted; uncounted > 0 {
			q.uncounted -= uncounted
			q.body.add(uncounted, time.Now()) // no other goroutine uses it before the first draw
		}
		if counted > 0 && !q.gate.draw(q.gate.bodies, q.body, counted, "body") {
			return nil, errDropped
		}
		switch {
		case errors.Is(err, io.EOF):
			return list, nil
		case err != nil:
			return nil, err
		}
	}
}

// explain returns the error of a body that did not arrive, and counts it.
func (q *request) explain(err error, limit int64) error {
	dropped := q.body.dropped.Load()
	q.gate.release(q.gate.bodies, q.body)
	switch {
	case dropped:
		return rosemarysill.NewError(rosemarysill.Overloaded, "%v", errDropped)
	case errors.Is(err, errBusy):
		return rosemarysill.NewError(rosemarysill.Overloaded, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.gate.counters.late.Add(1)
		event.IntakeLate.Log(q.gate.log).Send()
		return rosemarysill.NewError(rosemarysill.Overloaded, "the body did not arrive in time")
	}
	return readError(err, limit)
}

func readError(err error, limit int64) error {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return rosemarysill.NewError(rosemarysill.TooLarge, "the body exceeds %d bytes", limit)
	default:
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "the body was not received whole: %v", err)
	}
}

// Decode runs f, which decodes the body of a request, when few others are decoded.
func Decode(r *http.Request, f func()) {
	if q, ok := r.Context().Value(requestKey{}).(*request); ok {
		q.gate.decodings <- struct{}{}
		defer func() { <-q.gate.decodings }()
	}
	f()
}
