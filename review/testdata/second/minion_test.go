package second

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// minion is a stand-in of a minion. Words of a task-spec say what its runs do:
// ms=N the work of a run; failrun=N the run with that number fails at its end;
// gpu=N the gpu that it takes; lasts it works until it is stopped; failms=N failruns=K the first K runs fail after N ms.
type minion struct {
	s       *system
	id      string
	zone    string
	labels  []string
	address string
	control string

	mu       sync.Mutex
	born     time.Time
	sequence int
	fence    int64
	until    time.Duration // end of all leases, by the minion's clock
	seq      uint64
	runs     map[runKey]*run
	ended    []end
	latest   map[string]int // highest run of a task that was stopped or ended
	holds    int
	grey     bool // starts are answered 503, and nothing is done
	changed  chan struct{}
	starts   []start
}

type runKey struct {
	task string
	run  int
}

type run struct {
	spec    string
	began   time.Time     // when it starts to work, after the restoring of its checkpoint
	base    time.Duration // work that it began with
	stopped time.Time
}

// done returns the work that is done, that of the checkpoint included.
func (r *run) done(now time.Time) time.Duration { return r.base + max(0, now.Sub(r.began)) }

// saved returns the checkpoint, which is made each checkpoint-interval-s and at a stop.
func (r *run) saved(now time.Time, stop bool) string {
	if !strings.Contains(r.spec, "saves") {
		return ""
	}
	work := r.done(now)
	if !stop {
		work = r.base + max(0, now.Sub(r.began)).Truncate(checkpointInterval)
	}
	if work == 0 {
		return ""
	}
	return fmt.Sprintf("%016d", work.Milliseconds())
}

type end struct {
	seq   uint64
	key   runKey
	how   string
	saved string
}

// start is a run that the minion has begun.
type start struct {
	runKey
	at time.Time
}

const (
	minionGPU = 8
	minionCPU = 32000
	minionMem = 65536
)

func newMinion(s *system, id, zone string, labels []string) *minion {
	return &minion{s: s, id: id, zone: zone, labels: labels, born: time.Now(), runs: make(map[runKey]*run), latest: make(map[string]int), changed: make(chan struct{})}
}

func (m *minion) clock(now time.Time) time.Duration { return now.Sub(m.born) + time.Second }

// held reports whether the agent has called.
func (m *minion) held() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holds > 1
}

func (m *minion) setGrey(grey bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grey = grey
	m.s.record.say("minion %s: answers starts with 503: %v", m.id, grey)
}

// beat sends status reports until the system is closed.
func (m *minion) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": minionCPU, "mem-mb": minionMem, "gpu": minionGPU}, "labels": m.labels,
			"clock-ms": m.clock(time.Now()).Milliseconds(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/"+m.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeatMS
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		select {
		case <-m.s.done:
			return
		case <-time.After(pause):
		}
	}
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task-spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(b orderBody, now time.Time) (int, string)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var b orderBody
			if json.NewDecoder(r.Body).Decode(&b) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			now := time.Now()
			m.advance(now)
			if want := r.Header.Get("Rosemarysill-Expect-Instance"); want != "" && want != m.id {
				m.reply(w, http.StatusMisdirectedRequest, "", false)
				return
			}
			if path == "/run-start" && m.grey {
				m.s.record.say("minion %s: start of %s run %d: 503", m.id, b.Task, b.Run)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if b.Fence < m.fence {
				m.reply(w, http.StatusConflict, "fence", false)
				return
			}
			m.fence = b.Fence
			status, reason := f(b, now)
			if path == "/hold" {
				m.await(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond)
			}
			m.reply(w, status, reason, path == "/hold")
		})
	}
	handle("/run-start", m.startRun)
	handle("/run-stop", func(b orderBody, now time.Time) (int, string) {
		m.latest[b.Task] = max(m.latest[b.Task], b.Run)
		if r := m.runs[runKey{b.Task, b.Run}]; r != nil && r.stopped.IsZero() {
			r.stopped = now
			m.s.record.say("minion %s: stop of %s run %d", m.id, b.Task, b.Run)
		}
		return http.StatusOK, ""
	})
	handle("/pace", func(orderBody, time.Time) (int, string) { return http.StatusOK, "" })
	handle("/hold", func(b orderBody, now time.Time) (int, string) {
		m.holds++
		m.lease(b.DeadlineMS, now)
		for len(m.ended) > 0 && m.ended[0].seq <= b.LastSeen {
			m.s.record.say("minion %s: end of %s run %d (%s) is taken note of", m.id, m.ended[0].key.task, m.ended[0].key.run, m.ended[0].how)
			m.ended = m.ended[1:]
		}
		return http.StatusOK, ""
	})
	return mux
}

// lease extends the leases; they never shorten and last hold-max-ms at most.
func (m *minion) lease(deadlineMS int64, now time.Time) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, m.clock(now)+holdMaxMS)
	m.until = max(m.until, until)
}

