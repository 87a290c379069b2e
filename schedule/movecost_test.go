package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// guaranteeInPieces returns n workers with two accelerators free beside runs of one account
// within its guarantee, and a claim of that account that fits nowhere.
func guaranteeInPieces(n int) ([]*Worker, []*Unit) {
	var workers []*Worker
	for i := range n {
		w := &Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/8), Schedulable: true, Capacity: work.Shape{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}}
		for k := range 2 {
			w.Runs = append(w.Runs, Run{Key: work.RunKey{Task: work.TaskKey{Job: fmt.Sprint("own", i), Index: k}, Run: 1}, Demand: work.Shape{MilliCPU: 3000, Accelerators: 3}, Guaranteed: true, Account: "a", EndsIn: time.Minute})
		}
		workers = append(workers, w)
	}
	j := &work.Job{ID: "claim", Account: "a", Service: "s", Steps: []work.Step{{Count: 8, Shape: work.Shape{MilliCPU: 4000, Accelerators: 4}, Gang: true, SameRack: true}}}
	return workers, []*Unit{{Job: j, Guaranteed: true, MustStartNow: true, Indexes: []int{0, 1, 2, 3, 4, 5, 6, 7}, TasksByWorker: make(map[string]int)}}
}

// Guards against a search for runs to move that compares each run with each worker.
func TestMoveCostScalesWithFleetSize(t *testing.T) {
	examined := func(n int) int {
		workers, units := guaranteeInPieces(n)
		p := newPass(workers, 0)
		p.run(units)
		require.Empty(t, p.plan.Stops)
		return p.examined
	}
	require.LessOrEqual(t, examined(1100), 8*examined(240))
}
