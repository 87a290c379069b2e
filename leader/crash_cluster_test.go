package leader_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// specCrashes is a word of the specification of a task that crashes each worker that
// starts it.
const specCrashes = "crashes"

const (
	crashDelay   = 10 * time.Millisecond // from the start of such a task
	restartDelay = time.Second           // until the worker is back
)

// crashingWorker is a worker that such a task can crash. It comes back by itself.
type crashingWorker struct {
	*standin.StepWorker
	cluster *cluster
	name    string

	mu      sync.Mutex
	down    bool
	crashes int
	starts  map[string]int // of runs that crash the worker, by job
}

func (w *crashingWorker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// crash ends the worker's process, and starts it again later.
func (w *crashingWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	w.crashes++
	w.Restart() // nothing of the process is left
	time.AfterFunc(restartDelay, func() {
		w.Restart()
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		w.cluster.announce(w.cluster.agents[w.name], work.WorkerReady, 0)
	})
}

// Start implements work.Runtime.
func (w *crashingWorker) Start(ctx context.Context, timeout time.Duration, instance string, fence int64, s work.Start, until time.Duration) (work.RuntimeReply, error) {
	if w.isDown() {
		return work.RuntimeReply{}, work.ErrNoListener
	}
	reply, err := w.StepWorker.Start(ctx, timeout, instance, fence, s, until)
	if err == nil && reply.Refusal == work.Accepted && strings.Contains(s.Spec, specCrashes) && s.Key.Task.Index == 0 {
		w.mu.Lock()
		w.starts[s.Key.Task.Job]++
		w.mu.Unlock()
		time.AfterFunc(crashDelay, w.crash)
	}
	return reply, err
}

// Stop implements work.Runtime.
func (w *crashingWorker) Stop(ctx context.Context, timeout time.Duration, instance string, fence int64, k work.RunKey) (work.RuntimeReply, error) {
	if w.isDown() {
		return work.RuntimeReply{}, work.ErrNoListener
	}
	return w.StepWorker.Stop(ctx, timeout, instance, fence, k)
}

// RenewLeases implements work.Runtime.
func (w *crashingWorker) RenewLeases(ctx context.Context, timeout time.Duration, instance string, fence int64, h work.LeaseRenewal) (work.RuntimeReply, error) {
	if w.isDown() {
		return work.RuntimeReply{}, work.ErrNoListener
	}
	reply, err := w.StepWorker.RenewLeases(ctx, timeout, instance, fence, h)
	if w.isDown() {
		return work.RuntimeReply{}, work.ErrNoListener
	}
	return reply, err
}

// crashingFleet is a set of workers that tasks can crash.
type crashingFleet []*crashingWorker

func (c *cluster) addCrashingAgents(n int) crashingFleet {
	var fleet crashingFleet
	for i := range n {
		name := fmt.Sprintf("crash%d", i)
		w := &crashingWorker{StepWorker: c.steps.Add("i-" + name), cluster: c, name: name, starts: make(map[string]int)}
		c.addAgentWith(name, w.StepWorker, w)
		fleet = append(fleet, w)
	}
	return fleet
}

// starts returns how often the deadly task of a job was started.
func (f crashingFleet) starts(job string) int {
	n := 0
	for _, w := range f {
		w.mu.Lock()
		n += w.starts[job]
		w.mu.Unlock()
	}
	return n
}

// awaitGivenUp waits until all entries show that a job has failed. It ends the test early if
// the deadly task is started a sixth time.
func (c *cluster) awaitGivenUp(fleet crashingFleet, id string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, e := range c.entries {
			if got, ok := e.cache.Job(id); !ok || got.State() != work.Failed {
				return fleet.starts(id) > 5
			}
		}
		return true
	}, 40*time.Second, 10*time.Millisecond)
	require.LessOrEqual(c.t, fleet.starts(id), 5)
}

func (c *cluster) submitSpec(id, spec string, steps ...work.Step) {
	c.submitJob(&work.Job{ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: steps, Spec: spec})
}

// Guards against a task that crashes one worker after the other, with the runs of all
// others, and against innocent jobs that are given up beside it.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	fleet := c.addCrashingAgents(5)
	for i := range 4 {
		c.submitSpec(fmt.Sprint("innocent", i), spec(3*time.Second, ""), step(2, 3*time.Second))
	}
	require.Eventually(t, func() bool { return c.steps.Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond) // their starts explain no crash any more
	c.submitSpec("deadly", spec(time.Second, specCrashes), step(2, time.Second))
	c.awaitGivenUp(fleet, "deadly")
	require.Contains(t, []int{2, 3}, fleet.starts("deadly"))
	for i := range 4 {
		c.awaitState(fmt.Sprint("innocent", i), work.Completed)
	}
	require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond, "the other task of the job is stopped")
	c.requireNoBreaches()
}

// Guards against crashes that are forgotten with the leader: each leader would count from
// zero, and the next one would start a job again that was given up.
func TestDeadlyTaskUnderSeveralLeaders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0)
	fleet := c.addCrashingAgents(4)
	c.awaitLeader()
	c.submitSpec("deadly", spec(time.Second, specCrashes), step(1, time.Second))
	require.Eventually(t, func() bool { return fleet.starts("deadly") == 2 }, 20*time.Second, time.Millisecond)
	c.crash(c.awaitLeader())
	c.awaitGivenUp(fleet, "deadly")
	require.LessOrEqual(t, fleet.starts("deadly"), 3, "the first crash is recorded; the age of the run is unknown in the second")
	starts := fleet.starts("deadly")

	c.crash(c.awaitLeader())
	c.submitSpec("after", spec(100*time.Millisecond, ""), step(4, 100*time.Millisecond))
	c.awaitState("after", work.Completed)
	require.Equal(t, work.Failed, c.state("deadly"))
	require.Equal(t, starts, fleet.starts("deadly"))
	c.requireNoBreaches()
}

// Guards against gangs whose members are all taken for the one that crashes its worker,
// and against a gang that is started again and again.
func TestDeadlyGangIsGivenUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	fleet := c.addCrashingAgents(6)
	gang := step(3, time.Second)
	gang.Gang, gang.MaxPerWorker = true, 1
	c.submitSpec("deadly", spec(time.Second, specCrashes+" gang=3"), gang)
	c.submitSpec("innocent", spec(time.Second, "gang=3"), gang)
	c.awaitGivenUp(fleet, "deadly")
	c.awaitState("innocent", work.Completed)
	c.requireNoBreaches()
}

// Guards against innocent jobs that are given up because several workers lose power at
// the same moment, twice.
func TestPowerLossesGiveUpNoJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	fleet := c.addCrashingAgents(4)
	for i := range 4 {
		c.submitSpec(fmt.Sprint("innocent", i), spec(2*time.Second, ""), step(2, 2*time.Second))
	}
	for range 2 {
		require.Eventually(t, func() bool { return c.steps.Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
		for _, w := range fleet {
			w.crash()
		}
	}
	for i := range 4 {
		c.awaitState(fmt.Sprint("innocent", i), work.Completed)
	}
	c.requireNoBreaches()
}
