package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

func taskRun(task, n int) work.RunKey {
	return work.RunKey{Task: work.TaskKey{Job: "j", Index: task}, Run: n}
}

// fleet is a set of workers with a fence that rises with each call.
type fleet struct {
	*testing.T
	*Steps
	fence int64
}

func newFleet(t *testing.T, workers int) *fleet {
	f := &fleet{t, NewSteps(), 0}
	for i := range workers {
		f.Add(string(rune('a' + i)))
	}
	return f
}

// start starts a run at a worker with a lease of 9 s.
func (f *fleet) start(w int, k work.RunKey, spec string) (work.RuntimeReply, error) {
	f.fence++
	f.mu.Lock()
	until := f.workers[w].clock(time.Now()) + 9*time.Second
	f.mu.Unlock()
	return f.workers[w].Start(context.Background(), time.Second, "", f.fence, work.Start{Key: k, Spec: spec}, until)
}

func (f *fleet) mustStart(w int, k work.RunKey, spec string) {
	reply, err := f.start(w, k, spec)
	require.NoError(f.T, err)
	require.Equal(f.T, work.Accepted, reply.Refusal)
}

func (f *fleet) stop(w int, k work.RunKey) {
	f.fence++
	_, err := f.workers[w].Stop(context.Background(), time.Second, "", f.fence, k)
	require.NoError(f.T, err)
}

// renew renews the leases until a time of the worker's clock and takes note of ends.
func (f *fleet) renew(w int, until time.Duration, acked uint64) work.RuntimeReply {
	f.fence++
	reply, err := f.workers[w].RenewLeases(context.Background(), time.Second, "", f.fence, work.LeaseRenewal{Until: until, AckedSeq: acked})
	require.NoError(f.T, err)
	return reply
}

// checkRule runs the scenarios and requires a breach of the rule in those named so,
// and none in the others.
func checkRule(t *testing.T, rule string, scenarios map[string]struct {
	breach bool
	play   func(f *fleet)
},
) {
	for name, c := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				c.play(f)
				if !c.breach {
					require.Empty(t, f.Breaches())
					return
				}
				require.Len(t, f.Breaches(), 1)
				require.Contains(t, f.Breaches()[0], rule+": ")
			})
		})
	}
}

// Guards against a check of the rule TWICE that misses a second run, or that reports
// one after the first has ended.
func TestStepsCheckTwice(t *testing.T) {
	checkRule(t, "TWICE", map[string]struct {
		breach bool
		play   func(f *fleet)
	}{
		"a second run on another worker": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
		"the same run on another worker": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.mustStart(1, taskRun(0, 1), "for=5s")
		}},
		"a second run beside one that is being stopped": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.stop(0, taskRun(0, 1))
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
		"a second run beside one on a worker that answers nothing": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.workers[0].SetDark(true)
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
		"a held start after the next incarnation has begun": {true, func(f *fleet) {
			f.workers[0].SetStartFaults(time.Second, StartHeld)
			_, err := f.start(0, taskRun(0, 1), "for=5s")
			require.Error(f.T, err)
			f.workers[0].Crash()
			f.mustStart(1, taskRun(0, 2), "for=5s")
			time.Sleep(2500 * time.Millisecond)
			require.Equal(f.T, 1, f.workers[0].Runs())
		}},
		"a held start after the earlier incarnation has seen a higher fence": {false, func(f *fleet) {
			f.workers[0].SetStartFaults(time.Second, StartHeld)
			_, err := f.start(0, taskRun(0, 1), "for=5s")
			require.Error(f.T, err)
			f.renew(0, 10*time.Second, 0)
			f.workers[0].Crash()
			f.mustStart(1, taskRun(0, 2), "for=5s")
			time.Sleep(2500 * time.Millisecond)
			require.Zero(f.T, f.workers[0].Runs())
		}},
		"a start after an end as done was taken note of": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=1s")
			time.Sleep(2 * time.Second)
			f.renew(0, 10*time.Second, 1)
			f.mustStart(1, taskRun(0, 2), "for=1s")
		}},
		"a start before the end is taken note of": {true, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=1s")
			time.Sleep(2 * time.Second)
			f.mustStart(1, taskRun(0, 2), "for=1s")
			f.renew(0, 10*time.Second, 1)
		}},
		"a start after the job was shown as completed": {true, func(f *fleet) {
			f.Completed("j")
			time.Sleep(completedSlack + time.Millisecond)
			f.mustStart(0, taskRun(0, 1), "for=1s")
		}},
		"a start within the allowance of a completed job": {false, func(f *fleet) {
			f.Completed("j")
			time.Sleep(completedSlack)
			f.mustStart(0, taskRun(0, 1), "for=1s")
		}},
		"an end that the lease has outlived before it is taken note of": {false, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=1s")
			time.Sleep(2 * time.Second)
			f.renew(0, 10*time.Second, 0)
			time.Sleep(9 * time.Second)
			f.mustStart(1, taskRun(0, 2), "for=1s")
			f.renew(0, 20*time.Second, 1)
		}},
		"an end that nobody takes note of": {false, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=1s")
			time.Sleep(2 * time.Second)
			f.mustStart(1, taskRun(0, 2), "for=1s")
		}},
		"a second run after the first one was stopped": {false, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.stop(0, taskRun(0, 1))
			time.Sleep(f.StopGrace)
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
		"a second run after the lease has lapsed": {false, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=30s")
			time.Sleep(9*time.Second + time.Millisecond)
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
		"a second run after the worker has crashed": {false, func(f *fleet) {
			f.mustStart(0, taskRun(0, 1), "for=5s")
			f.workers[0].Crash()
			f.mustStart(1, taskRun(0, 2), "for=5s")
		}},
	})
}

// Guards against a stand-in that lists all ends at once, which hides faults of agents that
// take a full list for a complete one.
func TestEndsAreListedInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		const runs = work.MaxListedEnds + 3
		for i := range runs {
			f.mustStart(0, taskRun(i, 1), "for=1ms")
		}
		time.Sleep(2 * time.Millisecond)
		reply := f.renew(0, 0, 0)
		require.Len(t, reply.Ended, work.MaxListedEnds)
		require.True(t, reply.MoreEnded)
		reply = f.renew(0, 0, work.MaxListedEnds)
		require.Len(t, reply.Ended, runs-work.MaxListedEnds)
		require.False(t, reply.MoreEnded)
	})
}
