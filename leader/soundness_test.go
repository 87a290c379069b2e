package leader

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// failRun ends a placed run as failed at the given time, 43 ms after its placement.
func (m *fleetModel) failRun(worker string, k work.RunKey, at time.Time) {
	m.term.workers[worker].placedAt[k] = at.Add(-43 * time.Millisecond)
	m.term.endRun(worker, k, work.OutcomeFailed, "", at)
}

// endStopped ends all runs of a job that are being stopped.
func (m *fleetModel) endStopped() {
	for _, w := range m.workers {
		for k := range m.placed(w.id) {
			if _, task := m.term.task(k); task.Stopping {
				m.term.endRun(w.id, k, work.OutcomeStopped, "", uptime.Now())
			}
		}
	}
}

// Guards against the second and last attempt of a gang on the worker that failed its first
// one 43 ms after the start, while the other members worked, and against an attempt on
// nine workers where two can hold it.
func TestLastAttemptOfGangAvoidsFailingWorker(t *testing.T) {
	m := newFleetModel(9)
	m.submit(0, work.Step{Count: 9, Shape: accelerators(1), Gang: true, Estimate: 2 * time.Second})
	s := m.term.jobs["j0"]
	s.job.MaxAttempts = 2
	// The first run had one member on each worker.
	for i := range s.progress.Tasks {
		s.progress.Place(&s.progress.Tasks[i], m.workers[i].id, "", 1)
		m.term.workers[m.workers[i].id].placedAt[work.RunKey{Task: work.TaskKey{Job: "j0", Index: i}, Run: 1}] = uptime.Now()
	}
	m.failRun("a5/i/1", work.RunKey{Task: work.TaskKey{Job: "j0", Index: 5}, Run: 1}, uptime.Now())
	m.endStopped()
	require.Equal(t, 9, m.place(t))
	require.True(t, m.term.workers["a5/i/1"].health.suspect)
	require.Empty(t, m.placed("a5/i/1"))
	used := 0
	for _, w := range m.workers {
		if len(m.placed(w.id)) > 0 {
			used++
		}
	}
	require.Equal(t, 2, used)
}

// Guards against a job whose run failed once and which is never started again, because the
// only worker with room is the one that failed it (KNOWN-RED 16, review/8).
func TestFailedJobStartsAgainWhereThereIsRoom(t *testing.T) {
	m := newFleetModel(2)
	m.submit(1, work.Step{Count: 1, Shape: accelerators(6), LongRunning: true})
	require.Equal(t, 1, m.place(t))
	m.submit(1, work.Step{Count: 1, Shape: accelerators(4), Estimate: time.Second})
	require.Equal(t, 1, m.place(t))
	task := &m.term.jobs["j1"].progress.Tasks[0]
	worker := task.Worker
	m.failRun(worker, work.RunKey{Task: work.TaskKey{Job: "j1"}, Run: 1}, uptime.Now())
	require.Zero(t, m.place(t), "it waits for another worker")
	key := stepKey{job: "j1"}
	require.Contains(t, m.term.withheldSince, key)
	m.term.withheldSince[key] = uptime.Now().Add(-maxWithheldTime)
	require.Equal(t, 1, m.place(t))
	require.Equal(t, worker, task.Worker)
	m.place(t)
	require.Empty(t, m.term.withheldSince, "it waits no more")
}

// Guards against a worker that stays suspect although a run which started there since has
// worked, against one that gets a second task before that, and against changes that the
// log does not explain.
func TestProbeClearsWorker(t *testing.T) {
	var log bytes.Buffer
	m := newFleetModel(1)
	m.term.cfg.Log = zerolog.New(&log)
	w := m.workers[0]
	m.submit(1, work.Step{Count: 1, Shape: accelerators(1), Estimate: time.Second})
	require.Equal(t, 1, m.place(t))
	m.failRun(w.id, work.RunKey{Task: work.TaskKey{Job: "j0"}, Run: 1}, uptime.Now().Add(-2*time.Second))
	m.term.jobs["j0"].progress.Cancel(time.Now())
	m.submit(1, work.Step{Count: 3, Shape: accelerators(1), Estimate: 10 * time.Second})
	require.Equal(t, 1, m.place(t), "one probe")
	require.Contains(t, log.String(), `"LeaderWorkerSuspect"`)
	require.Contains(t, log.String(), "of j0 failed 43 ms after its placement")
	require.Zero(t, m.place(t), "the probe has not shown anything yet")

	for k := range m.placed(w.id) {
		w.running = []work.RunKey{k}
	}
	m.report(w)
	for k := range m.term.workers[w.id].placedAt {
		state := m.term.workers[w.id]
		state.placedAt[k] = uptime.Now().Add(-time.Second)
		state.trackers[k].startedAt = uptime.Now().Add(-time.Second)
	}
	m.report(w)
	require.Equal(t, 2, m.place(t))
	require.Contains(t, log.String(), `"LeaderWorkerCleared"`)
	require.Contains(t, log.String(), "of j1, which was placed since, works")
}

// Guards against a gang that waits for other workers for longer than its guarantee allows.
func TestWithholdingIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		guaranteed, mustStartNow bool
		withheld                 time.Duration
		want                     bool
	}{
		"withheld briefly":             {false, false, 500 * time.Millisecond, false},
		"withheld long enough":         {false, false, maxWithheldTime, true},
		"guaranteed":                   {true, false, maxGuaranteedWithheldTime, true},
		"guaranteed, has to start now": {true, true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newFleetModel(1)
			m.submit(0, work.Step{Count: 2, Shape: accelerators(1), Gang: true})
			units := m.term.units(nil)
			units[0].Guaranteed, units[0].MustStartNow = c.guaranteed, c.mustStartNow
			m.term.setRisk(units[0], 1)
			now := uptime.Now()
			m.term.withheldSince[keyOfUnit(units[0])] = now.Add(-c.withheld)
			m.term.endWithholding(units, now)
			require.Equal(t, c.want, units[0].AcceptsSuspects)
		})
	}
}

// Guards against tasks that use up their attempts on a failing worker within a second,
// because their step was withheld from it for long enough before they failed there.
func TestFailureRestartsTheTimeForWhichAStepIsWithheld(t *testing.T) {
	m := newFleetModel(1)
	m.submit(2, work.Step{Count: 12, Shape: accelerators(1), Estimate: time.Second})
	m.term.jobs["j0"].job.MaxAttempts = 3
	require.Equal(t, 8, m.place(t))
	failAll := func() {
		for k := range m.placed(m.workers[0].id) {
			m.failRun(m.workers[0].id, k, uptime.Now())
		}
	}
	failAll()
	require.Equal(t, 1, m.place(t), "a probe")
	require.Zero(t, m.place(t))
	key := stepKey{job: "j0"}
	require.Contains(t, m.term.withheldSince, key)
	m.term.withheldSince[key] = uptime.Now().Add(-maxWithheldTime)
	require.Equal(t, 7, m.place(t), "it was withheld for long enough")
	failAll()
	require.Equal(t, 1, m.place(t), "a probe")
	require.Zero(t, m.place(t))
}
