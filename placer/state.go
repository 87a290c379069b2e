package placer

import (
	"bytes"
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// ClusterState returns the input of a placement decision. A job with an
// attempt in hand counts as placed even before its start is recorded.
func (p *Placer) ClusterState(cfg *rosemarysill.Configuration, now time.Time) rosemarysill.ClusterState {
	attempts, ratios := p.snapshot()
	s := rosemarysill.ClusterState{Config: *cfg, Workers: p.judged(p.parts.Table.Workers(cfg, now), now), RunRatio: ratios}
	jobs, _ := p.parts.Book.All()
	for _, j := range jobs {
		if j.Job.State.Final() {
			continue
		}
		if placed, ok := attempts[j.Job.Spec.ID]; ok {
			s.Placed = append(s.Placed, placed)
			continue
		}
		if j.Job.State == rosemarysill.JobQueued {
			s.Waiting = append(s.Waiting, waitingJob(j.Job))
			continue
		}
		s.Placed = append(s.Placed, placedJob(j.Job))
	}
	sort.Slice(s.Waiting, func(i, j int) bool {
		a, b := s.Waiting[i], s.Waiting[j]
		if !a.Submitted.Equal(b.Submitted) {
			return a.Submitted.Before(b.Submitted)
		}
		return bytes.Compare(a.Spec.ID[:], b.Spec.ID[:]) < 0
	})
	sort.Slice(s.Placed, func(i, j int) bool { return bytes.Compare(s.Placed[i].Spec.ID[:], s.Placed[j].Spec.ID[:]) < 0 })
	return s
}

func waitingJob(j rosemarysill.Job) rosemarysill.WaitingJob {
	return rosemarysill.WaitingJob{Spec: j.Spec, Submitted: j.Submitted, FailedOn: j.FailedOn}
}

func placedJob(j rosemarysill.Job) rosemarysill.PlacedJob {
	return rosemarysill.PlacedJob{
		Spec: j.Spec, Attempt: j.Attempt, Slots: j.Slots, Started: j.Changed,
		Stopping: j.State == rosemarysill.JobStopping, Guaranteed: j.Guaranteed,
	}
}
