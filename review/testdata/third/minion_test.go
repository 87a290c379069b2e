package third

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// capacity of a minion of the sheet of fmr-ops.
const (
	fullCPU = 64000
	fullMem = 131072
	fullGPU = 8
)

// happening is the start or the end of a run at a minion.
type happening struct {
	at     time.Time
	minion *minion
	task   string
	run    int
	how    string // "start", or how it ended
}

// work is what the stand-in does for a task; it stands in task-spec.
type work struct {
	WorkMS int  `json:"work_ms,omitempty"`   // ends done after that
	Lasts  bool `json:"lasts,omitempty"`     // works until it is stopped
	FailMS int  `json:"fail_ms,omitempty"`   // fails after that
	Fails  int  `json:"fail_runs,omitempty"` // the number of runs that fail so; 0 is all
}

type run struct {
	task    string
	number  int
	work    work
	began   time.Time
	stopped time.Time // when its stop takes effect; zero unless it is being stopped
}

func (r *run) percent(now time.Time) int {
	if r.work.Lasts {
		if now.Sub(r.began) < 200*time.Millisecond {
			return 0
		}
		return 100
	}
	return min(99, int(100*now.Sub(r.began)/(time.Duration(r.work.WorkMS)*time.Millisecond)))
}

// minion is a stand-in of a minion, by the page on running tasks.
type minion struct {
	world *world
	id    string
	side  *machine
	plan  plan
	born  time.Time

	mu        sync.Mutex
	unhealthy bool
	fence     int64
	until     time.Duration // lease, on the minion's clock
	runs      map[string]*run
	highest   map[string]int // highest run of each task that was stopped or has ended
	ended     [][]any
	endedN    []int
	lastEnd   int
	happened  []happening
	refused   map[string]int // starts answered 503, by task

	skew   time.Duration              // of the time of day on its machine when it started
	down   bool                       // its process is gone
	fault  func(path string) string   // "", "lost" or "late", for each order
	noted  func(m *minion, row []any) // called for each end that is taken note of
	starts func(m *minion, r *run)    // called for each start, before it is listed
}

func newMinion(w *world, id string, side *machine, p plan) *minion {
	return &minion{world: w, id: id, side: side, plan: p, born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int), refused: make(map[string]int)}
}

func (m *minion) clock(now time.Time) time.Duration { return now.Sub(m.born) + time.Second }

// bornMS is when the present lifetime started by the time of day on its machine.
func (m *minion) bornMS() int64 { return m.born.Add(m.skew).UnixMilli() }

func (m *minion) setUnhealthy(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unhealthy = v
}

// live lets the runs work.
func (m *minion) live() {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		m.advance(time.Now())
		m.mu.Unlock()
	}
}

func (m *minion) advance(now time.Time) {
	if m.down {
		return
	}
	for _, r := range m.runs {
		age := now.Sub(r.began)
		switch {
		case m.clock(now) > m.until:
			m.end(r, "lapsed", now)
		case !r.stopped.IsZero():
			if now.After(r.stopped) {
				m.end(r, "stopped", now)
			}
		case r.work.FailMS > 0 && (r.work.Fails == 0 || r.number <= r.work.Fails) && age >= time.Duration(r.work.FailMS)*time.Millisecond:
			m.end(r, "failed", now)
		case !r.work.Lasts && age >= time.Duration(r.work.WorkMS)*time.Millisecond:
			m.end(r, "done", now)
		}
	}
}

func (m *minion) end(r *run, how string, now time.Time) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.lastEnd++
	m.ended, m.endedN = append(m.ended, []any{m.lastEnd, r.task, r.number, how, ""}), append(m.endedN, m.lastEnd)
	m.happen(r.task, r.number, how, now)
}

func (m *minion) happen(task string, number int, how string, now time.Time) {
	m.happened = append(m.happened, happening{now, m, task, number, how})
	m.world.note("minion %s (%s): %s run %d %s", m.id, m.side.zone, task, number, how)
}

