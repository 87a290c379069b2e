package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// advice is the service that names the minions which may run a step.
type advice struct {
	w       *world
	address string
	decide  time.Duration
	each    time.Duration
	valid   time.Duration
	allowed func(minion *minion) bool
	turns   sync.Mutex // the calls are handled one at a time

	mu      sync.Mutex
	tickets map[string]ticket
	jobs    map[string]bool // jobs on queues with advice
}

type ticket struct {
	step    string
	minion  string
	born    int64
	expires time.Time
}

func newAdvice(w *world) *advice {
	return &advice{
		w: w, decide: 30 * time.Millisecond, each: 5 * time.Millisecond, valid: 3 * time.Second, allowed: func(*minion) bool { return true },
		tickets: make(map[string]ticket), jobs: make(map[string]bool),
	}
}

func (a *advice) start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	s, err := a.w.serve(a.w.ip(3, 1), servicePort, mux)
	if err == nil {
		a.address = s.address
	}
	return err
}

func (a *advice) advise(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turns.Lock()
	time.Sleep(a.decide + time.Duration(len(q.Workers))*a.each)
	a.turns.Unlock()
	good := [][2]string{}
	a.mu.Lock()
	for _, id := range q.Workers {
		for _, m := range a.w.minions {
			m.mu.Lock()
			ok, born := m.up && m.id == id && a.allowed(m), m.born.UnixMilli()
			m.mu.Unlock()
			if !ok {
				continue
			}
			name := fmt.Sprintf("c%03x-%s", len(a.tickets), q.Step[:4])
			a.tickets[name] = ticket{q.Step, id, born, time.Now().Add(a.valid)}
			good = append(good, [2]string{id, name})
		}
	}
	a.mu.Unlock()
	a.w.record.add("advice on step %s for %v: %v", q.Step, q.Workers, good)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "valid-ms": a.valid.Milliseconds()})
}

// check returns why a start has no valid ticket, or an empty string.
func (a *advice) check(o order, id string, born int64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	job, _, _ := strings.Cut(o.Task, ".")
	if !a.jobs[job] {
		return ""
	}
	t, ok := a.tickets[o.Ticket]
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	switch {
	case !ok:
		return fmt.Sprintf("unknown ticket %q", o.Ticket)
	case t.step != step || t.minion != id:
		return "ticket " + o.Ticket + " is for another step or minion"
	case t.born != born:
		return "ticket " + o.Ticket + " is for an earlier life of the minion"
	case time.Now().After(t.expires):
		return "ticket " + o.Ticket + " is no longer valid"
	}
	return ""
}

// cloud is the interface for machines.
type cloud struct {
	w       *world
	address string
	onOrder func(holder string)                                   // after an order has been carried out, before its answer
	late    func(holder, machine string, order int) time.Duration // delay of an order that gets no answer, or 0

	mu      sync.Mutex
	fences  map[string]int64
	done    map[string]bool // machine and wave
	orders  int
	down    map[string]bool // machines in upkeep
	upkeeps []upkeep
}

// upkeep is the begin of one upkeep.
type upkeep struct {
	machine string
	wave    int64
	down    int // machines that were in upkeep then
}

func newCloud(w *world) *cloud {
	return &cloud{w: w, fences: make(map[string]int64), done: make(map[string]bool), down: make(map[string]bool)}
}

func (c *cloud) start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.order)
	s, err := c.w.serve(c.w.ip(3, 2), servicePort, mux)
	if err == nil {
		c.address = s.address
	}
	return err
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	all := []any{}
	for _, m := range c.w.minions {
		m.mu.Lock()
		all = append(all, map[string]any{
			"machine": m.machine, "pool": service, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": m.id,
		})
		m.mu.Unlock()
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": all, "next-token": nil})
}

func (c *cloud) order(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Rosemarysill-Lease-Holder")
	fence, _ := strconv.ParseInt(r.Header.Get("Rosemarysill-Fencing-Token"), 10, 64)
	c.mu.Lock()
	c.orders++
	n := c.orders
	c.mu.Unlock()
	if c.late != nil {
		if d := c.late(holder, q.Machine, n); d > 0 {
			c.w.record.add("order of %s (token %d) for upkeep of %s in wave %d gets no answer and is carried out in %v", holder, fence, q.Machine, q.Wave, d)
			time.AfterFunc(d, func() { c.carry(holder, fence, q.Machine, q.Wave) })
			if c.onOrder != nil {
				c.onOrder(holder)
			}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := c.carry(holder, fence, q.Machine, q.Wave)
	if c.onOrder != nil {
		c.onOrder(holder)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]any{"reason": reason})
}

// carry carries an order for upkeep out.
func (c *cloud) carry(holder string, fence int64, machine string, wave int64) (status int, reason string) {
	defer func() {
		c.w.record.add("order of %s (token %d) for upkeep of %s in wave %d: %d %s", holder, fence, machine, wave, status, reason)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	var m *minion
	for _, candidate := range c.w.minions {
		if candidate.machine == machine {
			m = candidate
		}
	}
	key := fmt.Sprintf("%s/%d", machine, wave)
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case fence < c.fences[machine]:
		return http.StatusConflict, "fence"
	}
	c.fences[machine] = fence
	if c.done[key] {
		return http.StatusOK, ""
	}
	if !m.isUp() {
		return http.StatusConflict, "busy"
	}
	c.done[key] = true
	c.upkeeps = append(c.upkeeps, upkeep{machine, wave, len(c.down)})
	c.down[machine] = true
	m.crash("upkeep")
	m.mu.Lock()
	m.state = "upkeep"
	m.mu.Unlock()
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		delete(c.down, machine)
		c.mu.Unlock()
		_ = m.begin(fmt.Sprintf("i-%08x", 0x8f3a9100+0x100*m.lives+m.index))
	})
	return http.StatusOK, ""
}
