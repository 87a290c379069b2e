package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

const service = "huvo11a"

// shape is room on a minion.
type shape struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem-mb"`
	GPU   int64 `json:"gpu"`
}

// behaviour is what a task does. It stands in the task-spec, which the system passes on
// unread.
type behaviour struct {
	WorkMS  int64  `json:"work-ms,omitempty"`  // done after that
	Lasts   bool   `json:"lasts,omitempty"`    // at work after startupTime, until it is stopped
	FailsMS int64  `json:"fails-ms,omitempty"` // fails by its own fault after that
	GPU     int64  `json:"gpu,omitempty"`      // accelerators that it takes
	Text    string `json:"text,omitempty"`     // read by nobody
}

// startupTime is after how long a task that lasts is at work.
const startupTime = 500 * time.Millisecond

// stopTime is how long a stop takes; it is below stop-grace-ms.
const stopTime = 100 * time.Millisecond

// endNoted is the event that an end as done was taken note of, by a minion whose lease has
// not lapsed since the end.
const endNoted = "its end as done is taken note of"

type runKey struct {
	task string
	run  int
}

type run struct {
	behaviour
	began   time.Time
	stopped time.Time
	percent int // pace
}

type end struct {
	seq int
	runKey
	how    string
	lapsed bool // the lease of the minion has lapsed since
}

// event is a start or an end of a run.
type event struct {
	at     time.Time
	minion int
	life   int64
	runKey
	how string // "start", or how the run ended
}

// minion is a server of the users. Its methods are safe for concurrent use.
type minion struct {
	w        *world
	index    int
	ip       string
	zone     string
	rack     string
	machine  string
	capacity shape
	client   *http.Client

	mu       sync.Mutex
	id       string
	lives    int
	up       bool
	state    string // of its machine
	born     time.Time
	fence    int64
	until    int64
	seq      int
	sequence int
	runs     map[runKey]*run
	ended    []end
	latest   map[string]int
	srv      *server
	late     func(path string) time.Duration // delay of a call that is left unanswered, or 0
}

var (
	eventsMu sync.Mutex
	events   []event
)

// history returns the starts and ends of the tasks of a job, in their order.
func history(job string) []event {
	eventsMu.Lock()
	defer eventsMu.Unlock()
	var found []event
	for _, e := range events {
		if strings.HasPrefix(e.task, job+".") {
			found = append(found, e)
		}
	}
	return found
}

func newMinion(w *world, index int, ip, zone, rack string, capacity shape) *minion {
	return &minion{
		w: w, index: index, ip: ip, zone: zone, rack: rack, machine: fmt.Sprintf("m-%05x", 0xa100+index), capacity: capacity, state: "up",
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+index), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// note records an event of a run. The caller holds mu.
func (m *minion) note(k runKey, how string) {
	m.w.record.add("minion %d (%s): run %s/%d: %s", m.index+1, m.id, k.task, k.run, how)
	eventsMu.Lock()
	defer eventsMu.Unlock()
	events = append(events, event{time.Now(), m.index, m.born.UnixMilli(), k, how})
}

// begin starts a life of the minion under an identifier.
func (m *minion) begin(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id, m.up, m.state, m.born = id, true, "up", time.Now()
	m.lives++
	m.fence, m.until, m.seq, m.sequence = 0, 0, 0, 0
	m.runs, m.ended, m.latest = make(map[runKey]*run), nil, make(map[string]int)
	var err error
	if m.srv, err = listen(m.ip, appPort, m.handler(m.lives)); err != nil {
		return err
	}
	m.w.record.add("minion %d starts as %s, born %d", m.index+1, id, m.born.UnixMilli())
	go m.beat(m.lives)
	return nil
}

// crash ends the process of the minion: its runs are gone, its address refuses
// connections, and open channels are reset.
func (m *minion) crash(why string) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up, m.state = false, "down"
	for k := range m.runs {
		m.note(k, "gone with its minion")
	}
	m.runs = nil
	srv := m.srv
	m.w.record.add("minion %d (%s) ends: %s", m.index+1, m.id, why)
	m.mu.Unlock()
	srv.close()
}

