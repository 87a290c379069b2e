// Package placer places waiting jobs while its entry holds the placement lease.
package placer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/attempt"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/placement"
)

// Placer places waiting jobs and drives their attempts while its entry holds
// the placement lease.
type Placer struct {
	parts     attempt.Parts
	keepJobs  time.Duration
	finished  func(j rosemarysill.Job, started time.Time)
	wakeUp    chan struct{}
	epochSeen atomic.Uint64 // highest placement epoch known
	work      sync.WaitGroup
	held      bool
	keepAt    time.Time
	tidyAt    time.Time

	mu      sync.Mutex
	drivers map[uuid.UUID]*attempt.Driver
	tries   map[uuid.UUID]*tries
	health  *placement.Health
	ratios  *placement.Ratios
}

// tries are the attempts of a waiting job that no record shows.
type tries struct {
	highest  int
	refusals int // in a row, because an agent has seen a higher attempt
	// An agent may refuse what the table allows, until its next heartbeat; a
	// pause keeps the attempts from following each other without one.
	pause    time.Duration
	notUntil time.Time
}

// New returns a placer. Finished is called with each job that reached a final
// state and the start of its last attempt, if any; jobs that have been final for
// keepJobs are deleted from the store.
func New(parts attempt.Parts, keepJobs time.Duration, finished func(j rosemarysill.Job, started time.Time)) *Placer {
	return &Placer{
		parts: parts, keepJobs: keepJobs, finished: finished,
		wakeUp:  make(chan struct{}, 1),
		drivers: map[uuid.UUID]*attempt.Driver{},
		tries:   map[uuid.UUID]*tries{},
		health:  placement.NewHealth(),
		ratios:  placement.NewRatios(),
	}
}

// Run decides at each interval and whenever something has changed, until ctx
// ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(p.parts.Opts.Timings.DecideEvery)
	defer t.Stop()
	defer p.work.Wait()
	for ctx.Err() == nil {
		began := time.Now()
		p.step(ctx)
		// Wakes come with each heartbeat that changes something. The pause
		// keeps decisions below a fifth of the processor time of a core.
		pause := max(4*time.Since(began), p.parts.Opts.Timings.DecideEvery/10)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-p.wakeUp:
		}
	}
}

func (p *Placer) step(ctx context.Context) {
	now := p.parts.Opts.Now()
	for _, name := range p.parts.Table.Sweep(now) {
		event.AgentMissing.Log(p.parts.Opts.Log).Str("Agent", name).Send()
	}
	auth := p.parts.Members.Authority()
	if !p.keep(ctx, auth, now) {
		return
	}
	jobs, loaded := p.parts.Book.All()
	if !loaded {
		return
	}
	p.resume(ctx, jobs, now)
	p.tidy(ctx, jobs, now)
	p.leaveDomains(auth.Config)
	if !p.anyWaiting(jobs) {
		return
	}
	d := p.parts.Opts.Policy.Decide(p.ClusterState(&auth.Config, now), now)
	for _, r := range d.Reject {
		p.reject(ctx, r, now)
	}
	for _, r := range d.Reclaim {
		if dr := p.driver(r.Job); dr != nil {
			dr.AskReclaim()
		}
	}
	for _, place := range d.Place {
		p.start(ctx, place, now)
	}
}

// anyWaiting reports whether a decision could place a job.
func (p *Placer) anyWaiting(jobs []job.Stored) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range jobs {
		if s.Job.State == rosemarysill.JobQueued && p.drivers[s.Job.Spec.ID] == nil {
			return true
		}
	}
	return false
}

// keep holds the placement lease if it can be had, and reports whether this
// entry may decide now.
func (p *Placer) keep(ctx context.Context, auth rosemarysill.Authority, now time.Time) bool {
	if !auth.Established || !auth.ByStore(now) {
		p.setHeld(false, 0)
		return false
	}
	if !now.Before(p.keepAt) {
		p.keepAt = now.Add(p.parts.Opts.Timings.PlacerLease / 5)
		p.parts.Holder.Keep(ctx)
	}
	epoch, ok := p.parts.Holder.Held()
	p.setHeld(ok, epoch)
	return ok
}

func (p *Placer) setHeld(held bool, epoch uint64) {
	if held == p.held {
		return
	}
	p.held = held
	ev := event.PlacementLost
	if held {
		ev = event.PlacementTaken
		p.raiseEpochSeen(epoch)
	}
	ev.Log(p.parts.Opts.Log).Uint64("Epoch", epoch).Send()
}

func (p *Placer) raiseEpochSeen(epoch uint64) {
	for {
		seen := p.epochSeen.Load()
		if epoch <= seen || p.epochSeen.CompareAndSwap(seen, epoch) {
			return
		}
	}
}

func (p *Placer) driver(id uuid.UUID) *attempt.Driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drivers[id]
}

// claim enters a driver for its job; it returns false if the job has one.
func (p *Placer) claim(d *attempt.Driver) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.drivers[d.ID()]; ok {
		return false
	}
	p.drivers[d.ID()] = d
	return true
}

// resume takes over the attempts that the records show, and ends waiting jobs
// that are to be cancelled.
func (p *Placer) resume(ctx context.Context, jobs []job.Stored, now time.Time) {
	for _, s := range jobs {
		if s.Job.State.Final() || p.driver(s.Job.Spec.ID) != nil {
			continue
		}
		if s.Job.State == rosemarysill.JobQueued {
			if s.Job.CancelRequested {
				p.finish(ctx, gang.CancelQueued(s.Job, now), s.Version, now)
			}
			continue
		}
		p.takeOver(ctx, s, now)
	}
}

