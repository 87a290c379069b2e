package intake

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// discardedBytes is how much of a body that the handler has not read net/http discards
	// after the answer. If there is more, it keeps the connection for half a second.
	discardedBytes = 256 << 10
	// drainTime and drainBytes bound the rest of a body that is discarded after the answer, so
	// that the client reads the answer before it sees the connection end.
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
	// heldAnswer is the size up to which an answer is held back until the handler returns.
	heldAnswer = 2 << 10
)

// answerWriter sets the deadline for the client to read an answer when the handler begins
// to write it. An answer larger than the buffers of net/http and of the kernel is written
// while the handler runs.
type answerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	begun   bool
	held    bool // the answer is kept in status and body until flush or release
	status  int
	body    []byte
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.held {
		w.status = status
		return
	}
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if w.held && len(w.body)+len(p) <= heldAnswer {
		w.body = append(w.body, p...)
		return len(p), nil
	}
	w.release()
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) begin() {
	if !w.begun {
		w.begun = true
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // not supported by test recorders
	}
}

// release writes what is held. The rest of the answer is not held.
func (w *answerWriter) release() {
	if !w.held {
		return
	}
	w.held = false
	if w.status != 0 {
		w.WriteHeader(w.status)
	}
	if len(w.body) > 0 {
		_, _ = w.Write(w.body) // fails only if the client has disconnected
	}
}

// flush sends the held answer as the last one on the connection.
func (w *answerWriter) flush() {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	w.release()
	_ = w.control.Flush() // fails only if the client has disconnected
}

// outlastsAnswer reports whether net/http may find more than discardedBytes of the body after
// the handler has returned.
func outlastsAnswer(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > discardedBytes
}

// unreadBody notes whether a body has been read to its end.
type unreadBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *unreadBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// drain ends the connection towards the client, and discards what arrives until the client
// ends it too. The connection may be closed for another meanwhile, which net/http's own wait
// would not notice.
func (c *Conn) drain() {
	if c.answering {
		c.answering = false
		c.end()
	}
	c.refuse()
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return // the client has disconnected
	}
	_, _ = io.CopyN(io.Discard, c.Conn, drainBytes)
}
