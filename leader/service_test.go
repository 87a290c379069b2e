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

// adviser is a work.Adviser that allows some workers.
type adviser struct {
	mu    sync.Mutex
	good  []string
	valid time.Duration
	calls int
}

func (a *adviser) Advise(_ context.Context, _ time.Duration, _ work.TaskKey, workers []string) (work.Advice, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	out := work.Advice{Tickets: make(map[string]string), TicketTTL: a.valid}
	for _, w := range workers {
		if slices.Contains(a.good, w) {
			out.Tickets[w] = "ticket-" + w
		}
	}
	return out, nil
}

// machinery is a work.MachineManager whose machines come back after a while.
type machinery struct {
	mu      sync.Mutex
	world   *world
	upkeeps map[string]time.Time // end of the upkeep
	most    int                  // most machines that were down at once
	ended   []string             // machines that went down with runs on them
}

const upkeepTime = 400 * time.Millisecond

func (m *machinery) List(context.Context) ([]work.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []work.Machine
	for _, name := range []string{"agent0", "agent1", "agent2"} {
		state := work.MachineUp
		if until, ok := m.upkeeps[name]; ok && time.Now().Before(until) {
			state = work.MachineMaintenance
		}
		all = append(all, work.Machine{Name: "m-" + name, State: state, Worker: "i-" + name})
	}
	return all, nil
}

func (m *machinery) StartMaintenance(_ context.Context, _ string, _ uint64, machine string, _ int64) (work.MachineRefusal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := machine[len("m-"):]
	if _, ok := m.upkeeps[name]; ok {
		return work.MachineAccepted, nil
	}
	m.upkeeps[name] = time.Now().Add(upkeepTime)
	down := 0
	for _, until := range m.upkeeps {
		if time.Now().Before(until) {
			down++
		}
	}
	m.most = max(m.most, down)
	a := m.world.agents[name]
	if n := a.worker.Runs(); n > 0 {
		m.ended = append(m.ended, name)
	}
	a.worker.Restart()
	a.seq = 0
	m.world.announce(a, work.WorkerReady, 0)
	return work.MachineAccepted, nil
}

// Guards against a start on a worker that the advice service did not name.
func TestAdvice(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 3)
	w.adviser = &adviser{good: []string{"i-agent1"}, valid: 2 * time.Second}
	w.addEntry("entry0")
	j := &work.Job{ID: "advised", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Advised: true, Steps: []work.Step{step(12, 100*time.Millisecond)}, Spec: spec(100*time.Millisecond, "")}
	w.record(j)
	w.reaches("advised", work.Completed)
	w.sound()
	require.Equal(t, 12, w.agents["agent1"].worker.Started())
	require.Less(t, w.adviser.calls, 8, "advice is kept")
}

// Guards against a wave that takes more machines down than it may, or one with
// runs on it that could have ended, and one that is told to be completed
// before it is.
func TestMaintenanceWave(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 3)
	w.machinery = &machinery{world: w, upkeeps: make(map[string]time.Time)}
	w.addEntry("entry0")
	w.record(&work.Job{ID: "busy", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(12, 200*time.Millisecond)}, Spec: spec(700*time.Millisecond, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 12 }, 20*time.Second, 10*time.Millisecond)
	w.declared.mu.Lock()
	w.declared.waves = map[string]operators.Wave{"1": {ID: "1", Number: 1, Machines: []string{"m-agent0", "m-agent1", "m-agent2", "m-gone"}, Timeout: 20 * time.Second, MaxUnavailable: 1}}
	w.declared.mu.Unlock()
	state := func() string {
		for _, key := range w.store.Keys("status/1") {
			i, err := w.store.View("operator").Get(context.Background(), key)
			require.NoError(t, err)
			return string(i.Value)
		}
		return ""
	}
	require.Eventually(t, func() bool { return state() == "running" }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return state() == "completed" }, 30*time.Second, 10*time.Millisecond)
	w.machinery.mu.Lock()
	require.Len(t, w.machinery.upkeeps, 3)
	require.Equal(t, 1, w.machinery.most)
	require.Empty(t, w.machinery.ended)
	w.machinery.mu.Unlock()
	var done []string
	i, err := w.store.View("operator").Get(context.Background(), "rs/wave/1")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(i.Value, &done))
	require.Len(t, done, 4, "the one that is gone needs no upkeep")
	w.reaches("busy", work.Completed)
	w.sound()
}

// Guards against a long-running task that is not started again after its run
// has ended, whatever the end.
func TestLongRunning(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	s := step(3, 0)
	s.LongRunning = true
	w.record(&work.Job{ID: "serves", Service: "s", MaxAttempts: 1, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(300*time.Millisecond, standin.SpecFails)})
	fourth := work.RunKey{Task: work.TaskKey{Job: "serves", Index: 2}, Run: 4}
	require.Eventually(t, func() bool { return w.steps.Starts(fourth) == 1 }, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, work.Running, w.state("serves"))
	w.store.Put("rs/cancel/serves", []byte("{}"))
	require.Eventually(t, func() bool { return w.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	w.sound()
}

// Guards against occurrences that start before their time, or not at all.
func TestOccurrences(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	begin := time.Now().Add(600 * time.Millisecond)
	j := &work.Job{ID: "often", Service: "s", MaxAttempts: 1, Accepted: time.Now(), Steps: []work.Step{step(2, 0)}, Spec: spec(50*time.Millisecond, ""), Occurrences: 3, Start: begin, Interval: 300 * time.Millisecond}
	w.record(j)
	last := work.RunKey{Task: work.TaskKey{Job: "often", Occurrence: 2, Index: 1}, Run: 1}
	require.Eventually(t, func() bool { return w.steps.Starts(last) == 1 }, 20*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begin), 600*time.Millisecond)
	w.reaches("often", work.Completed)
	w.sound()
}
