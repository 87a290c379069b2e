package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	callTimeout = 3 * time.Second
	tries       = 5
	callEvery   = 120 * time.Millisecond
)

// request is what callers know about one job.
type request struct {
	id        string
	prefix    string
	job       *work.Job
	accepted  bool
	uncertain bool // an answer was lost
	cancelled bool
}

// callers submit and cancel jobs and remember the answers.
type callers struct {
	site     *site
	mu       sync.Mutex
	requests []*request
	breaches []string
	keys     map[string]time.Time // keys that were taken away, and when
	key      string
}

func newCallers(s *site) *callers {
	return &callers{site: s, keys: make(map[string]time.Time), key: "k0"}
}

func (c *callers) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

func (c *callers) good() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.key
}

func (c *callers) client(i int, key string) *platform.Client {
	return platform.NewClient(c.site.nodes[i%entries].Callers, host, key)
}

// draw returns a random job.
func draw(r *rand.Rand, n int) *request {
	q := &request{id: fmt.Sprintf("%016x", uint64(n)<<32|uint64(r.Uint32())), prefix: prefix + "b/"}
	step := work.Step{Count: 1 + r.IntN(4), Shape: work.Shape{MilliCPU: 500, MemoryMB: 10, Accelerators: int64(r.IntN(3))}, Estimate: 500 * time.Millisecond}
	spec := fmt.Sprintf("for=%dms", 100+r.IntN(4000))
	switch r.IntN(4) {
	case 0:
		step.Gang = true
		spec += fmt.Sprintf(" gang=%d", step.Count)
		q.prefix = prefix + "u/"
	case 1:
		step.Checkpointing = true
		spec += " saves"
	}
	steps := []work.Step{step}
	if r.IntN(3) == 0 && !step.Gang {
		next := step
		next.DependsOn = []int{0}
		steps = append(steps, next)
	}
	q.job = &work.Job{Spec: spec, Steps: steps}
	return q
}

// run submits jobs until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 99))
	var parts sync.WaitGroup
	for n := 1; ctx.Err() == nil; n++ {
		q, first, cancel := draw(r, n), r.IntN(entries), r.IntN(6) == 0
		c.mu.Lock()
		c.requests = append(c.requests, q)
		c.mu.Unlock()
		parts.Go(func() { c.submit(q, first, cancel) })
		uptime.Sleep(ctx, callEvery)
	}
	parts.Wait()
}

// submit hands a job in, again at other entries while that helps, and cancels
// some.
func (c *callers) submit(q *request, first int, cancel bool) {
	ctx := context.Background()
	for try := range tries {
		client := c.client(first+try, c.good())
		a, err := client.Submit(ctx, callTimeout, q.prefix, q.id, q.job)
		client.Close()
		c.mu.Lock()
		q.accepted = q.accepted || a.Status == http.StatusOK
		q.uncertain = q.uncertain || err != nil || a.Status == http.StatusGatewayTimeout
		done := q.accepted
		c.mu.Unlock()
		if done {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	if !cancel {
		return
	}
	client := c.client(first, c.good())
	defer client.Close()
	a, err := client.Cancel(ctx, callTimeout, q.prefix, q.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	q.cancelled = true // it may have taken effect even without an answer
	if q.accepted && err == nil && a.Status == http.StatusGone {
		c.breaches = append(c.breaches, "accepted job "+q.id+" is unknown to a cancel")
	}
}

// revokeSlack allows for the time of a call.
const revokeSlack = 500 * time.Millisecond

// changeKeys takes keys away from time to time, and looks whether they are
// still honoured, until ctx ends.
func (c *callers) changeKeys(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 98))
	for n := 1; ctx.Err() == nil; n++ {
		uptime.Sleep(ctx, between(r, 3000, 6000))
		old, next := c.good(), fmt.Sprintf("k%d", n)
		if err := c.site.configure(next); err != nil {
			c.breach("configuration: %v", err)
		}
		c.mu.Lock()
		c.key, c.keys[old] = next, time.Now()
		c.mu.Unlock()
		for i := range entries {
			c.probe(ctx, i, old)
		}
	}
}

// probe looks whether an entry honours a key that was taken away too long ago.
func (c *callers) probe(ctx context.Context, i int, key string) {
	client := c.client(i, key)
	defer client.Close()
	for until := time.Now().Add(time.Second); time.Now().Before(until) && ctx.Err() == nil; {
		sent := time.Now()
		a, err := client.Pending(ctx, callTimeout, prefix+"b/")
		c.mu.Lock()
		taken := c.keys[key]
		c.mu.Unlock()
		if err == nil && a.Status == http.StatusOK && sent.Sub(taken) > revoke+revokeSlack {
			c.breach("entry %d honours a key %s after it was taken away", i, sent.Sub(taken))
		}
		uptime.Sleep(ctx, 100*time.Millisecond)
	}
}

// settle waits until all accepted jobs are final and checks what was promised.
func (c *callers) settle(limit time.Duration) {
	until := time.Now().Add(limit)
	client := c.client(0, c.good())
	defer client.Close()
	for _, q := range c.requests {
		if !q.accepted {
			c.refused(q)
			continue
		}
		var last platform.Answer
		for time.Now().Before(until) {
			a, err := client.State(context.Background(), callTimeout, q.prefix, q.id)
			if err == nil && a.Status == http.StatusOK {
				last = a
			}
			if last.State.Final() {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.final(q, last)
	}
}

// summary counts the requests by what became of them.
func (c *callers) summary() string {
	accepted, uncertain, cancelled := 0, 0, 0
	for _, q := range c.requests {
		switch {
		case q.cancelled:
			cancelled++
		case q.accepted:
			accepted++
		case q.uncertain:
			uncertain++
		}
	}
	return fmt.Sprintf("%d jobs: %d accepted, %d cancelled, %d without an answer", len(c.requests), accepted, cancelled, uncertain)
}

// refused checks that a job of which every try was refused has not run.
func (c *callers) refused(q *request) {
	if q.uncertain {
		return
	}
	for i := range q.job.Steps[0].Count {
		if n := c.site.steps.Starts(work.RunKey{Task: work.TaskKey{Job: q.id, Index: i}, Run: 1}); n > 0 {
			c.breach("job %s was refused and has run", q.id)
		}
	}
}

// final checks the end of an accepted job.
func (c *callers) final(q *request, a platform.Answer) {
	switch {
	case a.State == work.Completed:
		for s, step := range q.job.Steps {
			for i := range step.Count {
				if c.site.steps.Done(work.TaskKey{Job: q.id, Step: s, Index: i}) == 0 {
					c.breach("job %s is shown as completed and task %d.%d is not done", q.id, s, i)
				}
			}
		}
	case a.State == work.Cancelled && q.cancelled:
	default:
		c.breach("accepted job %s ends as %q (status %d)", q.id, a.State, a.Status)
	}
}
