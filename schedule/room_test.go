package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against single tasks that have to start now and wait beside idle capacity, because
// workers are slow, suspect, kept or held for others, or because urgent units expect to
// start there later.
func TestUnitThatMustStartNowStartsWhereThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		for _, w := range in.workers {
			for i := range w.Runs {
				w.Runs[i].EndsSoon, w.Runs[i].Stopping = false, false // no unit is about to start in their place
			}
		}
		for _, u := range in.units {
			u.Isolated, u.AvoidsRecentStarts = false, false
			if u.Job.Priority > 0 && !u.step().Gang {
				u.MustStartNow, u.AcceptsSuspects, u.AnyRack, u.Deferrable = true, true, true, false
			}
		}
		plan := Decide(in.workers, in.units, in.urgentReserve)
		if len(plan.Stops) > 0 {
			return // capacity is reserved for as long as these take to end
		}
		free := make(map[string]work.Shape)
		for _, w := range in.workers {
			free[w.ID] = w.Capacity
			for _, r := range w.Runs {
				free[w.ID] = free[w.ID].Sub(r.Demand)
			}
		}
		placed := make(map[work.TaskKey]bool)
		suspectStarts := make(map[string]bool)
		for _, p := range plan.Placements {
			placed[p.Task] = true
			suspectStarts[p.Worker] = true
			for _, u := range in.units {
				if u.Job.ID == p.Task.Job {
					free[p.Worker] = free[p.Worker].Sub(Demand(u.step()))
					break
				}
			}
		}
		for _, u := range in.units {
			if u.Job.Priority == 0 || u.step().Gang || u.step().MaxPerWorker > 0 || placed[work.TaskKey{Job: u.Job.ID, Index: u.Indexes[0]}] {
				continue
			}
			for _, w := range newPass(in.workers, 0).workers {
				if !w.Schedulable || !w.canRun(u.Job, u.step()) || (w.Suspect && suspectStarts[w.ID]) {
					continue
				}
				require.False(t, Demand(u.step()).FitsIn(free[w.ID]), "%s has room for %s", w.ID, u.Job.ID)
			}
		}
	})
}
