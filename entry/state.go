package entry

import (
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// clusterState returns the input of a placement decision. A job with an
// attempt in hand counts as placed even before its start is recorded.
func (e *Entry) clusterState(cfg *rosemarysill.Configuration, now time.Time) rosemarysill.ClusterState {
	attempts, ratios := e.placer.snapshot()
	s := rosemarysill.ClusterState{Config: *cfg, Workers: e.placer.judged(e.table.workers(cfg, now), now), RunRatio: ratios}
	jobs, _ := e.book.all()
	for _, j := range jobs {
		if j.job.State.Final() {
			continue
		}
		if placed, ok := attempts[j.job.Spec.ID.String()]; ok {
			s.Placed = append(s.Placed, placed)
			continue
		}
		if j.job.State == rosemarysill.JobQueued {
			s.Waiting = append(s.Waiting, waitingJob(j.job))
			continue
		}
		s.Placed = append(s.Placed, placedJob(j.job))
	}
	sort.Slice(s.Waiting, func(i, j int) bool {
		a, b := s.Waiting[i], s.Waiting[j]
		if !a.Submitted.Equal(b.Submitted) {
			return a.Submitted.Before(b.Submitted)
		}
		return a.Spec.ID.String() < b.Spec.ID.String()
	})
	sort.Slice(s.Placed, func(i, j int) bool { return s.Placed[i].Spec.ID.String() < s.Placed[j].Spec.ID.String() })
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