// report sends status reports to the control address of the machine.
func (m *minion) report() {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		m.mu.Lock()
		down, born := m.down, m.bornMS()
		m.mu.Unlock()
		if down {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": fmt.Sprintf("%s:%d", m.side.ip, portApp), "zone": m.side.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": fullCPU, "mem-mb": fullMem, "gpu": fullGPU}, "labels": []string{m.plan.kind, m.plan.rack}, "clock-ms": m.clock(time.Now()).Milliseconds(), "sequence": sequence, "born": born,
		})
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", m.side.ip, portControl, m.id), bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		wait := 1500 * time.Millisecond
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else if sequence < 20 {
			wait = 200 * time.Millisecond // the agent has not started yet
		}
		time.Sleep(wait)
	}
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
}

const holdMax = 10 * time.Second

// ServeHTTP implements the calls of the machine's own agent.
func (m *minion) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		answer(out, http.StatusOK, map[string]any{})
		return
	}
	var o order
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(out, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		panic(http.ErrAbortHandler)
	}
	if m.fault != nil {
		switch f := m.fault(r.URL.Path); f {
		case "late":
			born, id := m.born, r.Header.Get("Rosemarysill-Expect-Instance")
			time.AfterFunc(2*time.Second+time.Duration(len(o.Task)%3)*time.Second, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if !m.down && m.born.Equal(born) && (id == "" || id == m.id) && o.Fence >= m.fence {
					m.fence = o.Fence
					m.until = max(m.until, min(time.Duration(o.Deadline)*time.Millisecond, m.clock(time.Now())+holdMax))
					if r.URL.Path == "/run-start" {
						m.startRun(o, time.Now())
					}
				}
			})
			panic(http.ErrAbortHandler)
		case "lost":
			out = discard{}
			defer panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	m.advance(now)
	said := func(status int, reason string) {
		b := map[string]any{"clock-ms": m.clock(time.Now()).Milliseconds(), "born": m.bornMS()}
		if reason != "" {
			b["reason"] = reason
		}
		answer(out, status, b)
	}
	if id := r.Header.Get("Rosemarysill-Expect-Instance"); id != "" && id != m.id {
		said(http.StatusMisdirectedRequest, "")
		return
	}
	if r.URL.Path == "/run-start" && m.unhealthy {
		m.refused[o.Task]++
		m.world.note("minion %s (%s): start of %s run %d answered 503, nothing done", m.id, m.side.zone, o.Task, o.Run)
		said(http.StatusServiceUnavailable, "")
		return
	}
	if o.Fence < m.fence {
		said(http.StatusConflict, "fence")
		return
	}
	m.fence = o.Fence
	if o.Deadline > 0 {
		m.until = max(m.until, min(time.Duration(o.Deadline)*time.Millisecond, m.clock(now)+holdMax))
	}
	switch r.URL.Path {
	case "/run-start":
		status, reason := m.startRun(o, now)
		said(status, reason)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if held := m.runs[o.Task]; held != nil && held.number <= o.Run && held.stopped.IsZero() {
			held.stopped = now.Add(100 * time.Millisecond)
		}
		said(http.StatusOK, "")
	case "/pace":
		said(http.StatusOK, "")
	case "/hold":
		m.hold(out, r, o)
	default:
		said(http.StatusBadRequest, "")
	}
}

func (m *minion) startRun(o order, now time.Time) (int, string) {
	held := m.runs[o.Task]
	switch {
	case held != nil && held.number == o.Run:
		return http.StatusOK, ""
	case o.Run <= m.highest[o.Task]:
		return http.StatusConflict, "old"
	case time.Duration(o.Deadline)*time.Millisecond <= m.clock(now):
		return http.StatusConflict, "late"
	case !m.world.advice.valid(o.Task, m, o.Ticket, now):
		return http.StatusConflict, "ticket"
	}
	r := &run{task: o.Task, number: o.Run, began: now}
	if json.Unmarshal([]byte(o.Spec), &r.work) != nil {
		return http.StatusBadRequest, ""
	}
	m.runs[o.Task] = r
	if m.starts != nil {
		m.starts(m, r)
	}
	m.happen(o.Task, o.Run, "start", now)
	return http.StatusOK, ""
}

