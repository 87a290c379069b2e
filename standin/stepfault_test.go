package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against starts that are answered although the plan says otherwise, and
// against a plan that goes on after its end.
func TestStepsStartFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault   StartFault
		err     error
		refusal work.Refusal
		runs    int
	}{
		"answered":  {StartAnswered, nil, work.Accepted, 1},
		"lost":      {StartLost, errNoAnswer, work.Accepted, 1},
		"dropped":   {StartDropped, errNoAnswer, work.Accepted, 0},
		"unhealthy": {StartUnhealthy, nil, work.RefusedUnhealthy, 0},
		"held":      {StartHeld, errNoAnswer, work.Accepted, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				var seen []StepEventKind
				f.Observe = func(e StepEvent) {
					if e.Kind != StartCalled {
						seen = append(seen, e.Kind)
					}
				}
				f.workers[0].SetStartFaults(time.Second, c.fault)
				reply, err := f.start(0, taskRun(0, 1), "for=5s")
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.refusal, reply.Refusal)
				require.Equal(t, c.runs, f.Runs())
				require.Len(t, seen, c.runs)
				f.mustStart(0, taskRun(0, 1), "for=5s")
				require.Equal(t, 1, f.Runs())
				time.Sleep(2 * time.Second) // a held start finds the run there
				require.Equal(t, 1, f.TaskStarts(taskRun(0, 1).Task))
				require.Equal(t, []StepEventKind{RunStarted}, seen)
			})
		})
	}
}
