package standin

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a check of the rule LIMIT that forgets runs that are being stopped,
// counts a smaller capacity before its time, or never.
func TestStepsCheckLimit(t *testing.T) {
	capacity := func(accelerators int64) work.Shape {
		return work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: accelerators}
	}
	spec := "for=30s " + Needs(work.Shape{MilliCPU: 1000, Accelerators: 2})
	// shrink lets a run of 2 accelerators start on a worker of 4 and shrinks it to 2.
	shrink := func(f *fleet) StepReport {
		f.workers[0].Resize(capacity(4))
		f.mustStart(0, taskRun(0, 1), spec)
		f.workers[0].Resize(capacity(2))
		r, up := f.workers[0].Report()
		require.True(f.T, up)
		require.Equal(f.T, capacity(2), r.Capacity)
		return r
	}
	checkRule(t, "LIMIT", map[string]struct {
		breach bool
		play   func(f *fleet)
	}{
		"a run too many": {true, func(f *fleet) {
			f.workers[0].Resize(capacity(3))
			f.mustStart(0, taskRun(0, 1), spec)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a smaller capacity that is set without notice": {true, func(f *fleet) {
			shrink(f)
			f.workers[0].SetCapacity(capacity(2))
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a demand that only the start has": {true, func(f *fleet) {
			w := f.workers[0]
			w.SetCapacity(capacity(3))
			for n := range 2 {
				reply, err := w.Start(context.Background(), time.Second, "", int64(n), work.Start{Key: taskRun(n, 1), Demand: work.Shape{Accelerators: 2}}, 10*time.Second)
				require.NoError(f.T, err)
				require.Equal(f.T, work.Accepted, reply.Refusal)
			}
		}},
		"no capacity": {false, func(f *fleet) {
			f.workers[0].SetCapacity(capacity(2))
			f.workers[0].SetCapacity(work.Shape{})
			f.mustStart(0, taskRun(0, 1), spec)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a run beside one that is being stopped": {true, func(f *fleet) {
			f.workers[0].Resize(capacity(3))
			f.mustStart(0, taskRun(0, 1), spec)
			f.stop(0, taskRun(0, 1))
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a start after the notice of a smaller capacity": {true, func(f *fleet) {
			f.workers[0].Reported(shrink(f))
			time.Sleep(ShrinkNotice)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a start after the notice of a smaller capacity in a new incarnation": {true, func(f *fleet) {
			shrink(f)
			f.workers[0].Restart()
			r, _ := f.workers[0].Report()
			f.workers[0].Reported(r)
			f.mustStart(0, taskRun(0, 2), spec)
			time.Sleep(ShrinkNotice)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a start before a new incarnation has reported a smaller capacity": {false, func(f *fleet) {
			shrink(f)
			f.workers[0].Restart()
			f.mustStart(0, taskRun(0, 2), spec)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a start in the notice of a smaller capacity": {false, func(f *fleet) {
			f.workers[0].Reported(shrink(f))
			time.Sleep(ShrinkNotice - time.Millisecond)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a smaller capacity that no report has shown": {false, func(f *fleet) {
			shrink(f)
			time.Sleep(2 * ShrinkNotice)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a start that needs nothing of what is exceeded": {true, func(f *fleet) {
			f.workers[0].Reported(shrink(f))
			f.workers[0].Resize(capacity(1))
			r, _ := f.workers[0].Report()
			f.workers[0].Reported(r)
			time.Sleep(ShrinkNotice)
			f.mustStart(0, taskRun(1, 1), Needs(work.Shape{MilliCPU: 7000}))
		}},
		"a larger capacity": {false, func(f *fleet) {
			f.workers[0].Resize(capacity(2))
			f.mustStart(0, taskRun(0, 1), spec)
			f.workers[0].Resize(capacity(4))
			f.mustStart(0, taskRun(1, 1), spec)
		}},
		"a late start that came before the end of the notice": {false, func(f *fleet) {
			f.workers[0].Reported(shrink(f))
			time.Sleep(ShrinkNotice - time.Second)
			f.workers[0].SetLate(2 * time.Second)
			_, err := f.start(0, taskRun(1, 1), spec)
			require.Error(f.T, err)
			time.Sleep(3 * time.Second)
			require.Equal(f.T, 2, f.workers[0].Runs())
		}},
		"a run after the other one was stopped": {false, func(f *fleet) {
			f.workers[0].Resize(capacity(3))
			f.mustStart(0, taskRun(0, 1), spec)
			f.stop(0, taskRun(0, 1))
			time.Sleep(f.StopGrace)
			f.mustStart(0, taskRun(1, 1), spec)
		}},
	})
}
