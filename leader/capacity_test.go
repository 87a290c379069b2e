package leader

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a worker that runs more than it has capacity for without a trace of
// what the leader knew about it (hunt-b06d-15 of fjordtork).
func TestOvercommittedWorkerIsLogged(t *testing.T) {
	const id = "a/i/1"
	var log bytes.Buffer
	term := newTerm(Config{Log: zerolog.New(&log)}, jobstore.LeaderRecord{Epoch: 7}, 1, 1, uptime.Now().Add(time.Minute))
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 3, Shape: work.Shape{Accelerators: 4}}}}
	term.jobs["j"] = &jobState{job: j, progress: work.NewProgress(j)}
	s := term.newStream()
	report := func(runs int) {
		r := control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id, Capacity: work.Shape{Accelerators: 8}}}
		for i := range runs {
			r.Running = append(r.Running, work.RunStatus{Key: work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}})
		}
		require.NoError(t, term.report(s, r))
	}
	logged := func() int { return strings.Count(log.String(), "LeaderOvercommitted") }

	report(2)
	require.Zero(t, logged())
	report(3)
	report(3)
	require.Equal(t, 1, logged(), "once while the excess lasts")
	require.Contains(t, log.String(), `"Demand":{"Accelerators":12}`)
	require.Contains(t, log.String(), `j 0.0.2/1 0% orphan`)
	report(2)
	report(3)
	require.Equal(t, 2, logged())
}

// Guards against a worker that has shrunk below what its runs take and is reported as a
// fault of this system, and against real excess that passes for a shrunk worker.
func TestShrunkWorkerIsNotOvercommitted(t *testing.T) {
	newModel := func(capacity, largest int64) (*fleetModel, *reportingWorker, *bytes.Buffer) {
		m, log := newFleetModel(0), new(bytes.Buffer)
		m.term.cfg.Log = zerolog.New(log)
		w := &reportingWorker{stream: m.term.newStream(), id: "a0/i/1", capacity: accelerators(capacity), largest: accelerators(largest)}
		m.workers = append(m.workers, w)
		m.submit(1, work.Step{Count: 4, Shape: accelerators(4), Estimate: time.Second})
		return m, w, log
	}
	run := func(index int) work.RunKey { return work.RunKey{Task: work.TaskKey{Job: "j0", Index: index}, Run: 1} }
	for name, c := range map[string]struct {
		capacity, largest int64 // in the first report
		change            func(*fleetModel, *reportingWorker)
		want              []string
	}{
		"shrinks": {8, 8, func(m *fleetModel, w *reportingWorker) {
			require.Equal(t, 2, m.place(t))
			w.running, w.capacity = []work.RunKey{run(0), run(1)}, accelerators(4)
			m.report(w)
			m.report(w)
		}, []string{"LeaderCapacity", "LeaderShrunk"}},
		"shrinks and grows": {8, 8, func(m *fleetModel, w *reportingWorker) {
			require.Equal(t, 2, m.place(t))
			w.running, w.capacity = []work.RunKey{run(0), run(1)}, accelerators(4)
			m.report(w)
			w.capacity = accelerators(8)
			m.report(w)
			w.capacity = accelerators(4)
			m.report(w)
		}, []string{"LeaderCapacity", "LeaderShrunk", "LeaderCapacity", "LeaderCapacity", "LeaderShrunk"}},
		"had shrunk before the election": {4, 8, func(m *fleetModel, w *reportingWorker) {
			w.running = []work.RunKey{run(0), run(1)}
			m.report(w)
		}, []string{"LeaderShrunk"}},
		"more than before it shrank": {8, 8, func(m *fleetModel, w *reportingWorker) {
			require.Equal(t, 2, m.place(t))
			w.running, w.capacity = []work.RunKey{run(0), run(1)}, accelerators(4)
			m.report(w)
			w.running = append(w.running, run(2))
			m.report(w)
		}, []string{"LeaderCapacity", "LeaderShrunk", "LeaderOvercommitted"}},
		"more than was placed since it shrank": {4, 8, func(m *fleetModel, w *reportingWorker) {
			require.Equal(t, 1, m.place(t))
			w.running = []work.RunKey{run(0), run(1)}
			m.report(w)
		}, []string{"LeaderOvercommitted"}},
		"not announced at first": {0, 0, func(m *fleetModel, w *reportingWorker) {
			w.running = []work.RunKey{run(0)}
			m.report(w)
			w.capacity = accelerators(8)
			m.report(w)
			w.capacity = accelerators(2)
			m.report(w)
		}, []string{"LeaderCapacity", "LeaderCapacity", "LeaderShrunk"}},
		"never shrank": {8, 8, func(m *fleetModel, w *reportingWorker) {
			w.running = []work.RunKey{run(0), run(1), run(2)}
			m.report(w)
		}, []string{"LeaderOvercommitted"}},
	} {
		t.Run(name, func(t *testing.T) {
			m, w, log := newModel(c.capacity, c.largest)
			m.report(w)
			c.change(m, w)
			var got []string
			for _, line := range strings.Split(log.String(), "\n") {
				for _, event := range []string{`"LeaderCapacity"`, `"LeaderShrunk"`, `"LeaderOvercommitted"`} {
					if strings.Contains(line, event) {
						got = append(got, strings.Trim(event, `"`))
					}
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a change of the capacity of which the logs do not show the earlier one
// and what runs there.
func TestChangeOfCapacityIsLogged(t *testing.T) {
	m, log := newFleetModel(1), new(bytes.Buffer)
	m.term.cfg.Log = zerolog.New(log)
	m.submit(1, work.Step{Count: 1, Shape: accelerators(4), Estimate: time.Second})
	require.Equal(t, 1, m.place(t))
	w := m.workers[0]
	w.running, w.capacity = []work.RunKey{{Task: work.TaskKey{Job: "j0"}, Run: 1}}, accelerators(6)
	m.report(w)
	require.Contains(t, log.String(), `"Before":{"MilliCPU":8000,"MemoryMB":800,"Accelerators":8},"Capacity":{"MilliCPU":6000,"MemoryMB":600,"Accelerators":6}`)
	require.Contains(t, log.String(), `"Demand":{"MilliCPU":4000,"MemoryMB":400,"Accelerators":4}`)
	require.Contains(t, log.String(), `"Running":["j0 0.0.0/1 0% placed`)
}
