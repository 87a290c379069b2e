package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// fleet returns n open workers of 8 accelerators and 32 cores, three to a rack.
func fleet(n int) []*schedule.Worker {
	workers := make([]*schedule.Worker, n)
	for i := range workers {
		workers[i] = &schedule.Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Domain: "a", Rack: fmt.Sprintf("r%d", i/3), Open: true,
			Capacity: work.Shape{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8},
		}
	}
	return workers
}

// newJob returns a job of one step.
func newJob(id string, priority int, s work.Step) *work.Job {
	return &work.Job{ID: id, Service: "s", Priority: priority, Attempts: 3, Steps: []work.Step{s}}
}

// units returns the units of a job of one step of which no task has started.
func units(j *work.Job) []*schedule.Unit {
	beside := make(map[string]int)
	s := j.Steps[0]
	var all []*schedule.Unit
	for i := range s.Count {
		all = append(all, &schedule.Unit{Job: j, Indexes: []int{i}, Beside: beside, Due: time.Unix(0, 0)})
	}
	if s.Gang {
		for i := 1; i < s.Count; i++ {
			all[0].Indexes = append(all[0].Indexes, i)
		}
		return all[:1]
	}
	return all
}

func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: n}
}

// Tasks of a step that are placed in one pass count against the bound on tasks
// of the step on one worker.
func TestMaxPerWorkerWithinOnePass(t *testing.T) {
	j := newJob("j", 2, work.Step{Count: 8, Shape: accelerators(0), MaxPerWorker: 2})
	plan := schedule.Decide(fleet(3), units(j))
	on := make(map[string]int)
	for _, p := range plan.Places {
		on[p.Worker]++
	}
	require.Len(t, plan.Places, 6)
	for w, n := range on {
		require.LessOrEqual(t, n, 2, w)
	}
}
