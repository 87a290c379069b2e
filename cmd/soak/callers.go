package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	callTimeout    = 3 * time.Second
	maxAttempts    = 5
	submitInterval = 120 * time.Millisecond
	// deadlyShare is the number of jobs of which one crashes its workers.
	deadlyShare = 25
	// minCrashes is the number of workers that have to crash under a task before its
	// job may be given up.
	minCrashes = 2
)

// request is one submitted job with the answers that the callers received.
type request struct {
	id             string
	prefix         string
	job            *work.Job
	accepted       bool
	outcomeUnknown bool // an answer was lost or timed out
	cancelled      bool
	deadly         bool // its tasks crash the workers
	failed         bool // it was given up
}

// callers submit and cancel jobs, record the answers and check the outcomes.
type callers struct {
	system     *system
	mu         sync.Mutex
	requests   []*request
	violations []string
	revokedAt  map[string]time.Time // time of revocation by API key
	key        string

	configChecks map[int]int // number of checks of the configuration by status
}

func newCallers(s *system) *callers {
	return &callers{system: s, revokedAt: make(map[string]time.Time), key: "k0", configChecks: make(map[int]int)}
}

func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *callers) currentKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.key
}

func (c *callers) client(i int, key string) *platform.Client {
	return platform.NewClient(c.system.nodes[i%entryCount].Callers, queueHost, key)
}

// randomRequest returns a request for a random job, the n-th of the run. One job in
// deadlyShare has tasks that crash their workers.
func randomRequest(r, deadly *rand.Rand, n int, kinds selection) *request {
	q := &request{id: fmt.Sprintf("%016x", uint64(n)<<32|uint64(r.Uint32())), prefix: queuePrefix + "b/"}
	step := work.Step{Count: 1 + r.IntN(4), Shape: work.Shape{MilliCPU: 500, MemoryMB: 10, Accelerators: int64(r.IntN(3))}, Estimate: 500 * time.Millisecond}
	spec := fmt.Sprintf("for=%dms", 100+r.IntN(4000))
	switch r.IntN(4) {
	case 0:
		step.Gang = true
		spec += fmt.Sprintf(" gang=%d", step.Count)
		q.prefix = queuePrefix + "u/"
	case 1:
		step.Checkpointing = true
		spec += " saves"
	}
	if deadly.IntN(deadlyShare) == 0 && !kinds.earliest && kinds.has(deadlyJobs) {
		q.deadly = true
		spec += fmt.Sprintf(" %s%dms", standin.SpecCrashes, 5+deadly.IntN(300))
	}
	spec += " " + standin.Needs(step.Shape)
	steps := []work.Step{step}
	if r.IntN(3) == 0 && !step.Gang {
		next := step
		next.DependsOn = []int{0}
		steps = append(steps, next)
	}
	q.job = &work.Job{Spec: spec, Steps: steps}
	return q
}

// run submits jobs until ctx ends and waits for the calls in progress.
func (c *callers) run(ctx context.Context, seed uint64) {
	r, deadly := rand.New(rand.NewPCG(seed, 99)), rand.New(rand.NewPCG(seed, 97))
	var wg sync.WaitGroup
	for n := 1; ctx.Err() == nil; n++ {
		q, firstEntry, cancel := randomRequest(r, deadly, n, c.system.kinds), r.IntN(entryCount), r.IntN(6) == 0
		c.mu.Lock()
		c.requests = append(c.requests, q)
		c.mu.Unlock()
		wg.Go(func() { c.submit(q, firstEntry, cancel) })
		uptime.Sleep(ctx, submitInterval)
	}
	wg.Wait()
}

// submit sends a job to one entry after the other until it is accepted, at most
// maxAttempts times, and then cancels it if cancel is set.
func (c *callers) submit(q *request, firstEntry int, cancel bool) {
	ctx := context.Background()
	for attempt := range maxAttempts {
		client := c.client(firstEntry+attempt, c.currentKey())
		a, err := client.Submit(ctx, callTimeout, q.prefix, q.id, q.job)
		client.Close()
		c.mu.Lock()
		q.accepted = q.accepted || a.Status == http.StatusOK
		q.outcomeUnknown = q.outcomeUnknown || err != nil || a.Status == http.StatusGatewayTimeout
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
	client := c.client(firstEntry, c.currentKey())
	defer client.Close()
	a, err := client.Cancel(ctx, callTimeout, q.prefix, q.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	q.cancelled = true // a cancellation can take effect although its answer was lost
	if q.accepted && err == nil && a.Status == http.StatusGone {
		c.violations = append(c.violations, "cancellation of accepted job "+q.id+" was answered with status 410 (unknown job)")
	}
}

// revocationTolerance allows for the duration of a call.
const revocationTolerance = 500 * time.Millisecond

// rotateKeys replaces the API key every few seconds until ctx ends, and checks
// that no entry accepts a revoked one after the revocation delay.
func (c *callers) rotateKeys(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 98))
	for n := 1; ctx.Err() == nil; n++ {
		uptime.Sleep(ctx, randomDuration(r, 3000, 6000))
		old, next := c.currentKey(), fmt.Sprintf("k%d", n)
		if err := c.system.configure(next); err != nil {
			c.addViolation("write of configuration with key %s: %v", next, err)
		}
		c.mu.Lock()
		c.key, c.revokedAt[old] = next, time.Now()
		c.mu.Unlock()
		for i := range entryCount {
			c.checkKeyRevoked(ctx, i, old)
		}
	}
}

