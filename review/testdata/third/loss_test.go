package third

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// lossy is a store that, once armed, carries out one write late and does not answer it: the
// first transaction that would succeed and writes a key with the prefix.
type lossy struct {
	world *world
	inner http.Handler
	late  time.Duration

	mu     sync.Mutex
	prefix string // empty unless armed
}

func (l *lossy) arm(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefix = prefix
}

// loses reports whether a transaction is the one to be lost.
func (l *lossy) loses(body []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-revision"`
		Writes []struct {
			Key string `json:"key"`
		} `json:"writes"`
	}
	if l.prefix == "" || json.Unmarshal(body, &t) != nil {
		return false
	}
	concerned := false
	for _, w := range t.Writes {
		concerned = concerned || strings.HasPrefix(w.Key, l.prefix)
	}
	for _, e := range t.Expected {
		i, err := l.world.store.View("all").Get(context.Background(), e.Key)
		if err != nil {
			i.Version = 0
		}
		concerned = concerned && i.Version == e.Revision
	}
	if concerned {
		l.prefix = ""
	}
	return concerned
}

// ServeHTTP implements http.Handler.
func (l *lossy) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-txn" {
		l.inner.ServeHTTP(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !l.loses(body) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.inner.ServeHTTP(out, r)
		return
	}
	l.world.note("trouble: the store leaves a write unanswered and carries it out %v later, if its conditions still hold: %s", l.late, body)
	time.AfterFunc(l.late, func() {
		answer := httptest.NewRecorder()
		l.inner.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(body)))
		l.world.note("trouble: the late write is carried out: %d %s", answer.Code, strings.TrimSpace(answer.Body.String()))
	})
	<-r.Context().Done() // the channel returns nothing further
	panic(http.ErrAbortHandler)
}