// goDark ends the process of the minion as a loss of power does: its runs are gone, it
// answers nothing, and open channels are not reset.
func (m *minion) goDark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up, m.state = false, "down"
	for k := range m.runs {
		m.note(k, "gone with its minion")
	}
	m.runs = nil
	m.w.record.add("minion %d (%s) is dark", m.index+1, m.id)
}

// beat sends status reports while a life lasts.
func (m *minion) beat(life int) {
	for {
		m.mu.Lock()
		if !m.up || m.lives != life {
			m.mu.Unlock()
			return
		}
		m.sequence++
		body := map[string]any{
			"service": service, "address": addr(m.ip, appPort), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": m.capacity, "labels": []string{"a", m.rack}, "clock-ms": m.clock(time.Now()), "sequence": m.sequence, "born": m.born.UnixMilli(),
		}
		id := m.id
		m.mu.Unlock()
		data, _ := json.Marshal(body)
		req, err := http.NewRequest(http.MethodPut, "http://"+addr(m.ip, controlPort)+"/instances/"+id, bytes.NewReader(data))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			if resp, err := m.client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		time.Sleep(beatInterval)
	}
}

// clock is the minion's own steady clock, in milliseconds.
func (m *minion) clock(now time.Time) int64 { return 1000 + now.Sub(m.born).Milliseconds() }

// advance brings the runs up to date.
func (m *minion) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	now := time.Now()
	if m.clock(now) > m.until {
		for i := range m.ended {
			m.ended[i].lapsed = true
		}
	}
	for k, r := range m.runs {
		worked := now.Sub(r.began)
		switch {
		case m.clock(now) > m.until:
			m.finish(k, "lapsed")
		case !r.stopped.IsZero() && now.Sub(r.stopped) >= stopTime:
			m.finish(k, "stopped")
		case r.FailsMS > 0 && worked.Milliseconds() >= r.FailsMS:
			m.finish(k, "failed")
		case !r.Lasts && worked.Milliseconds() >= r.WorkMS:
			m.finish(k, "done")
		}
	}
}

func (m *minion) finish(k runKey, how string) {
	delete(m.runs, k)
	m.latest[k.task] = max(m.latest[k.task], k.run)
	m.seq++
	m.ended = append(m.ended, end{seq: m.seq, runKey: k, how: how})
	m.note(k, how)
}

// used returns the accelerators that the runs take.
func (m *minion) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var n int64
	for _, r := range m.runs {
		n += r.GPU
	}
	return n
}

// atWork reports whether a task has a run at work here.
func (m *minion) atWork(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, r := range m.runs {
		if k.task == task && r.stopped.IsZero() && r.share(time.Now()) == 100 {
			return true
		}
	}
	return false
}

func (m *minion) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