func (p *Placer) takeOver(ctx context.Context, s job.Stored, now time.Time) {
	epoch, ok := p.parts.Holder.Held()
	if !ok {
		return
	}
	a, effects := gang.TakeOver(s.Job, epoch, p.parts.Opts.Timings, now)
	if a == nil {
		return
	}
	p.drive(ctx, attempt.New(p.parts, s, epoch, placedJob(s.Job)), a, effects)
}

// start begins the attempt that a decision asks for.
func (p *Placer) start(ctx context.Context, place rosemarysill.PlaceDecision, now time.Time) {
	s, ok := p.parts.Book.Get(place.Job)
	epoch, held := p.parts.Holder.Held()
	if !ok || !held || s.Job.State != rosemarysill.JobQueued {
		return
	}
	job := s.Job
	job.Guaranteed = place.Guaranteed
	t := p.triesOf(place.Job)
	if now.Before(t.notUntil) {
		return
	}
	number := gang.NextAttempt(job, t.highest, t.refusals)
	p.mu.Lock()
	t.highest = number
	p.mu.Unlock()
	a, effects := gang.Begin(job, epoch, number, place.Slots, p.parts.Opts.Timings, now)
	placed := rosemarysill.PlacedJob{
		Spec: job.Spec, Attempt: number, Slots: place.Slots, Started: now, Guaranteed: place.Guaranteed,
	}
	p.drive(ctx, attempt.New(p.parts, s, epoch, placed), a, effects)
}

func (p *Placer) triesOf(id uuid.UUID) *tries {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tries[id]
	if !ok {
		t = &tries{}
		p.tries[id] = t
	}
	return t
}

// drive runs a driver and takes in its outcome.
func (p *Placer) drive(ctx context.Context, d *attempt.Driver, a *gang.Attempt, effects []gang.Effect) {
	if !p.claim(d) {
		return
	}
	p.work.Go(func() {
		outcome := d.Run(ctx, a, effects)
		p.learn(d, a, outcome)
		if outcome == gang.Unclear {
			p.reread(ctx, d.ID())
		}
		p.mu.Lock()
		delete(p.drivers, d.ID())
		p.mu.Unlock()
		p.Wake()
	})
}

// reread reads a record whose write was not resolved, so that the next step
// goes on from what the store has.
func (p *Placer) reread(ctx context.Context, id uuid.UUID) {
	for ctx.Err() == nil {
		if _, err := p.parts.Book.Read(ctx, id); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.parts.Opts.Timings.DecideEvery):
		}
	}
}

// reject ends a waiting job without running it.
func (p *Placer) reject(ctx context.Context, r rosemarysill.RejectDecision, now time.Time) {
	s, ok := p.parts.Book.Get(r.Job)
	if !ok || s.Job.State != rosemarysill.JobQueued || p.driver(r.Job) != nil {
		return
	}
	job := s.Job
	job.State, job.Code, job.Detail = rosemarysill.JobFailed, r.Code, r.Detail
	if job.MayHaveRun && r.Code.Truth() == rosemarysill.TruthNotRun {
		job.Code, job.Detail = rosemarysill.TaskFailed, "an earlier attempt ran; "+r.Detail
	}
	event.JobRejected.Log(p.parts.Opts.Log).Stringer("Job", r.Job).Stringer("Code", job.Code).Str("Detail", r.Detail).Send()
	p.finish(ctx, job, s.Version, now)
}

// finish writes a final state without an attempt.
func (p *Placer) finish(ctx context.Context, job rosemarysill.Job, version uint64, now time.Time) {
	if stored, res := p.parts.Book.Write(ctx, job, version, now); res.Effect == kvstore.TookEffect {
		p.finished(stored.Job, time.Time{})
	}
}

// leaveDomains moves idempotent jobs away from failure domains that are out.
// Others stay until they end, because they cannot run again.
func (p *Placer) leaveDomains(cfg rosemarysill.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.drivers {
		j := d.Placed()
		if !j.Stopping && j.Spec.Idempotent && p.parts.Table.AnyDomainOut(j.Slots, &cfg) {
			d.AskReclaim()
		}
	}
}

// tidyEvery is the time between deletions of old jobs from the store, and
// tidyMost their number: at most 10 calls a minute.
const (
	tidyEvery = time.Minute
	tidyMost  = 10
)

// tidy deletes jobs that have been final for KeepJobs.
func (p *Placer) tidy(ctx context.Context, jobs []job.Stored, now time.Time) {
	if now.Before(p.tidyAt) {
		return
	}
	p.tidyAt = now.Add(tidyEvery)
	p.forget(jobs)
	n := 0
	for _, s := range jobs {
		if n < tidyMost && s.Job.State.Final() && now.Sub(s.Job.Changed) > p.keepJobs {
			n++
			// A failed deletion is tried again a minute later.
			_ = p.parts.Opts.Store.Delete(ctx, job.Key(s.Job.Spec.ID), s.Version)
		}
	}
}

// Wake asks for a placement decision soon.
func (p *Placer) Wake() {
	select {
	case p.wakeUp <- struct{}{}:
	default:
	}
}

// EpochSeen returns the highest placement epoch that this entry knows.
func (p *Placer) EpochSeen() uint64 { return p.epochSeen.Load() }

// forget drops the tries of jobs that are final, which another entry or a
// caller's cancellation may have made so.
func (p *Placer) forget(jobs []job.Stored) {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := map[uuid.UUID]bool{}
	for _, s := range jobs {
		if !s.Job.State.Final() {
			open[s.Job.Spec.ID] = true
		}
	}
	for id := range p.tries {
		if !open[id] && p.drivers[id] == nil {
			delete(p.tries, id)
		}
	}
}
