package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a check of the rule BUDGET that counts too many or too few starts.
func TestStepsCheckBudget(t *testing.T) {
	deadly := func(starts int, spec string) func(f *fleet) {
		return func(f *fleet) {
			for n := 1; n <= starts; n++ {
				f.mustStart(n%3, taskRun(0, n), spec)
				time.Sleep(5 * time.Second)
			}
			require.Equal(f.T, starts, f.TaskStarts(taskRun(0, 1).Task))
		}
	}
	checkRule(t, "BUDGET", map[string]struct {
		breach bool
		play   func(f *fleet)
	}{
		"three starts after three crashes": {true, deadly(6, "crashes=")},
		"two starts after three crashes":   {false, deadly(5, "crashes= for=10s")},
		"a delay in the word":              {true, deadly(6, "crashes=300ms for=1s")},
		"tasks beside that crash no worker": {false, func(f *fleet) {
			for n := 1; n <= 8; n++ {
				f.mustStart(0, taskRun(1, n), "for=9s")
				f.workers[0].Crash()
				time.Sleep(5 * time.Second)
			}
			require.Equal(f.T, 8, f.Crashes(taskRun(1, 1).Task))
		}},
		"a task that is stopped before it crashes the worker": {false, func(f *fleet) {
			for n := 1; n <= 8; n++ {
				f.mustStart(0, taskRun(0, n), "crashes=1s for=9s")
				f.stop(0, taskRun(0, n))
				time.Sleep(2 * time.Second)
			}
			require.Zero(f.T, f.Crashes(taskRun(0, 1).Task))
		}},
	})
}

// Guards against ends of a worker that look like crashes to the system and are not
// counted: a job that was given up for them would count as given up without a reason.
func TestUnannouncedEndsCountAsCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(w *StepWorker)
		want int
	}{
		"restart":        {func(w *StepWorker) { w.Restart() }, 1},
		"end":            {func(w *StepWorker) { w.End(false) }, 1},
		"crash":          {func(w *StepWorker) { w.Crash() }, 1},
		"announced end":  {func(w *StepWorker) { w.End(true) }, 0},
		"end of the run": {func(w *StepWorker) { time.Sleep(20 * time.Second); w.Restart() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				f.mustStart(0, taskRun(0, 1), "for=5s")
				c.end(f.workers[0])
				require.Equal(t, c.want, f.Crashes(taskRun(0, 1).Task))
				time.Sleep(10 * time.Second) // the next incarnation begins
			})
		})
	}
}

// Guards against a crash after which the worker still answers, or is back with runs
// or a fence of its earlier incarnation.
func TestStepsCrash(t *testing.T) {
	for name, next := range map[string]string{"same identifier": "a", "new identifier": "a2"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				f.Rebirth = func(string) (time.Duration, string) { return 3 * time.Second, next }
				w := f.workers[0]
				downs := make(chan bool, 2)
				w.OnDown = func(down bool) { downs <- down }
				born := w.Born()
				f.mustStart(0, taskRun(0, 1), "crashes= for=5s")
				f.mustStart(0, taskRun(1, 1), "for=5s")
				waiting := make(chan error, 1)
				go func() {
					_, err := w.RenewLeases(context.Background(), time.Second, "", f.fence, work.LeaseRenewal{Wait: time.Minute})
					waiting <- err
				}()
				time.Sleep(time.Second)
				require.ErrorIs(t, <-waiting, errEnded)
				_, err := f.start(0, taskRun(2, 1), "")
				require.True(t, errors.Is(err, work.ErrNoListener))
				_, up := w.Report()
				require.False(t, up)
				require.Zero(t, w.Runs())
				require.Equal(t, 1, f.Crashes(taskRun(0, 1).Task))
				require.Equal(t, 1, f.Crashes(taskRun(1, 1).Task), "the task ran on the worker as it crashed")

				time.Sleep(3 * time.Second)
				require.True(t, <-downs)
				require.False(t, <-downs)
				r, up := w.Report()
				require.True(t, up)
				require.Equal(t, next, r.ID)
				require.Greater(t, r.Born, born)
				f.fence = 0
				reply := f.renew(0, 5*time.Second, 0)
				require.Empty(t, reply.Running)
				require.Empty(t, reply.Ended)
			})
		})
	}
}
