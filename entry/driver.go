package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
)

// driver drives one attempt of a job: it carries out the effects of its state
// machine and feeds it with their answers and with the agents' reports.
type driver struct {
	e       *Entry
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

// newDriver returns a driver of the attempt that begin makes.
func newDriver(e *Entry, s storedJob, epoch uint64, placed rosemarysill.PlacedJob) *driver {
	return &driver{
		e: e, id: s.job.Spec.ID, epoch: epoch, version: s.version, placed: placed,
		events: make(chan gang.Event, eventsEach*(len(placed.Slots)+2)),
		wake:   make(chan struct{}, 1),
	}
}

// run drives the attempt to its end, or until ctx ends. It returns the outcome.
func (d *driver) run(ctx context.Context, a *gang.Attempt, effects []gang.Effect) gang.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer d.effects.Wait()
	defer cancel()
	d.a = a
	d.perform(ctx, effects)
	t := time.NewTicker(d.e.opts.Timings.DecideEvery)
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

// notify makes the driver look at the table, the record and the lease again.
func (d *driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// askReclaim asks for the end of the attempt in favour of other work.
func (d *driver) askReclaim() {
	d.mu.Lock()
	d.reclaim = true
	d.mu.Unlock()
	d.notify()
}

// job returns what the attempt holds, for placement decisions.
func (d *driver) job() rosemarysill.PlacedJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placed
}

// step takes one event to the state machine.
func (d *driver) step(ctx context.Context, ev gang.Event) {
	if epoch, ok := d.e.holder.held(); !ok || epoch != d.epoch {
		ev = gang.Event{Kind: gang.Superseded}
	}
	d.perform(ctx, d.a.Step(ev, d.e.opts.Now()))
}

// observe turns what has changed outside into events: reports of the agents,
// a request to cancel or to reclaim, and the time.
func (d *driver) observe(ctx context.Context) {
	now := d.e.opts.Now()
	for i, slot := range d.placed.Slots {
		for _, ev := range d.memberEvents(i, slot, now) {
			d.step(ctx, ev)
		}
	}
	if s, ok := d.e.book.get(d.id); ok && s.job.CancelRequested {
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
func (d *driver) memberEvents(i int, slot rosemarysill.Slot, now time.Time) []gang.Event {
	v, ok := d.e.table.view(slot.Worker, now)
	switch {
	case !ok && now.Sub(d.e.started) < 2*d.e.opts.Timings.MemberFresh:
		return nil // this entry has just started; the agent may not have called yet
	case !ok || !v.fresh:
		return []gang.Event{{Kind: gang.AgentMissing, Member: i}}
	case v.identity.Boot != slot.Boot:
		return []gang.Event{{Kind: gang.NewBoot, Member: i, Boot: v.identity.Boot}}
	}
	var events []gang.Event
	for _, t := range v.tasks {
		if t.Job == d.id && t.Attempt == d.a.Number() && t.Member == i {
			events = append(events, gang.Event{Kind: gang.Reported, Member: i, Report: t, Boot: v.identity.Boot})
		}
	}
	return events
}

// perform carries out effects; their answers come back as events.
func (d *driver) perform(ctx context.Context, effects []gang.Effect) {
	for _, ef := range effects {
		if ef.Kind == gang.WriteState {
			d.note(ef.Job)
		}
		d.effects.Go(func() { d.answer(ctx, d.carryOut(ctx, ef)) })
	}
}

// answer hands an event to the loop.
func (d *driver) answer(ctx context.Context, ev gang.Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// note keeps what the metrics and the policy need to know of a new state.
func (d *driver) note(j rosemarysill.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch j.State {
	case rosemarysill.JobRunning:
		d.ranFrom = d.e.opts.Now()
		event.JobRunning.Log(d.e.opts.Log).Stringer("Job", d.id).Int("Attempt", j.Attempt).Send()
	case rosemarysill.JobStopping:
		d.placed.Stopping = true
		event.JobStopping.Log(d.e.opts.Log).Stringer("Job", d.id).Int("Attempt", j.Attempt).Str("Detail", j.Detail).Send()
	}
}

func (d *driver) carryOut(ctx context.Context, ef gang.Effect) gang.Event {
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

// finishedJob tells the metrics about a job that reached a final state.
func (e *Entry) finishedJob(j rosemarysill.Job) {
	event.JobFinished.Log(e.opts.Log).Stringer("Job", j.Spec.ID).Str("State", string(j.State)).
		Stringer("Code", j.Code).Str("Detail", j.Detail).Send()
	took := j.Changed.Sub(j.Submitted)
	e.jobs.Observe(j.Spec.Account, j.Spec.Class, j.Code, took, took)
}