// hold answers with both lists. It waits for an end for up to wait-ms. The caller holds mu.
func (m *minion) hold(out http.ResponseWriter, r *http.Request, o order) {
	for len(m.endedN) > 0 && m.endedN[0] <= o.LastSeen {
		if m.noted != nil {
			m.noted(m, m.ended[0])
		}
		m.ended, m.endedN = m.ended[1:], m.endedN[1:]
	}
	for until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond); len(m.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil; {
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
	}
	now := time.Now()
	running := [][]any{}
	for _, held := range m.runs {
		running = append(running, []any{held.task, held.number, "", held.percent(now), 0})
	}
	ended := m.ended
	if ended == nil {
		ended = [][]any{}
	}
	answer(out, http.StatusOK, map[string]any{"clock-ms": m.clock(now).Milliseconds(), "born": m.bornMS(), "running": running, "ended": ended[:min(len(ended), 500)]})
}

// history returns what has happened to the tasks of a job, by time of each minion.
func (w *world) history(job string) []happening {
	var all []happening
	for _, m := range w.minions {
		m.mu.Lock()
		for _, h := range m.happened {
			if strings.HasPrefix(h.task, job+".") {
				all = append(all, h)
			}
		}
		m.mu.Unlock()
	}
	for i := range all { // few, so a simple sort
		for k := i; k > 0 && all[k].at.Before(all[k-1].at); k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all
}

// ticket is a ticket of the advice service.
type ticket struct {
	step, minion string
	until        time.Time
}

// adviser is a stand-in of the advice service. It allows every minion unless good is set.
type adviser struct {
	world                 *world
	prefix                string // jobs of which the identifiers begin so need a ticket; empty for none
	decide, each, validMS time.Duration
	good                  func(m *minion) bool

	turn    sync.Mutex // one call at a time: only the leader calls
	mu      sync.Mutex
	tickets map[string]ticket
	asked   [][]string
}

func (a *adviser) valid(task string, m *minion, name string, now time.Time) bool {
	if a.prefix == "" || !strings.HasPrefix(task, a.prefix) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.minion == m.id && strings.HasPrefix(task, t.step+".") && now.Before(t.until)
}

// ServeHTTP implements POST /advise.
func (a *adviser) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		answer(out, http.StatusBadRequest, map[string]any{})
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(a.decide + time.Duration(len(q.Workers))*a.each)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets == nil {
		a.tickets = make(map[string]ticket)
	}
	now, good := time.Now(), [][]string{}
	for _, id := range q.Workers {
		for _, m := range a.world.minions {
			if m.id == id && (a.good == nil || a.good(m)) {
				name := fmt.Sprintf("t%d", len(a.tickets)+1)
				a.tickets[name] = ticket{q.Step, id, now.Add(a.validMS)}
				good = append(good, []string{id, name})
			}
		}
	}
	a.asked = append(a.asked, q.Workers)
	a.world.note("advice: step %s, asked about %d minions (%s), good: %d", q.Step, len(q.Workers), strings.Join(q.Workers, " "), len(good))
	answer(out, http.StatusOK, map[string]any{"good": good, "valid-ms": a.validMS.Milliseconds()})
}

// discard takes an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// crash ends the minion; it starts again under the same identifier after a while, when the
// time of day on its machine has the given error.
func (m *minion) crash(d, skew time.Duration) {
	m.mu.Lock()
	now := time.Now()
	for _, r := range m.runs {
		m.happen(r.task, r.number, "crashed", now)
	}
	m.down = true
	m.mu.Unlock()
	time.Sleep(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skew = skew
	m.down, m.born, m.fence, m.until, m.lastEnd = false, time.Now(), 0, 0, 0
	m.runs, m.highest, m.ended, m.endedN = make(map[string]*run), make(map[string]int), nil, nil
}
