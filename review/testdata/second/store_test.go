package second

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// storeGate stands before the stand-in of the metadata store. It counts writes, and leaves
// some of them unanswered and carries them out later.
type storeGate struct {
	next   http.Handler
	record *record

	mu     sync.Mutex
	late   string // writes of this key are carried out late and not answered; empty for none
	lateBy time.Duration
	writes int    // write calls since the window began
	lost   int    // of these, without an answer
	writer string // process that wrote last
}

// of returns the handler for the calls of one process.
func (g *storeGate) of(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/kv-txn" {
			g.mu.Lock()
			g.writer = name
			g.mu.Unlock()
		}
		g.ServeHTTP(w, r)
	})
}

// lastWriter returns the name of the process that last wrote under a condition.
func (g *storeGate) lastWriter() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writer
}

// setLate begins a window in which writes of a key are done late and not answered.
func (g *storeGate) setLate(key string, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late, g.lateBy, g.writes, g.lost = key, by, 0, 0
}

// setLateEnd ends the window. The writes that got no answer are still carried out.
func (g *storeGate) setLateEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = ""
}

// counts returns the write calls since the window began, and those without an answer.
func (g *storeGate) counts() (writes, lost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writes, g.lost
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/kv-txn" {
		g.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	g.mu.Lock()
	late, by := g.late != "" && strings.Contains(string(body), `"`+g.late+`"`), g.lateBy
	g.writes++
	if late {
		g.lost++
	}
	g.mu.Unlock()
	if !late {
		g.next.ServeHTTP(w, r)
		return
	}
	g.record.say("store: a write of %s gets no answer; it is carried out %s later if its condition holds then", g.late, by)
	time.AfterFunc(by, func() {
		req := httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(body))
		reply := httptest.NewRecorder()
		g.next.ServeHTTP(reply, req)
		g.record.say("store: the late write is carried out: %d", reply.Code)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