func (m *minion) startRun(b orderBody, now time.Time) (int, string) {
	k := runKey{b.Task, b.Run}
	m.lease(b.DeadlineMS, now)
	switch {
	case m.runs[k] != nil:
		return http.StatusOK, ""
	case b.Run <= m.latest[b.Task]:
		return http.StatusConflict, "old"
	case time.Duration(b.DeadlineMS)*time.Millisecond <= m.clock(now):
		return http.StatusConflict, "late"
	}
	r := &run{spec: b.Spec, began: now}
	if b.Checkpoint != "" {
		ms := 0
		if _, err := fmt.Sscan(strings.TrimLeft(b.Checkpoint, "0"), &ms); err != nil {
			return http.StatusBadRequest, ""
		}
		r.base, r.began = time.Duration(ms)*time.Millisecond, now.Add(restoreMS)
	}
	m.runs[k] = r
	m.starts = append(m.starts, start{k, now})
	m.s.record.say("minion %s: starts %s run %d (%s) checkpoint %q", m.id, k.task, k.run, b.Spec, b.Checkpoint)
	return http.StatusOK, ""
}

// await waits for an end to be listed. The caller holds the lock.
func (m *minion) await(wait time.Duration) {
	until := time.Now().Add(wait)
	for len(m.ended) == 0 && time.Now().Before(until) {
		m.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		m.mu.Lock()
		m.advance(time.Now())
	}
}

func word(spec, name string) (int, bool) {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n := 0
			_, err := fmt.Sscan(v, &n)
			return n, err == nil
		}
	}
	return 0, false
}

func (r *run) work() time.Duration {
	n, _ := word(r.spec, "ms")
	return time.Duration(n) * time.Millisecond
}

// fails reports whether a lasting run fails now by its own fault.
func (r *run) fails(number int, now time.Time) bool {
	after, ok := word(r.spec, "failms")
	runs, _ := word(r.spec, "failruns")
	return ok && number <= runs && now.Sub(r.began) >= time.Duration(after)*time.Millisecond
}

func (r *run) lasts() bool { return strings.Contains(r.spec, "lasts") }

// advance brings the runs up to date. The caller holds the lock.
func (m *minion) advance(now time.Time) {
	for k, r := range m.runs {
		switch {
		case m.clock(now) > m.until:
			m.end(k, "lapsed", now)
		case !r.stopped.IsZero():
			m.end(k, "stopped", now)
		case r.fails(k.run, now):
			m.end(k, "failed", now)
		case r.lasts() || r.done(now) < r.work():
		default:
			how := "done"
			if n, ok := word(r.spec, "failrun"); ok && n == k.run {
				how = "failed"
			}
			m.end(k, how, now)
		}
	}
}

func (m *minion) end(k runKey, how string, now time.Time) {
	r := m.runs[k]
	saved := r.saved(now, how == "stopped")
	delete(m.runs, k)
	m.latest[k.task] = max(m.latest[k.task], k.run)
	m.seq++
	m.ended = append(m.ended, end{m.seq, k, how, saved})
	m.s.record.say("minion %s: %s run %d ends %s after %.1f s, with %.1f of %.0f s done", m.id, k.task, k.run, how, now.Sub(r.began).Seconds(), r.done(now).Seconds(), r.work().Seconds())
}

// reply answers a call. The caller holds the lock.
func (m *minion) reply(w http.ResponseWriter, status int, reason string, lists bool) {
	now := time.Now()
	m.advance(now)
	b := map[string]any{"clock-ms": m.clock(now).Milliseconds(), "born": m.born.UnixMilli()}
	if reason != "" {
		b["reason"] = reason
	}
	if lists {
		running, ended := [][]any{}, [][]any{}
		for k, r := range m.runs {
			percent := 100
			if !r.lasts() {
				percent = min(99, int(100*r.done(now)/max(1, r.work())))
			}
			running = append(running, []any{k.task, k.run, r.saved(now, false), percent, 0})
		}
		for _, e := range m.ended[:min(len(m.ended), 500)] {
			ended = append(ended, []any{e.seq, e.key.task, e.key.run, e.how, e.saved})
		}
		b["running"], b["ended"] = running, ended
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(b)
}

// running returns the names of the tasks of a job that run.
func (m *minion) running(job string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	var names []string
	for k := range m.runs {
		if strings.HasPrefix(k.task, job+".") {
			names = append(names, k.task)
		}
	}
	sort.Strings(names)
	return names
}

// began returns the starts of the tasks of a job.
func (m *minion) began(job string) []start {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []start
	for _, st := range m.starts {
		if strings.HasPrefix(st.task, job+".") {
			all = append(all, st)
		}
	}
	return all
}

// startsOf returns the starts of the tasks of a job at all minions.
func (s *system) startsOf(job string) []start {
	var all []start
	for _, m := range s.minions {
		all = append(all, m.began(job)...)
	}
	return all
}

func (s *system) runningOf(job string) int {
	n := 0
	for _, m := range s.minions {
		n += len(m.running(job))
	}
	return n
}

// progress describes the runs of the tasks of a job.
func (m *minion) progress(job string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	for k, r := range m.runs {
		if strings.HasPrefix(k.task, job+".") {
			all = append(all, fmt.Sprintf("%.1f of %.0f s done", r.done(time.Now()).Seconds(), r.work().Seconds()))
		}
	}
	return all
}
