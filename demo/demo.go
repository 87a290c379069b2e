// Package demo runs the main job of the system on embedded stand-ins: calls and
// gangs of several client accounts in four failure domains, one of which is
// taken out by a confirmed plan and brought back.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/caller"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/standin"
)

// speed scales the timings of the protocol, so that the demonstration takes
// seconds.
const speed = 0.2

// movedDomain is the failure domain that is taken out and brought back.
const movedDomain = "Sousse"

var domainNames = []string{"Bizerte", "Tunis", "Nabeul", movedDomain}

// accounts are the client accounts: two with guarantees, two that borrow.
func accounts() []rosemarysill.Account {
	adjacent := rosemarysill.Shape{Members: 2, Accelerators: 8, Processors: 8, MemoryMB: 1024, Adjacent: true}
	return []rosemarysill.Account{
		{Name: "Bizerte Arcades", Guarantees: []rosemarysill.Guarantee{{Shape: adjacent, Count: 1}}},
		{Name: "Sfax Flippers", Guarantees: []rosemarysill.Guarantee{{Shape: adjacent, Count: 1}}},
		{Name: "Tunis Rounds"},
		{Name: "Nabeul Parts"},
	}
}

// run is one demonstration.
type run struct {
	f        *fleet
	out      io.Writer
	began    time.Time
	caller   *caller.Client
	operator *operator.Client

	mu     sync.Mutex
	times  map[string]*hdrhistogram.Histogram // milliseconds, by what was asked
	codes  map[rosemarysill.Code]int
	moved  [2]time.Time       // the domain was out in this time
	blocks []int              // largest free blocks seen
	once   map[uuid.UUID]bool // non-idempotent calls
	// accelerators of one member, by job
	accelerators map[uuid.UUID]int
}

// Run runs the demonstration and writes its account to out. It fails when a
// promise was broken.
func Run(ctx context.Context, out io.Writer, opts ...rosemarysill.Option) error {
	f, err := newFleet(rosemarysill.DefaultTimings().Scaled(speed), opts)
	if err != nil {
		return err
	}
	defer f.close()
	r := &run{f: f, out: out, began: time.Now(), times: map[string]*hdrhistogram.Histogram{}, codes: map[rosemarysill.Code]int{},
		once: map[uuid.UUID]bool{}, accelerators: map[uuid.UUID]int{}}
	if err := r.build(); err != nil {
		return err
	}
	r.caller, r.operator = caller.NewClient(f.http), operator.NewClient(f.http)
	defer r.caller.Close()
	defer r.operator.Close()
	if err := r.declare(ctx); err != nil {
		return err
	}
	if err := r.work(ctx); err != nil {
		return err
	}
	return r.summary()
}

// say writes a line of the account with the time since the start.
func (r *run) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// build starts two entries, one upstream and two or three workers in each
// failure domain.
func (r *run) build() error {
	if err := r.f.addEntries(2); err != nil {
		return err
	}
	workers := 0
	for i, d := range domainNames {
		if err := r.f.addUpstream("upstream-"+d, d); err != nil {
			return err
		}
		for range 2 + min(1, 3-i) {
			workers++
			if err := r.f.addWorker(fmt.Sprintf("worker-%d", workers), d, "rack-"+d); err != nil {
				return err
			}
		}
	}
	r.say("started 2 entries, %d upstreams and %d workers of 8 accelerators in %v", len(domainNames), workers, domainNames)
	return nil
}

func (r *run) declare(ctx context.Context) error {
	in := rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: accounts()}
	for _, d := range domainNames {
		in.Domains = append(in.Domains, rosemarysill.Domain{Name: d, Region: "Tunisia"})
	}
	if err := r.change(ctx, in); err != nil {
		return err
	}
	r.say("declared %d client accounts, two of them with a guaranteed shape of 2 x 8 adjacent accelerators", len(in.Accounts))
	return r.until(ctx, "all agents at the revision", func(s rosemarysill.Status) bool {
		return len(s.AgentsBehind) == 0 && s.AgentsAtRevision == len(s.Workers)+len(s.Upstreams) && len(s.Workers) > 0
	})
}