// checkKeyRevoked calls an entry with a revoked key for one second and records a
// violation if the key is accepted later than the revocation delay allows.
func (c *callers) checkKeyRevoked(ctx context.Context, i int, key string) {
	client := c.client(i, key)
	defer client.Close()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline) && ctx.Err() == nil; {
		sent := time.Now()
		a, err := client.Pending(ctx, callTimeout, queuePrefix+"b/")
		c.mu.Lock()
		revoked := c.revokedAt[key]
		c.mu.Unlock()
		if err == nil && a.Status == http.StatusOK && sent.Sub(revoked) > keyRevocationDelay+revocationTolerance {
			c.addViolation("entry %d accepts key %s %s after its revocation; the bound is %s", i, key, sent.Sub(revoked), keyRevocationDelay+revocationTolerance)
		}
		uptime.Sleep(ctx, 100*time.Millisecond)
	}
}

// checkOutcomes waits until all accepted jobs are in a final state, or until the
// timeout, and checks the outcome of every request.
func (c *callers) checkOutcomes(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	client := c.client(0, c.currentKey())
	defer client.Close()
	for _, q := range c.requests {
		if !q.accepted {
			c.checkRefused(q)
			continue
		}
		var latest platform.Answer
		for {
			a, err := client.State(context.Background(), callTimeout, q.prefix, q.id)
			if err == nil && a.Status == http.StatusOK {
				latest = a
			}
			if latest.State == work.Completed {
				c.system.steps.Completed(q.id)
			}
			if latest.State.Final() || time.Now().After(deadline) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.checkAccepted(q, latest)
	}
}

// summary returns the numbers of requests by their answers.
func (c *callers) summary() string {
	accepted, uncertain, cancelled, deadly, innocent := 0, 0, 0, 0, 0
	for _, q := range c.requests {
		if q.deadly {
			deadly++
		} else if q.failed {
			innocent++
		}
		switch {
		case q.cancelled:
			cancelled++
		case q.accepted:
			accepted++
		case q.outcomeUnknown:
			uncertain++
		}
	}
	return fmt.Sprintf("%d jobs: %d accepted, %d cancelled, %d without an answer, %d deadly; %d others given up; checks of the configuration by status %v, %d forwards to an outdated entry",
		len(c.requests), accepted, cancelled, uncertain, deadly, innocent, c.configChecks, c.system.forwardsToOutdated())
}

// maxCrashes returns the largest number of workers that have crashed under a task of
// the job.
func (c *callers) maxCrashes(q *request) int {
	n := 0
	for s, step := range q.job.Steps {
		for i := range step.Count {
			n = max(n, c.system.steps.Crashes(work.TaskKey{Job: q.id, Step: s, Index: i}))
		}
	}
	return n
}

// checkRefused checks that a job did not run if every submission was refused.
func (c *callers) checkRefused(q *request) {
	if q.outcomeUnknown {
		return
	}
	for i := range q.job.Steps[0].Count {
		if n := c.system.steps.Starts(work.RunKey{Task: work.TaskKey{Job: q.id, Index: i}, Run: 1}); n > 0 {
			c.addViolation("refused job %s: task 0.%d was started %d times, want 0", q.id, i, n)
		}
	}
}

// checkAccepted checks the last observed state of an accepted job.
func (c *callers) checkAccepted(q *request, a platform.Answer) {
	switch {
	case a.State == work.Completed:
		for s, step := range q.job.Steps {
			for i := range step.Count {
				if c.system.steps.Done(work.TaskKey{Job: q.id, Step: s, Index: i}) == 0 {
					c.addViolation("job %s is reported as completed, but task %d.%d did not run to its end", q.id, s, i)
				}
			}
		}
	case a.State == work.Cancelled && q.cancelled:
	case a.State == work.Failed && c.maxCrashes(q) >= minCrashes:
		q.failed = true
	case a.State == work.Failed:
		c.addViolation("job %s was given up after at most %d crashes under one of its tasks, want %d", q.id, c.maxCrashes(q), minCrashes)
	default:
		c.addViolation("accepted job %s: last state %q (status %d), want %q or, after a cancellation, %q", q.id, a.State, a.Status, work.Completed, work.Cancelled)
	}
}
