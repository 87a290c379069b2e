package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
	"github.com/rosemarysill/rosemarysill/placement"
	"github.com/rosemarysill/rosemarysill/platform"
)

// placer places waiting jobs and drives their attempts while its entry holds
// the placement lease.
type placer struct {
	e      *Entry
	work   sync.WaitGroup
	held   bool
	keepAt time.Time
	tidyAt time.Time

	mu      sync.Mutex
	drivers map[uuid.UUID]*driver
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

func newPlacer(e *Entry) *placer {
	return &placer{
		e: e, drivers: map[uuid.UUID]*driver{}, tries: map[uuid.UUID]*tries{},
		health: placement.NewHealth(), ratios: placement.NewRatios(),
	}
}

// run decides at each interval and whenever something has changed, until ctx
// ends.
func (p *placer) run(ctx context.Context) {
	t := time.NewTicker(p.e.opts.Timings.DecideEvery)
	defer t.Stop()
	defer p.work.Wait()
	for ctx.Err() == nil {
		p.step(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-p.e.wakeUp:
		}
	}
}

func (p *placer) step(ctx context.Context) {
	now := p.e.opts.Now()
	for _, name := range p.e.table.sweep(now) {
		event.AgentMissing.Log(p.e.opts.Log).Str("Agent", name).Send()
	}
	auth := p.e.members.Authority()
	if !p.keep(ctx, auth, now) {
		return
	}
	jobs, loaded := p.e.book.all()
	if !loaded {
		return
	}
	p.resume(ctx, jobs, now)
	p.tidy(ctx, jobs, now)
	s := p.e.clusterState(&auth.Config, now)
	d := p.e.opts.Policy.Decide(s, now)
	for _, r := range d.Reject {
		p.reject(ctx, r, now)
	}
	p.leaveDomains(auth.Config)
	for _, r := range d.Reclaim {
		if dr := p.driver(r.Job); dr != nil {
			dr.askReclaim()
		}
	}
	for _, place := range d.Place {
		p.start(ctx, place, now)
	}
}

// keep holds the placement lease if it can be had, and reports whether this
// entry may decide now.
func (p *placer) keep(ctx context.Context, auth rosemarysill.Authority, now time.Time) bool {
	if !auth.Established || !auth.ByStore(now) {
		p.setHeld(false, 0)
		return false
	}
	if !now.Before(p.keepAt) {
		p.keepAt = now.Add(p.e.opts.Timings.PlacerLease / 5)
		p.e.holder.keep(ctx)
	}
	epoch, ok := p.e.holder.held()
	p.setHeld(ok, epoch)
	return ok
}

func (p *placer) setHeld(held bool, epoch uint64) {
	if held == p.held {
		return
	}
	p.held = held
	ev := event.PlacementLost
	if held {
		ev = event.PlacementTaken
		p.e.raiseEpochSeen(epoch)
	}
	ev.Log(p.e.opts.Log).Uint64("Epoch", epoch).Send()
}

func (e *Entry) raiseEpochSeen(epoch uint64) {
	for {
		seen := e.epochSeen.Load()
		if epoch <= seen || e.epochSeen.CompareAndSwap(seen, epoch) {
			return
		}
	}
}

func (p *placer) driver(id uuid.UUID) *driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drivers[id]
}

// claim enters a driver for its job; it returns false if the job has one.
func (p *placer) claim(d *driver) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.drivers[d.id]; ok {
		return false
	}
	p.drivers[d.id] = d
	return true
}

// resume takes over the attempts that the records show, and ends waiting jobs
// that are to be cancelled.
func (p *placer) resume(ctx context.Context, jobs []storedJob, now time.Time) {
	for _, s := range jobs {
		if s.job.State.Final() || p.driver(s.job.Spec.ID) != nil {
			continue
		}
		if s.job.State == rosemarysill.JobQueued {
			if s.job.CancelRequested {
				p.finish(ctx, gang.CancelQueued(s.job, now), s.version, now)
			}
			continue
		}
		p.takeOver(ctx, s, now)
	}
}