// change plans an intent, shows the plan and confirms it.
func (r *run) change(ctx context.Context, in rosemarysill.Intent) error {
	return r.retry(ctx, func() error {
		p, err := r.operator.Plan(ctx, in)
		if err != nil {
			return err
		}
		for _, e := range p.Effects {
			r.say("  plan: %s %s: %s", e.Verb, e.Subject, e.Detail)
		}
		c, err := r.operator.Confirm(ctx, p.ID)
		if err != nil {
			return err
		}
		if c.Code != rosemarysill.Done {
			return rosemarysill.NewError(c.Code, "%s", c.Detail)
		}
		r.say("confirmed %s %s: revision %d", in.Kind, in.Target, c.Revision)
		return nil
	})
}

// retry repeats f until it succeeds, for at most 20 s.
func (r *run) retry(ctx context.Context, f func() error) error {
	deadline := time.Now().Add(20 * time.Second)
	for {
		err := f()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *run) until(ctx context.Context, what string, ok func(rosemarysill.Status) bool) error {
	return r.retry(ctx, func() error {
		s, err := r.operator.Status(ctx)
		if err == nil && !ok(s) {
			err = errors.Newf("%s: not yet", what)
		}
		return err
	})
}

// record notes the end of a request.
func (r *run) record(what string, began time.Time, code rosemarysill.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.times[what]
	if !ok {
		h = hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
		r.times[what] = h
	}
	_ = h.RecordValue(max(1, time.Since(began).Milliseconds()))
	r.codes[code]++
}

// call serves one call and records it.
func (r *run) call(ctx context.Context, account string, class rosemarysill.Class, idempotent bool) {
	began := time.Now()
	body, _ := json.Marshal(standin.CallBody{Seconds: 0.02})
	id := uuid.Must(uuid.NewV7())
	if !idempotent {
		r.mu.Lock()
		r.once[id] = true
		r.mu.Unlock()
	}
	a := r.caller.Call(ctx, rosemarysill.Call{
		ID: id, Account: account, Class: class, Idempotent: idempotent,
		Deadline: began.Add(5 * time.Second), Body: body,
	})
	r.record(fmt.Sprintf("call %-6s %s", class, account), began, a.Code)
}

// job submits a gang and waits for its end.
func (r *run) job(ctx context.Context, account string, class rosemarysill.Class, s rosemarysill.Shape, seconds float64) error {
	began := time.Now()
	body, _ := json.Marshal(standin.TaskBody{RunSeconds: seconds, Result: "reconciled"})
	spec := rosemarysill.JobSpec{
		ID: uuid.Must(uuid.NewV7()), Account: account, Class: class, Idempotent: true,
		Shape: s, DeclaredSeconds: max(1, int(seconds)), Body: body,
	}
	r.mu.Lock()
	r.accelerators[spec.ID] = s.Accelerators
	r.mu.Unlock()
	err := r.retry(ctx, func() error { _, err := r.caller.Submit(ctx, spec); return err })
	if err != nil {
		return err
	}
	var job rosemarysill.Job
	err = r.retry(ctx, func() error {
		var err error
		job, err = r.caller.Job(ctx, spec.ID)
		if err == nil && !job.State.Final() {
			err = errors.Newf("job %s of %s is %s: %s", spec.ID, account, job.State, job.Detail)
		}
		return err
	})
	if err != nil {
		return err
	}
	r.record(fmt.Sprintf("job  %-6s %s", class, account), began, job.Code)
	r.say("job of %s, %d x %d accelerators: %s after %d attempt(s)", account, s.Members, s.Accelerators, job.Code, job.Attempt)
	return nil
}
