package leader_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	operators "github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// fakeAdviser is a work.Adviser that allows some workers.
type fakeAdviser struct {
	mu        sync.Mutex
	allowed   []string
	ticketTTL time.Duration
	calls     int
}

func (a *fakeAdviser) Advise(_ context.Context, _ time.Duration, _ work.TaskKey, workers []string) (work.Advice, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	out := work.Advice{Tickets: make(map[string]string), TicketTTL: a.ticketTTL}
	for _, id := range workers {
		if slices.Contains(a.allowed, id) {
			out.Tickets[id] = "ticket-" + id
		}
	}
	return out, nil
}

// fakeMachines is a work.MachineManager whose machines come back after their maintenance.
type fakeMachines struct {
	mu             sync.Mutex
	cluster        *cluster
	maintenanceEnd map[string]time.Time // by the name of the agent
	maxDown        int                  // largest number of machines that were down at once
	interrupted    []string             // machines that went down with runs on them
}

const maintenanceTime = 400 * time.Millisecond

func (m *fakeMachines) List(context.Context) ([]work.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []work.Machine
	for _, name := range []string{"agent0", "agent1", "agent2"} {
		state := work.MachineUp
		if until, ok := m.maintenanceEnd[name]; ok && time.Now().Before(until) {
			state = work.MachineMaintenance
		}
		all = append(all, work.Machine{Name: "m-" + name, State: state, Worker: "i-" + name})
	}
	return all, nil
}

func (m *fakeMachines) StartMaintenance(_ context.Context, _ string, _ uint64, machine string, _ int64) (work.MachineRefusal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := machine[len("m-"):]
	if _, ok := m.maintenanceEnd[name]; ok {
		return work.MachineAccepted, nil
	}
	m.maintenanceEnd[name] = time.Now().Add(maintenanceTime)
	down := 0
	for _, until := range m.maintenanceEnd {
		if time.Now().Before(until) {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	a := m.cluster.agents[name]
	if n := a.worker.Runs(); n > 0 {
		m.interrupted = append(m.interrupted, name)
	}
	a.worker.Restart()
	a.seq = 0
	m.cluster.announce(a, work.WorkerReady, 0)
	return work.MachineAccepted, nil
}

// Guards against a start on a worker that the advice service has not allowed, and against
// repeated calls about workers that are known already.
func TestAdvice(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 3)
	c.adviser = &fakeAdviser{allowed: []string{"i-agent1"}, ticketTTL: 2 * time.Second}
	c.addEntry("entry0")
	j := &work.Job{ID: "advised", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Advised: true, Steps: []work.Step{step(12, 100*time.Millisecond)}, Spec: spec(100*time.Millisecond, "")}
	c.submitJob(j)
	c.awaitState("advised", work.Completed)
	c.requireNoBreaches()
	require.Equal(t, 12, c.agents["agent1"].worker.Started())
	require.Less(t, c.adviser.calls, 8, "advice is cached")
}

// Guards against a wave that takes down more machines than it may, or machines whose runs
// could still have ended, and against one that is shown as completed too early.
func TestMaintenanceWave(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 3)
	c.machines = &fakeMachines{cluster: c, maintenanceEnd: make(map[string]time.Time)}
	c.addEntry("entry0")
	c.submitJob(&work.Job{ID: "busy", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(12, 200*time.Millisecond)}, Spec: spec(700*time.Millisecond, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 12 }, 20*time.Second, 10*time.Millisecond)
	c.declarations.mu.Lock()
	c.declarations.waves = map[string]operators.Wave{"1": {ID: "1", Number: 1, Machines: []string{"m-agent0", "m-agent1", "m-agent2", "m-gone"}, Timeout: 20 * time.Second, MaxUnavailable: 1}}
	c.declarations.mu.Unlock()
	state := func() string {
		for _, key := range c.store.Keys("status/1") {
			i, err := c.store.View("operator").Get(context.Background(), key)
			require.NoError(t, err)
			return string(i.Value)
		}
		return ""
	}
	require.Eventually(t, func() bool { return state() == "running" }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return state() == "completed" }, 30*time.Second, 10*time.Millisecond)
	c.machines.mu.Lock()
	require.Len(t, c.machines.maintenanceEnd, 3)
	require.Equal(t, 1, c.machines.maxDown)
	require.Empty(t, c.machines.interrupted)
	c.machines.mu.Unlock()
	var done []string
	i, err := c.store.View("operator").Get(context.Background(), "rs/wave/1")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(i.Value, &done))
	require.Len(t, done, 4, "a machine that does not exist needs no maintenance")
	c.awaitState("busy", work.Completed)
	c.requireNoBreaches()
}

// Guards against a wave that never completes, and machines that stay closed to new tasks,
// because long-running tasks whose step has no bound are not stopped for it.
func TestMaintenanceWaveMovesLongRunningTasks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 2)
	c.machines = &fakeMachines{cluster: c, maintenanceEnd: make(map[string]time.Time)}
	c.addEntry("entry0")
	s := step(4, 0)
	s.LongRunning = true
	c.submitJob(&work.Job{ID: "serves", Service: "s", MaxAttempts: 1, Accepted: time.Now(), Steps: []work.Step{s}, Spec: standin.SpecServes})
	require.Eventually(t, func() bool { return c.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond)
	c.declarations.mu.Lock()
	c.declarations.waves = map[string]operators.Wave{"1": {ID: "1", Number: 1, Machines: []string{"m-agent0", "m-agent1"}, Timeout: 20 * time.Second, MaxUnavailable: 1}}
	c.declarations.mu.Unlock()
	require.Eventually(t, func() bool {
		keys := c.store.Keys("status/1")
		if len(keys) == 0 {
			return false
		}
		i, err := c.store.View("operator").Get(context.Background(), keys[0])
		return err == nil && string(i.Value) == "completed"
	}, 30*time.Second, 10*time.Millisecond)
	c.machines.mu.Lock()
	require.Empty(t, c.machines.interrupted)
	c.machines.mu.Unlock()
	require.Eventually(t, func() bool { return c.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond, "the tasks have started again")
	c.requireNoBreaches()
}

// Guards against a long-running task that is not restarted after its run has failed,
// even if MaxAttempts is reached.
func TestLongRunning(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	s := step(3, 0)
	s.LongRunning = true
	c.submitJob(&work.Job{ID: "serves", Service: "s", MaxAttempts: 1, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(300*time.Millisecond, standin.SpecFails)})
	fourth := work.RunKey{Task: work.TaskKey{Job: "serves", Index: 2}, Run: 4}
	require.Eventually(t, func() bool { return c.steps.Starts(fourth) == 1 }, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, work.Running, c.state("serves"))
	c.store.Put("rs/cancel/serves", []byte("{}"))
	require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	c.requireNoBreaches()
}

// Guards against occurrences that start too early or not at all.
func TestOccurrences(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	begin := time.Now().Add(600 * time.Millisecond)
	j := &work.Job{ID: "often", Service: "s", MaxAttempts: 1, Accepted: time.Now(), Steps: []work.Step{step(2, 0)}, Spec: spec(50*time.Millisecond, ""), Occurrences: 3, Start: begin, Interval: 300 * time.Millisecond}
	c.submitJob(j)
	last := work.RunKey{Task: work.TaskKey{Job: "often", Occurrence: 2, Index: 1}, Run: 1}
	require.Eventually(t, func() bool { return c.steps.Starts(last) == 1 }, 20*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begin), 600*time.Millisecond)
	c.awaitState("often", work.Completed)
	c.requireNoBreaches()
}
