// Package attempt drives one attempt of a job: it carries out the effects of the
// state machine of package gang and feeds it with answers and reports.
package attempt

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/fleet"
	"github.com/rosemarysill/rosemarysill/gang"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/lease"
)

// Members is what a driver needs of package membership.
type Members interface {
	Authority() rosemarysill.Authority
	FenceAttempt(ctx context.Context, job uuid.UUID, attempt int, epoch uint64) error
}

// Parts are what drivers share with their entry.
type Parts struct {
	Opts    rosemarysill.Options
	Holder  *lease.Holder
	Table   *fleet.Table
	Book    *job.Book
	Members Members
	Started func() time.Time // of the entry
}

// Driver drives one attempt of a job: it carries out the effects of its state
// machine and feeds it with their answers and with the agents' reports.
type Driver struct {
	parts   Parts
	id      uuid.UUID
	epoch   uint64
	events  chan gang.Event
	wake    chan struct{}
	effects sync.WaitGroup

	mu      sync.Mutex
	a       *gang.Attempt
	version uint64 // of the job's key, as this driver knows it
	placed  rosemarysill.PlacedJob
	reclaim bool
	ranFrom time.Time // when all members were seen running
}

// eventsEach bounds the answers of one member that wait to be taken.
const eventsEach = 4

// New returns a driver of the attempt that begin makes.
func New(parts Parts, s job.Stored, epoch uint64, placed rosemarysill.PlacedJob) *Driver {
	return &Driver{
		parts: parts, id: s.Job.Spec.ID, epoch: epoch, version: s.Version, placed: placed,
		events: make(chan gang.Event, eventsEach*(len(placed.Slots)+2)),
		wake:   make(chan struct{}, 1),
	}
}

// Run drives the attempt to its end, or until ctx ends. It returns the outcome.
func (d *Driver) Run(ctx context.Context, a *gang.Attempt, effects []gang.Effect) gang.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer d.effects.Wait()
	defer cancel()
	d.a = a
	d.perform(ctx, effects)
	t := time.NewTicker(d.parts.Opts.Timings.DecideEvery)
	defer t.Stop()
	for a.Outcome() == gang.Open {
		select {
		case <-ctx.Done():
			return gang.Lost
		case ev := <-d.events:
			d.step(ctx, ev)
		case <-d.wake:
			d.observe(ctx)
		case <-t.C:
			d.observe(ctx)
		}
	}
	return a.Outcome()
}

// Notify makes the driver look at the table, the record and the lease again.
func (d *Driver) Notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// AskReclaim asks for the end of the attempt in favour of other work.
func (d *Driver) AskReclaim() {
	d.mu.Lock()
	d.reclaim = true
	d.mu.Unlock()
	d.Notify()
}

// Placed returns what the attempt holds, for placement decisions.
func (d *Driver) Placed() rosemarysill.PlacedJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placed
}

// step takes one event to the state machine.
func (d *Driver) step(ctx context.Context, ev gang.Event) {
	if epoch, ok := d.parts.Holder.Held(); !ok || epoch != d.epoch {
		ev = gang.Event{Kind: gang.Superseded}
	}
	d.perform(ctx, d.a.Step(ev, d.parts.Opts.Now()))
}

// observe turns what has changed outside into events: reports of the agents,
// a request to cancel or to reclaim, and the time.
func (d *Driver) observe(ctx context.Context) {
	now := d.parts.Opts.Now()
	for i, slot := range d.placed.Slots {
		for _, ev := range d.memberEvents(i, slot, now) {
			d.step(ctx, ev)
		}
	}
	if s, ok := d.parts.Book.Get(d.id); ok && s.Job.CancelRequested {
		d.step(ctx, gang.Event{Kind: gang.CancelAsked})
	}
	d.mu.Lock()
	reclaim := d.reclaim
	d.reclaim = false
	d.mu.Unlock()
	if reclaim {
		d.step(ctx, gang.Event{Kind: gang.ReclaimAsked})
	}
	d.step(ctx, gang.Event{Kind: gang.Tick})
}

// memberEvents returns what the table tells about a member.
func (d *Driver) memberEvents(i int, slot rosemarysill.Slot, now time.Time) []gang.Event {
	v, ok := d.parts.Table.Agent(slot.Worker, now)
	switch {
	case !ok && now.Sub(d.parts.Started()) < 2*d.parts.Opts.Timings.MemberFresh:
		return nil // this entry has just started; the agent may not have called yet
	case !ok || !v.Fresh:
		return []gang.Event{{Kind: gang.AgentMissing, Member: i}}
	case v.Identity.Boot != slot.Boot:
		return []gang.Event{{Kind: gang.NewBoot, Member: i, Boot: v.Identity.Boot}}
	}
	var events []gang.Event
	for _, t := range v.Tasks {
		if t.Job == d.id && t.Attempt == d.a.Number() && t.Member == i {
			events = append(events, gang.Event{Kind: gang.Reported, Member: i, Report: t, Boot: v.Identity.Boot})
		}
	}
	return events
}

// perform carries out effects; their answers come back as events.
func (d *Driver) perform(ctx context.Context, effects []gang.Effect) {
	for _, ef := range effects {
		if ef.Kind == gang.WriteState {
			d.note(ef.Job)
		}
		d.effects.Go(func() { d.answer(ctx, d.carryOut(ctx, ef)) })
	}
}

// answer hands an event to the loop.
func (d *Driver) answer(ctx context.Context, ev gang.Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// note keeps what the metrics and the policy need to know of a new state.
func (d *Driver) note(j rosemarysill.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch j.State {
	case rosemarysill.JobRunning:
		d.ranFrom = d.parts.Opts.Now()
		event.JobRunning.Log(d.parts.Opts.Log).Stringer("Job", d.id).Int("Attempt", j.Attempt).Send()
	case rosemarysill.JobStopping:
		d.placed.Stopping = true
		event.JobStopping.Log(d.parts.Opts.Log).Stringer("Job", d.id).Int("Attempt", j.Attempt).Str("Detail", j.Detail).Send()
	}
}

func (d *Driver) carryOut(ctx context.Context, ef gang.Effect) gang.Event {
	switch ef.Kind {
	case gang.SendReserve:
		return d.reserve(ctx, ef)
	case gang.SendCommit:
		return d.commit(ctx, ef)
	case gang.SendStop:
		return d.stop(ctx, ef)
	case gang.AskFence:
		return d.fence(ctx, ef)
	case gang.RecordStart:
		return d.recordStart(ctx, ef)
	default:
		return d.write(ctx, ef.Job)
	}
}

// ID returns the job's identifier.
func (d *Driver) ID() uuid.UUID { return d.id }

// RanFrom returns when all members were seen running, or the zero time.
func (d *Driver) RanFrom() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ranFrom
}
