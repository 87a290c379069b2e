package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/platform"
)

// attempt reserves every member, records the start and commits.
func (p *placer) attempt(ctx context.Context, known storedJob, d rosemarysill.PlaceDecision) {
	job := known.job
	epoch, ok := p.e.holder.held()
	if !ok {
		return
	}
	job.Attempt++
	job.Epoch, job.Slots, job.Guaranteed, job.State = epoch, d.Slots, d.Guaranteed, rosemarysill.JobStarting
	if err := p.reserve(ctx, job); err != nil {
		p.stop(ctx, job)
		return
	}
	stored, res := p.e.book.write(ctx, job, known.version, p.e.opts.Now())
	if res.Effect != platform.TookEffect {
		p.stop(ctx, job)
		return
	}
	event.JobStartRecorded.Log(p.e.opts.Log).Str("Job", job.Spec.ID.String()).Int("Attempt", job.Attempt).Send()
	if err := p.commit(ctx, job); err != nil {
		return
	}
	p.follow(ctx, stored)
}

// eachMember calls f for the agent of each member at the same time.
func (p *placer) eachMember(job rosemarysill.Job, f func(member int, a rosemarysill.Agent) error) error {
	var g errgroup.Group
	for i, slot := range job.Slots {
		v, ok := p.e.table.view(slot.Worker, p.e.opts.Now())
		if !ok {
			return rosemarysill.NewError(rosemarysill.Unreachable, "worker %s is not known", slot.Worker)
		}
		a, err := p.e.opts.Agents.Agent(v.identity.Address)
		if err != nil {
			return err
		}
		g.Go(func() error { return f(i, a) })
	}
	return g.Wait()
}

func (p *placer) reserve(ctx context.Context, job rosemarysill.Job) error {
	return p.eachMember(job, func(i int, a rosemarysill.Agent) error {
		return a.Reserve(ctx, rosemarysill.ReserveRequest{
			Spec: job.Spec, Attempt: job.Attempt, Epoch: job.Epoch, Member: i, Slot: job.Slots[i],
			Revision: p.e.members.Authority().Config.Revision, Remaining: p.e.opts.Timings.ReserveFor,
		})
	})
}

func (p *placer) commit(ctx context.Context, job rosemarysill.Job) error {
	return p.eachMember(job, func(i int, a rosemarysill.Agent) error {
		return a.Commit(ctx, rosemarysill.CommitRequest{
			Job: job.Spec.ID, Attempt: job.Attempt, Epoch: job.Epoch, Member: i, Lease: p.e.opts.Timings.GangLease,
		})
	})
}

func (p *placer) stop(ctx context.Context, job rosemarysill.Job) {
	_ = p.eachMember(job, func(i int, a rosemarysill.Agent) error {
		_, err := a.Stop(ctx, rosemarysill.StopRequest{
			Job: job.Spec.ID, Attempt: job.Attempt, Epoch: job.Epoch, Member: i,
		})
		return err
	})
}

// follow waits until all members are done and records the result.
func (p *placer) follow(ctx context.Context, known storedJob) {
	t := time.NewTicker(p.e.opts.Timings.DecideEvery)
	defer t.Stop()
	job := known.job
	for ctx.Err() == nil {
		if result, ok := p.finished(job); ok {
			job.State, job.Code, job.Result = rosemarysill.JobDone, rosemarysill.Done, result
			p.e.book.write(ctx, job, known.version, p.e.opts.Now())
			return
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// finished returns the result of member 0 when all members are done.
func (p *placer) finished(job rosemarysill.Job) (result []byte, ok bool) {
	for i, slot := range job.Slots {
		v, known := p.e.table.view(slot.Worker, p.e.opts.Now())
		done := false
		for _, task := range v.tasks {
			if known && task.Job == job.Spec.ID && task.Attempt == job.Attempt && task.Member == i && task.State == rosemarysill.TaskDone {
				done = true
				if i == 0 {
					result = task.Result
				}
			}
		}
		if !done {
			return nil, false
		}
	}
	return result, true
}
