package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/work"
)

// accelerators returns a shape of n accelerators, with a core and 100 MB for each.
func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000 * n, MemoryMB: 100 * n, Accelerators: n}
}

// shrunkWorker returns a worker with n batch runs of one accelerator and the given
// capacity.
func shrunkWorker(id string, capacity work.Shape, n int) *Worker {
	w := &Worker{ID: id, Service: "s", Rack: "r-" + id, Schedulable: true, Capacity: capacity}
	for i := range n {
		w.Runs = append(w.Runs, Run{Key: work.RunKey{Task: work.TaskKey{Job: "batch" + id, Index: i}, Run: 1}, Demand: accelerators(1), MilliCPU: 1000, Priority: 2, Cost: 1})
	}
	return w
}

// Guards against preemption on a worker that has shrunk which counts the capacity of the
// stopped runs although the worker no longer has it, and against runs that are stopped
// where the unit does not fit even then. Runs that no longer fit go on otherwise.
func TestPreemptionOnShrunkWorker(t *testing.T) {
	for name, c := range map[string]struct {
		capacity   work.Shape
		priority   int
		demand     int64
		guaranteed bool
		stops      int
	}{
		"urgent unit":            {accelerators(4), 0, 2, false, 6},
		"guaranteed unit":        {accelerators(4), 0, 4, true, 8},
		"does not fit":           {accelerators(4), 0, 5, true, 0},
		"batch unit":             {accelerators(4), 1, 1, false, 0},
		"memory has shrunk":      {work.Shape{MilliCPU: 8000, MemoryMB: 300, Accelerators: 8}, 0, 1, false, 6},
		"shrunk to what is used": {accelerators(8), 0, 1, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			j := &work.Job{ID: "j", Service: "s", Priority: c.priority, Steps: []work.Step{{Count: 1, Shape: accelerators(c.demand)}}}
			unit := &Unit{Job: j, Indexes: []int{0}, Guaranteed: c.guaranteed, MustStartNow: c.guaranteed, TasksByWorker: make(map[string]int)}
			plan := Decide([]*Worker{shrunkWorker("w", c.capacity, 8)}, []*Unit{unit}, 0)
			require.Empty(t, plan.Placements)
			require.Len(t, plan.Stops, c.stops)
		})
	}
}

// Guards against an urgent reserve that takes workers which have shrunk below what they
// run into account: what one lacks is no capacity that others have to make up for, and
// what it has left of one resource is of no use without the other.
func TestShrunkWorkerIsNotInUrgentReserve(t *testing.T) {
	worker := func(id, rack string, capacity work.Shape, runs int) *Worker {
		w := shrunkWorker(id, capacity, runs)
		w.Rack = rack
		return w
	}
	for name, c := range map[string]struct {
		shrunk  work.Shape
		reserve float64 // cores
		want    []Placement
	}{
		"lacks all resources": {accelerators(4), 2*accelerators(8).Cores() + 20, []Placement{{Task: work.TaskKey{Job: "j"}, Worker: "d"}}},
		"lacks one resource":  {work.Shape{MilliCPU: 4000, MemoryMB: 6400, Accelerators: 64}, 2*accelerators(8).Cores() + accelerators(4).Cores() + 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			workers := []*Worker{
				worker("a1", "r1", accelerators(8), 0), worker("a2", "r1", accelerators(8), 0), worker("b", "r1", c.shrunk, 8),
				worker("c", "r2", accelerators(4), 0), worker("d", "r3", accelerators(2), 0),
			}
			j := &work.Job{ID: "j", Service: "s", Priority: 1, Steps: []work.Step{{Count: 1, Shape: accelerators(2)}}}
			unit := &Unit{Job: j, Indexes: []int{0}, Deferrable: true, TasksByWorker: make(map[string]int)}
			require.Equal(t, c.want, Decide(workers, []*Unit{unit}, c.reserve).Placements)
		})
	}
}

// Guards against placements that exceed the capacity of a worker, shrunk or not.
func TestPlacementsFitCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		used, capacity, steps := make(map[string]work.Shape), make(map[string]work.Shape), make(map[string]work.Step)
		for _, w := range in.workers {
			capacity[w.ID] = w.Capacity
			for _, r := range w.Runs {
				used[w.ID] = used[w.ID].Add(r.Demand)
			}
		}
		for _, u := range in.units {
			steps[u.Job.ID] = u.Job.Steps[u.Step]
		}
		for _, p := range Decide(in.workers, in.units, in.urgentReserve).Placements {
			used[p.Worker] = used[p.Worker].Add(Demand(steps[p.Task.Job]))
			require.True(t, used[p.Worker].FitsIn(capacity[p.Worker]), "%v on %v of worker %s", used[p.Worker], capacity[p.Worker], p.Worker)
		}
	})
}
