package schedule_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// workersOf returns the number of tasks that a plan starts on each worker.
func workersOf(plan schedule.Plan) map[string]int {
	tasks := make(map[string]int)
	for _, p := range plan.Placements {
		tasks[p.Worker]++
	}
	return tasks
}

// Guards against the last attempt of a gang on many workers, of which one in eleven may
// fail it, while two workers could hold it, and on workers that are likelier to fail.
func TestCarefulGangIsPlacedOnFewSoundWorkers(t *testing.T) {
	f := fleet(12)
	for i, w := range f {
		w.FailureRisk = 0.01
		if i < 9 {
			w.Runs = []schedule.Run{{Key: work.RunKey{Task: work.TaskKey{Job: "other", Index: i}, Run: 1}, Demand: accelerators(7)}}
		}
	}
	f[9].FailureRisk = 0.1
	gang := units(newJob("gang", 1, work.Step{Count: 11, Shape: accelerators(1), Gang: true}))
	require.Greater(t, len(workersOf(schedule.Decide(f, gang, 0))), 2, "a unit that is not careful fills gaps")
	gang = units(newJob("gang", 1, work.Step{Count: 11, Shape: accelerators(1), Gang: true}))
	gang[0].Careful = true
	require.Equal(t, map[string]int{"w10": 8, "w11": 3}, workersOf(schedule.Decide(f, gang, 0)))
}

// Guards against a careful gang in the first rack that holds it, although another one is
// sounder.
func TestCarefulGangChoosesSoundRack(t *testing.T) {
	f := fleet(4)
	for i, w := range f {
		w.Rack, w.FailureRisk = []string{"r0", "r0", "r1", "r1"}[i], []float64{0.1, 0.1, 0.01, 0.01}[i]
	}
	gang := units(newJob("gang", 1, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true}))
	gang[0].Careful = true
	require.Equal(t, map[string]int{"w02": 1, "w03": 1}, workersOf(schedule.Decide(f, gang, 0)))
}

// Guards against several tasks on a worker that has just failed a run, before one of them
// has worked, and against work that does not start there at all.
func TestSuspectWorkerGetsOneProbe(t *testing.T) {
	f := fleet(1)
	f[0].Suspect, f[0].FailureRisk = true, 0.5
	tasks := func() []*schedule.Unit { return units(newJob("j", 1, work.Step{Count: 3, Shape: accelerators(1)})) }
	plan := schedule.Decide(f, tasks(), 0)
	require.Len(t, plan.Placements, 1)
	require.Empty(t, plan.Withheld, "the others wait for the probe")

	f[0].Probing = true
	plan = schedule.Decide(f, tasks(), 0)
	require.Empty(t, plan.Placements)
	require.Equal(t, []schedule.StepKey{{Job: "j"}}, plan.Withheld)

	waited := tasks()
	for _, u := range waited {
		u.AcceptsSuspects = true
	}
	require.Len(t, schedule.Decide(f, waited, 0).Placements, 3)
}

// Guards against a unit that never starts because the only worker with room is suspect.
func TestUnitIsWithheldOnlyForItsRisk(t *testing.T) {
	f := fleet(2)
	f[0].Suspect, f[0].FailureRisk = true, 0.5
	f[1].Runs = []schedule.Run{{Key: work.RunKey{Task: work.TaskKey{Job: "other"}, Run: 1}, Demand: accelerators(8), LongRunning: true}}
	failed := units(newJob("failed", 1, work.Step{Count: 1, Shape: accelerators(4)}))
	failed[0].Failed, failed[0].MaxRisk = true, 0.2
	plan := schedule.Decide(f, failed, 0)
	require.Empty(t, plan.Placements)
	require.Equal(t, []schedule.StepKey{{Job: "failed"}}, plan.Withheld)
	failed[0].AcceptsSuspects = true
	require.Equal(t, map[string]int{"w00": 1}, workersOf(schedule.Decide(f, failed, 0)))

	f[0].Runs = f[1].Runs
	require.Empty(t, schedule.Decide(f, failed, 0).Withheld, "there is no room")
}
