package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// placer places waiting jobs while its entry holds the placement lease.
type placer struct {
	e       *Entry
	mu      sync.Mutex
	working map[uuid.UUID]bool // jobs with an attempt in hand
	work    sync.WaitGroup
	held    bool
	keepAt  time.Time
}

func newPlacer(e *Entry) *placer {
	return &placer{e: e, working: map[uuid.UUID]bool{}}
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
	p.resume(ctx, jobs)
	d := p.e.opts.Policy.Decide(p.e.clusterState(&auth.Config, now), now)
	for _, place := range d.Place {
		p.start(ctx, place)
	}
}

// keep holds the placement lease if it can be had, and reports whether this
// entry may decide now.
func (p *placer) keep(ctx context.Context, auth rosemarysill.Authority, now time.Time) bool {
	if !auth.Established || !auth.ByStore(now) {
		return false
	}
	if !now.Before(p.keepAt) {
		p.keepAt = now.Add(p.e.opts.Timings.PlacerLease / 5)
		p.e.holder.keep(ctx)
	}
	epoch, ok := p.e.holder.held()
	if ok {
		p.e.raiseEpochSeen(epoch)
	}
	if ok != p.held {
		p.held = ok
		ev := event.PlacementLost
		if ok {
			ev = event.PlacementTaken
		}
		ev.Log(p.e.opts.Log).Uint64("Epoch", epoch).Send()
	}
	return ok
}

func (e *Entry) raiseEpochSeen(epoch uint64) {
	for {
		seen := e.epochSeen.Load()
		if epoch <= seen || e.epochSeen.CompareAndSwap(seen, epoch) {
			return
		}
	}
}

// claim marks a job as in hand; it returns false if it is already.
func (p *placer) claim(id uuid.UUID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.working[id] {
		return false
	}
	p.working[id] = true
	return true
}

func (p *placer) drop(id uuid.UUID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.working, id)
}

// resume follows jobs that have started.
func (p *placer) resume(ctx context.Context, jobs []storedJob) {
	for _, j := range jobs {
		if (j.job.State == rosemarysill.JobStarting || j.job.State == rosemarysill.JobRunning) && p.claim(j.job.Spec.ID) {
			p.work.Go(func() {
				defer p.drop(j.job.Spec.ID)
				p.follow(ctx, j)
			})
		}
	}
}

// start runs the attempt that a decision asks for.
func (p *placer) start(ctx context.Context, d rosemarysill.PlaceDecision) {
	known, ok := p.e.book.get(d.Job)
	if !ok || known.job.State != rosemarysill.JobQueued || !p.claim(d.Job) {
		return
	}
	p.work.Go(func() {
		defer p.drop(d.Job)
		p.attempt(ctx, known, d)
	})
}
