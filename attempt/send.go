package attempt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
	"github.com/rosemarysill/rosemarysill/kvstore"
)

// agent returns the agent of a member.
func (d *Driver) agent(ef gang.Effect) (rosemarysill.Agent, error) {
	slot := ef.Job.Slots[ef.Member]
	v, ok := d.parts.Table.Agent(slot.Worker, d.parts.Opts.Now())
	if !ok {
		return nil, rosemarysill.NewError(rosemarysill.Unreachable, "worker %s is not known", slot.Worker)
	}
	return d.parts.Opts.Agents.Agent(v.Identity.Address)
}

func (d *Driver) reserve(ctx context.Context, ef gang.Effect) gang.Event {
	ev := gang.Event{Kind: gang.ReserveAccepted, Member: ef.Member}
	a, err := d.agent(ef)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, ef.Deadline)
		defer cancel()
		err = a.Reserve(ctx, rosemarysill.ReserveRequest{
			Spec: ef.Job.Spec, Attempt: ef.Job.Attempt, Epoch: ef.Job.Epoch, Member: ef.Member, Slot: ef.Job.Slots[ef.Member],
			Revision:  d.parts.Members.Authority().Config.Revision,
			Remaining: ef.Deadline.Sub(d.parts.Opts.Now()), Checkpoint: ef.Job.Checkpoint,
		})
	}
	return refusedOrLost(ev, err, gang.ReserveRefused, gang.ReserveLost)
}

// refusedOrLost turns an error into the event of a refusal when it is proof of
// one.
func refusedOrLost(ev gang.Event, err error, refused, lost gang.EventKind) gang.Event {
	if err == nil {
		return ev
	}
	ev.Kind, ev.Code = lost, rosemarysill.CodeOf(err)
	if ev.Code.Truth() == rosemarysill.TruthNotRun {
		ev.Kind = refused
	}
	return ev
}

// commit sends the commit again after a lost answer, as long as the
// reservation lasts: a duplicate is answered like the first.
func (d *Driver) commit(ctx context.Context, ef gang.Effect) gang.Event {
	ctx, cancel := context.WithDeadline(ctx, ef.Deadline)
	defer cancel()
	for {
		ev := gang.Event{Kind: gang.CommitAccepted, Member: ef.Member}
		a, err := d.agent(ef)
		if err == nil {
			err = a.Commit(ctx, rosemarysill.CommitRequest{
				Job: ef.Job.Spec.ID, Attempt: ef.Job.Attempt, Epoch: ef.Job.Epoch, Member: ef.Member,
				Lease: d.parts.Opts.Timings.GangLease,
			})
		}
		ev = refusedOrLost(ev, err, gang.CommitRefused, gang.CommitLost)
		if ev.Kind != gang.CommitLost || ctx.Err() != nil {
			return ev
		}
		select {
		case <-ctx.Done():
			return ev
		case <-time.After(d.parts.Opts.Timings.DecideEvery):
		}
	}
}

func (d *Driver) stop(ctx context.Context, ef gang.Effect) gang.Event {
	lost := gang.Event{Kind: gang.StopLost, Member: ef.Member}
	a, err := d.agent(ef)
	if err != nil {
		return lost
	}
	// A stop outlives the attempt that ends with it: cut off, an abandoned
	// reservation would hold its capacity for ReserveFor.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.parts.Opts.Timings.BeatEvery)
	defer cancel()
	reply, err := a.Stop(ctx, rosemarysill.StopRequest{
		Job: ef.Job.Spec.ID, Attempt: ef.Job.Attempt, Epoch: ef.Job.Epoch, Member: ef.Member, Checkpoint: ef.Checkpoint,
	})
	if err != nil {
		return lost
	}
	return gang.Event{Kind: gang.StopAnswered, Member: ef.Member, Stop: reply}
}

// fence returns when the fence is complete, or with an event of no effect when
// ctx ends or this entry is superseded.
func (d *Driver) fence(ctx context.Context, ef gang.Effect) gang.Event {
	err := d.parts.Members.FenceAttempt(ctx, ef.Job.Spec.ID, ef.Job.Attempt, d.epoch)
	if err == nil {
		event.AttemptFenced.Log(d.parts.Opts.Log).Stringer("Job", d.id).Int("Attempt", ef.Job.Attempt).Send()
		return gang.Event{Kind: gang.FenceComplete}
	}
	if rosemarysill.CodeOf(err) == rosemarysill.StaleEpoch {
		return gang.Event{Kind: gang.Superseded}
	}
	return gang.Event{Kind: gang.Tick}
}

// recordStart writes the start of the attempt while this entry has authority by
// store, holds the placement lease, and knows all failure domains of the
// attempt to be in. The write is not sent again after any of these ends.
func (d *Driver) recordStart(ctx context.Context, ef gang.Effect) gang.Event {
	now := d.parts.Opts.Now()
	auth := d.parts.Members.Authority()
	until := d.parts.Holder.Deadline()
	if auth.StoreDeadline.Before(until) {
		until = auth.StoreDeadline
	}
	if ef.Deadline.Before(until) {
		until = ef.Deadline
	}
	if !auth.Established || !auth.ByStore(now) || !now.Before(until) || d.parts.Table.AnyDomainOut(ef.Job.Slots, &auth.Config) {
		return gang.Event{Kind: gang.WriteRefused}
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(now))
	defer cancel()
	ev := d.write(ctx, ef.Job)
	if ev.Kind == gang.WriteTook {
		event.JobStartRecorded.Log(d.parts.Opts.Log).Stringer("Job", d.id).Int("Attempt", ef.Job.Attempt).Uint64("Epoch", ef.Job.Epoch).Send()
	}
	return ev
}

// write writes the record at the version that this driver knows.
func (d *Driver) write(ctx context.Context, j rosemarysill.Job) gang.Event {
	d.mu.Lock()
	version := d.version
	d.mu.Unlock()
	stored, res := d.parts.Book.Write(ctx, j, version, d.parts.Opts.Now())
	switch {
	case res.Effect == kvstore.TookEffect:
		d.setVersion(stored.Version)
		return gang.Event{Kind: gang.WriteTook}
	case res.Effect == kvstore.Unresolved:
		return gang.Event{Kind: gang.WriteUnresolved}
	case !errors.Is(res.Err, rosemarysill.ErrVersion):
		return gang.Event{Kind: gang.WriteRefused}
	}
	found, err := d.parts.Book.Read(ctx, d.id)
	if err != nil {
		return gang.Event{Kind: gang.WriteUnresolved}
	}
	d.setVersion(found.Version)
	return gang.Event{Kind: gang.WriteConflict, Job: found.Job}
}

func (d *Driver) setVersion(v uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = v
}
