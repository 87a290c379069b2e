package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// publishInterval is the least time between two records of the load.
const publishInterval = time.Second

// publishLoad writes the load of the fleet after each change that may change the decision
// about a submission, until ctx ends. Entries accept everything if there is no record of
// this term.
func (t *term) publishLoad(ctx context.Context) {
	observer := admission.NewObserver(t.rec.Epoch, t.elected)
	publisher := loadPublisher{term: t}
	for {
		uptime.Sleep(ctx, publishInterval)
		if ctx.Err() != nil {
			return
		}
		current, ok := t.observeLoad(observer)
		if !ok {
			continue
		}
		if err := publisher.publish(ctx, current); err != nil {
			t.cfg.Log.Debug().Err(err).Msg("the load of the fleet was not published; it is written again at the next interval")
		}
	}
}

// loadPublisher writes the record of the load. Each write is guarded by the version of the
// record, so that one without a reply does not replace a later one when it is executed late.
type loadPublisher struct {
	term      *term
	published admission.Load // the load on record; empty if the latest write is not confirmed
	version   uint64         // of the record, as far as known
}

// publish writes the load if it differs from the one on record.
func (p *loadPublisher) publish(ctx context.Context, current admission.Load) error {
	if !admission.Differs(p.published, current) {
		return nil
	}
	p.published = admission.Load{}
	value, err := admission.Encode(current)
	if err != nil {
		return err
	}
	revision, items, err := p.term.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: p.term.leaderVersion}, {Key: jobstore.LoadKey, Version: p.version}},
		Writes: []rosemarysill.Write{{Key: jobstore.LoadKey, Value: value}},
	})
	if errors.Is(err, rosemarysill.ErrVersion) {
		p.version = 0
		for _, i := range items {
			if i.Key == jobstore.LoadKey {
				p.version = i.Version
			}
		}
	}
	if err != nil {
		return err
	}
	p.published, p.version = current, revision
	event.LeaderLoad.Log(p.term.cfg.Log).Interface("Load", current.Services).Send()
	return nil
}

// observeLoad returns the present load, and false while the term is suspended.
func (t *term) observeLoad(o *admission.Observer) (admission.Load, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holdsLease() || t.copiesOutdated {
		return admission.Load{}, false
	}
	now := uptime.Now()
	var workers []admission.Worker
	for _, w := range t.workers {
		if w.attached && now.Sub(w.reportedAt) < maxReportAge {
			workers = append(workers, admission.Worker{Incarnation: w.Incarnation, Service: w.Service, Capacity: largest(w.Capacity, w.LargestCapacity), Labels: w.Labels})
		}
	}
	var ahead []admission.Work
	for _, s := range t.jobs {
		if !s.progress.State.Final() {
			ahead = append(ahead, t.workAhead(s)...)
		}
	}
	return o.Observe(workers, ahead, now), true
}

// largest returns the larger amount of each resource.
func largest(a, b work.Shape) work.Shape {
	return work.Shape{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// workAhead returns the work of a job that goes before a new one of the same priority: that
// of its first occurrence, by the lower of its declared durations and those of its queue.
// Late jobs go behind, and tasks that do not end by themselves are not counted.
func (t *term) workAhead(s *jobState) []admission.Work {
	if s.job.Occurrences > 0 || t.timeliness(s, 0, time.Now()) >= schedule.Late {
		return nil
	}
	var out []admission.Work
	mean := t.runDurations[s.job.Queue].mean
	for i, step := range s.job.Steps {
		if step.LongRunning {
			continue
		}
		d := step.Estimate
		if mean > 0 {
			d = min(d, mean)
		}
		var total time.Duration
		for _, task := range s.progress.Step(s.job, 0, i) {
			switch {
			case task.Done || task.Stopping:
			case task.Placed():
				total += d * time.Duration(completePercent-min(max(task.Percent, 0), completePercent)) / completePercent
			default:
				total += d
			}
		}
		out = append(out, admission.Work{Service: s.job.Service, Priority: s.job.Priority, Shape: schedule.Demand(step), Duration: total})
	}
	return out
}