func (p *placer) takeOver(ctx context.Context, s storedJob, now time.Time) {
	epoch, ok := p.e.holder.held()
	if !ok {
		return
	}
	a, effects := gang.TakeOver(s.job, epoch, p.e.opts.Timings, now)
	if a == nil {
		return
	}
	p.drive(ctx, newDriver(p.e, s, epoch, placedJob(s.job)), a, effects)
}

// start begins the attempt that a decision asks for.
func (p *placer) start(ctx context.Context, place rosemarysill.PlaceDecision, now time.Time) {
	s, ok := p.e.book.get(place.Job)
	epoch, held := p.e.holder.held()
	if !ok || !held || s.job.State != rosemarysill.JobQueued {
		return
	}
	job := s.job
	job.Guaranteed = place.Guaranteed
	t := p.triesOf(place.Job)
	if now.Before(t.notUntil) {
		return
	}
	number := gang.NextAttempt(job, t.highest, t.refusals)
	p.mu.Lock()
	t.highest = number
	p.mu.Unlock()
	a, effects := gang.Begin(job, epoch, number, place.Slots, p.e.opts.Timings, now)
	placed := rosemarysill.PlacedJob{
		Spec: job.Spec, Attempt: number, Slots: place.Slots, Started: now, Guaranteed: place.Guaranteed,
	}
	p.drive(ctx, newDriver(p.e, s, epoch, placed), a, effects)
}

func (p *placer) triesOf(id uuid.UUID) *tries {
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
func (p *placer) drive(ctx context.Context, d *driver, a *gang.Attempt, effects []gang.Effect) {
	if !p.claim(d) {
		return
	}
	p.work.Go(func() {
		outcome := d.run(ctx, a, effects)
		p.learn(d, a, outcome)
		if outcome == gang.Unclear {
			p.reread(ctx, d.id)
		}
		p.mu.Lock()
		delete(p.drivers, d.id)
		p.mu.Unlock()
		p.e.wake()
	})
}

// reread reads a record whose write was not resolved, so that the next step
// goes on from what the store has.
func (p *placer) reread(ctx context.Context, id uuid.UUID) {
	for ctx.Err() == nil {
		if _, err := p.e.book.read(ctx, id); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.e.opts.Timings.DecideEvery):
		}
	}
}

// reject ends a waiting job without running it.
func (p *placer) reject(ctx context.Context, r rosemarysill.RejectDecision, now time.Time) {
	s, ok := p.e.book.get(r.Job)
	if !ok || s.job.State != rosemarysill.JobQueued || p.driver(r.Job) != nil {
		return
	}
	job := s.job
	job.State, job.Code, job.Detail = rosemarysill.JobFailed, r.Code, r.Detail
	if job.Ran && r.Code.Truth() == rosemarysill.TruthNotRun {
		job.Code, job.Detail = rosemarysill.TaskFailed, "an earlier attempt ran; "+r.Detail
	}
	event.JobRejected.Log(p.e.opts.Log).Stringer("Job", r.Job).Stringer("Code", job.Code).Str("Detail", r.Detail).Send()
	p.finish(ctx, job, s.version, now)
}

// finish writes a final state without an attempt.
func (p *placer) finish(ctx context.Context, job rosemarysill.Job, version uint64, now time.Time) {
	if stored, res := p.e.book.write(ctx, job, version, now); res.Effect == platform.TookEffect {
		p.e.finishedJob(stored.job)
	}
}

// leaveDomains moves idempotent jobs away from failure domains that are out.
// Others stay until they end, because they cannot run again.
func (p *placer) leaveDomains(cfg rosemarysill.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.drivers {
		j := d.job()
		if !j.Stopping && j.Spec.Idempotent && p.e.table.anyDomainOut(j.Slots, &cfg) {
			d.askReclaim()
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
func (p *placer) tidy(ctx context.Context, jobs []storedJob, now time.Time) {
	if now.Before(p.tidyAt) {
		return
	}
	p.tidyAt = now.Add(tidyEvery)
	n := 0
	for _, s := range jobs {
		if n < tidyMost && s.job.State.Final() && now.Sub(s.job.Changed) > p.e.cfg.KeepJobs {
			n++
			// A failed deletion is tried again a minute later.
			_ = p.e.opts.Store.Delete(ctx, jobKey(s.job.Spec.ID), s.version)
		}
	}
}
