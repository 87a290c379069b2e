package second

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of the queue's advice. The pages set no limits for them; valid-ms is that of
// the bench's examples.
const (
	decideMS = 200
	eachMS   = 20
	validMS  = 3000
)

// adviser is a stand-in of the advice service. It handles one call at a time for each
// calling machine and answers 429 when 32 calls are waiting.
type adviser struct {
	record *record

	mu       sync.Mutex
	callers  map[string]*sync.Mutex
	waiting  int
	answered map[string]int // calls by job
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.waiting >= 32 {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	turn := a.callers[caller]
	if turn == nil {
		turn = &sync.Mutex{}
		a.callers[caller] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(time.Duration(decideMS+eachMS*len(b.Workers)) * time.Millisecond)
	turn.Unlock()
	a.mu.Lock()
	a.waiting--
	a.answered[b.Step[:16]]++
	a.mu.Unlock()
	a.record.say("advice: %s may run on %d workers", b.Step, len(b.Workers))
	good := [][2]string{}
	for _, id := range b.Workers {
		good = append(good, [2]string{id, fmt.Sprintf("%s-%s-%d", b.Step, id, time.Now().UnixMilli())})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid-ms": validMS})
}

// adviceCase: jobs that need a whole minion wait, because each minion has a small lasting
// task. A small job, for which there is room everywhere, must start.
func adviceCase(s *system, trouble bool) (verdict, error) {
	a := &adviser{record: s.record, callers: make(map[string]*sync.Mutex), answered: make(map[string]int)}
	address, err := s.serve(s.net+".2", a)
	if err != nil {
		return failed, err
	}
	s.advice = address
	advised := route("advised", "/advised/", 1)
	advised["advice"] = map[string]any{"decide-ms": decideMS, "each-ms": eachMS, "valid-ms": validMS}
	batch := route("batch", "/batch/", 2)
	batch["advice"] = advised["advice"]
	s.putConfig(1, []map[string]any{route("lasting", "/lasting/", 1), advised, batch})
	if err := s.deploy(4, 11, nil); err != nil {
		return failed, err
	}
	lasting := newID()
	if !s.accept(s.fronts[0], "/lasting/"+lasting, map[string]any{"task-spec": "lasts gpu=1", "steps": []any{
		map[string]any{"count": 11, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "long-running": true, "anti-affinity": 1},
	}}) {
		return failed, fmt.Errorf("the lasting job was not accepted")
	}
	if !within(10*time.Second, func() bool { return s.runningOf(lasting) == 11 }) {
		return failed, fmt.Errorf("the lasting tasks don't run")
	}
	if trouble {
		for range 9 {
			if !s.accept(s.fronts[0], "/advised/"+newID(), map[string]any{"task-spec": "ms=6800 gpu=8", "steps": []any{
				map[string]any{"count": 1, "cpu": 13000, "mem-mb": 30000, "gpu": 8, "estimated-ms": 6800},
			}}) {
				return failed, fmt.Errorf("a large job was not accepted")
			}
			time.Sleep(2100 * time.Millisecond)
		}
	}
	small := newID()
	if !s.accept(s.fronts[0], "/batch/"+small, map[string]any{"task-spec": "ms=1000 gpu=1", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 1000},
	}}) {
		return failed, fmt.Errorf("the small job was not accepted")
	}
	s.record.say("the traffic ends")
	time.Sleep(finishS)
	s.record.say("finish_s after the end of the traffic")
	v := s.lostWhileIdle("/batch/", small, 1)
	a.mu.Lock()
	s.record.say("the advice service was asked %d times about the small job", a.answered[small])
	a.mu.Unlock()
	return v, nil
}