func (r *run) share(now time.Time) int {
	worked := now.Sub(r.began)
	if r.Lasts {
		return int(min(100, 100*worked/startupTime))
	}
	return int(min(99, 100*worked.Milliseconds()/max(1, r.WorkMS)))
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task-spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	Ticket   string `json:"ticket"`
	LastSeen int    `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

func (o order) key() runKey { return runKey{o.Task, o.Run} }

func (m *minion) handler(life int) http.Handler {
	mux := http.NewServeMux()
	for path, f := range map[string]func(order) (int, string){"/run-start": m.start, "/run-stop": m.stop, "/hold": m.hold, "/pace": m.pace} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			m.serve(rw, r, life, path, o, f)
		})
	}
	return mux
}

// serve carries an order out and answers it.
func (m *minion) serve(rw http.ResponseWriter, r *http.Request, life int, path string, o order, f func(order) (int, string)) {
	if !m.isUp() { // dark
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	carry := func() (int, string) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if expected := r.Header.Get("Rosemarysill-Expect-Instance"); !m.up || expected != "" && expected != m.id {
			return http.StatusMisdirectedRequest, ""
		}
		if o.Fence < m.fence {
			return http.StatusConflict, "fence"
		}
		m.fence = o.Fence
		return f(o)
	}
	if m.late != nil {
		if d := m.late(path); d > 0 {
			m.w.record.add("minion %d: %s of %s/%d gets no answer and is carried out in %v", m.index+1, path, o.Task, o.Run, d)
			time.AfterFunc(d, func() { carry() })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := carry()
	if path == "/hold" && status == http.StatusOK {
		m.await(r.Context(), life, time.Duration(o.WaitMS)*time.Millisecond)
	}
	m.mu.Lock()
	if m.lives != life || !m.up {
		m.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reply := map[string]any{"clock-ms": m.clock(time.Now()), "born": m.born.UnixMilli()}
	if reason != "" {
		reply["reason"] = reason
	}
	if path == "/hold" && status == http.StatusOK {
		reply["running"], reply["ended"] = m.lists()
	}
	m.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(reply)
}

// await waits until an end is listed.
func (m *minion) await(ctx context.Context, life int, wait time.Duration) {
	until := time.Now().Add(min(wait, 2*time.Second))
	for time.Now().Before(until) && ctx.Err() == nil {
		m.mu.Lock()
		over := len(m.ended) > 0 || m.lives != life || !m.up
		m.mu.Unlock()
		if over {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lists returns both lists of runs. The caller holds mu.
func (m *minion) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	now := time.Now()
	for k, r := range m.runs {
		running = append(running, []any{k.task, k.run, "", r.share(now), 100})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	return running, ended
}

// extend takes over a lease. The caller holds mu.
func (m *minion) extend(deadline int64) {
	m.until = max(m.until, min(deadline, m.clock(time.Now())+holdMaxMS))
}

func (m *minion) start(o order) (int, string) {
	k := o.key()
	m.extend(o.Deadline)
	switch {
	case m.runs[k] != nil:
		return http.StatusOK, ""
	case o.Run <= m.latest[o.Task]:
		return http.StatusConflict, "old"
	case o.Deadline <= m.clock(time.Now()):
		return http.StatusConflict, "late"
	}
	if why := m.w.advice.check(o, m.id, m.born.UnixMilli()); why != "" {
		m.w.record.add("minion %d (%s): start of %s/%d is rejected: %s", m.index+1, m.id, o.Task, o.Run, why)
		return http.StatusConflict, "ticket"
	}
	r := &run{began: time.Now(), percent: 100}
	if err := json.Unmarshal([]byte(o.Spec), &r.behaviour); err != nil {
		return http.StatusBadRequest, ""
	}
	m.runs[k] = r
	m.note(k, "start")
	return http.StatusOK, ""
}

func (m *minion) stop(o order) (int, string) {
	k := o.key()
	m.latest[o.Task] = max(m.latest[o.Task], o.Run)
	if r := m.runs[k]; r != nil && r.stopped.IsZero() {
		r.stopped = time.Now()
		m.note(k, "stop is ordered")
	}
	return http.StatusOK, ""
}

func (m *minion) hold(o order) (int, string) {
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	for len(m.ended) > 0 && m.ended[0].seq <= o.LastSeen {
		if e := m.ended[0]; e.how == "done" && !e.lapsed {
			m.note(e.runKey, endNoted)
		}
		m.ended = m.ended[1:]
	}
	return http.StatusOK, ""
}

func (m *minion) pace(o order) (int, string) {
	if r := m.runs[o.key()]; r != nil {
		r.percent = o.Percent
		m.note(o.key(), fmt.Sprintf("pace %d", o.Percent))
	}
	return http.StatusOK, ""
}

// listen serves a handler at an address.
func listen(ip string, port int, h http.Handler) (*server, error) {
	address := addr(ip, port)
	if !loopback(address) {
		return nil, fmt.Errorf("%s is no loopback address", address)
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &server{&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}, address}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func readItem(s rosemarysill.TransactionalStore, key string) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	i, err := s.Get(ctx, key)
	if err != nil {
		return nil
	}
	return i.Value
}
