package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// emptyDeclarations are the documents of operators who have declared nothing.
type emptyDeclarations struct{ Declarations }

func (emptyDeclarations) Configuration() *queue.Configuration { return nil }
func (emptyDeclarations) DomainOut(string) bool               { return false }

// accelerators returns a shape of n accelerators, with a core and 100 MB for each.
func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000 * n, MemoryMB: 100 * n, Accelerators: n}
}

// reportingWorker is a worker whose reports a test sends.
type reportingWorker struct {
	stream   *stream
	id       string
	capacity work.Shape
	largest  work.Shape // capacity of the worker at its largest; zero if that is not reported
	reported work.Shape // capacity in the last report
	running  []work.RunKey
	listed   []work.RunKey // running in the last report
	ended    []work.RunEnd
	refused  []control.Refusal
}

// fleetModel is a term with workers whose runs and capacities a test changes.
type fleetModel struct {
	term    *term
	workers []*reportingWorker
	jobs    int
}

func newFleetModel(workers int) *fleetModel {
	m := &fleetModel{term: newTerm(Config{Declarations: emptyDeclarations{}, GangWait: 3 * time.Second, Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))}
	for i := range workers {
		w := &reportingWorker{stream: m.term.newStream(), id: fmt.Sprintf("a%d/i/1", i), capacity: accelerators(8)}
		m.workers = append(m.workers, w)
		m.report(w)
	}
	return m
}

func (m *fleetModel) report(w *reportingWorker) {
	r := control.Report{Agent: w.id[:2], Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: w.id, ID: w.id, Service: "s", Rack: "r", Capacity: w.capacity, LargestCapacity: w.largest}, Ended: w.ended, Refused: w.refused}
	for _, k := range w.running {
		r.Running = append(r.Running, work.RunStatus{Key: k})
	}
	w.reported, w.listed, w.refused = w.capacity, slices.Clone(w.running), nil
	if err := m.term.report(w.stream, r); err != nil {
		panic(err)
	}
}

func (m *fleetModel) submit(priority int, s work.Step) {
	j := &work.Job{ID: fmt.Sprint("j", m.jobs), Service: "s", Priority: priority, MaxAttempts: 9, Accepted: time.Now(), Objective: time.Minute, Steps: []work.Step{s}}
	m.jobs++
	m.term.jobs[j.ID] = &jobState{job: j, progress: work.NewProgress(j), committed: make([]work.Task, s.Count)}
}

// placed returns the runs that are placed on a worker.
func (m *fleetModel) placed(worker string) map[work.RunKey]work.Shape {
	runs := make(map[work.RunKey]work.Shape)
	for _, s := range m.term.jobs {
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if task.Worker == worker {
				runs[work.RunKey{Task: k, Run: task.Run}] = s.job.Steps[k.Step].Shape
			}
		})
	}
	return runs
}

// place makes a scheduling pass and requires of each worker with a new placement that all
// runs there fit the capacity in its last report. It returns the number of placements.
func (m *fleetModel) place(t require.TestingT) int {
	before := make(map[string]map[work.RunKey]work.Shape)
	for _, w := range m.workers {
		before[w.id] = m.placed(w.id)
	}
	m.term.place(uptime.Now())
	n := 0
	for _, w := range m.workers {
		placed := m.placed(w.id)
		added := 0
		var used work.Shape
		for k, demand := range placed {
			used = used.Add(demand)
			if _, ok := before[w.id][k]; !ok {
				added++
			}
		}
		if n += added; added == 0 {
			continue
		}
		for _, k := range w.listed {
			if _, ok := placed[k]; ok {
				continue
			}
			s, task := m.term.task(k)
			require.NotNil(t, task, "a task is placed beside run %v %v, whose demand is unknown", k.Task.Job, k)
			used = used.Add(s.job.Steps[k.Task.Step].Shape)
		}
		require.True(t, used.FitsIn(w.reported), "%v placed on %v", used, w.reported)
	}
	return n
}

// Guards against placements that exceed the capacity of a worker as far as it is known,
// under any order of starts, ends, refusals, runs that were placed elsewhere or belong to
// no known job, and changes of the capacity.
func TestNoPlacementExceedsKnownCapacity(t *testing.T) {
	placements := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w, other := m.workers[rapid.IntRange(0, 2).Draw(t, "worker")], m.workers[rapid.IntRange(0, 2).Draw(t, "other")]
			pick := func(runs []work.RunKey) int { return rapid.IntRange(0, len(runs)-1).Draw(t, "run") }
			var waiting []work.RunKey // placed and not started
			for k := range m.placed(w.id) {
				if !slices.Contains(w.running, k) && !slices.ContainsFunc(w.ended, func(e work.RunEnd) bool { return e.Key == k }) {
					waiting = append(waiting, k)
				}
			}
			slices.SortFunc(waiting, func(a, b work.RunKey) int { return a.Task.Index - b.Task.Index })
			switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "end", "end", "refuse", "stray", "unknown", "capacity", "report", "report"}).Draw(t, "action") {
			case "submit":
				m.submit(rapid.IntRange(0, 2).Draw(t, "priority"), work.Step{
					Count: rapid.IntRange(1, 3).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), Estimate: time.Second,
					Shape: accelerators(int64(rapid.IntRange(1, 4).Draw(t, "demand"))),
				})
			case "start":
				w.running = append(w.running, waiting...)
			case "end":
				if len(w.running) > 0 {
					i := pick(w.running)
					outcome := rapid.SampledFrom([]work.Outcome{work.OutcomeDone, work.OutcomeStopped}).Draw(t, "outcome")
					w.ended = append(w.ended, work.RunEnd{Seq: uint64(len(w.ended) + 1), Key: w.running[i], Outcome: outcome})
					w.running = slices.Delete(w.running, i, i+1)
				}
			case "refuse":
				if len(waiting) > 0 {
					w.refused = append(w.refused, control.Refusal{Key: waiting[pick(waiting)], Reason: work.RefusedOutdated})
					m.report(w)
				}
			case "stray":
				if len(other.running) > 0 && other != w {
					k := other.running[pick(other.running)]
					k.Run += 100
					w.running = append(w.running, k)
				}
			case "unknown":
				w.running = append(w.running, work.RunKey{Task: work.TaskKey{Job: "unknown", Index: len(w.running) + len(w.ended)}, Run: 1})
			case "capacity":
				w.capacity = accelerators(int64(rapid.IntRange(0, 8).Draw(t, "capacity")))
			case "report":
				m.report(w)
			}
			placements += m.place(t)
		}
	})
	require.NotZero(t, placements)
}

// Guards against capacity that has grown again and stays unused for the pause that
// follows a refused start.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	m := newFleetModel(1)
	w := m.workers[0]
	m.submit(1, work.Step{Count: 1, Shape: accelerators(6), Estimate: time.Second})
	require.Equal(t, 1, m.place(t))
	w.capacity = accelerators(4)
	w.refused = []control.Refusal{{Key: work.RunKey{Task: work.TaskKey{Job: "j0"}, Run: 1}, Reason: work.RefusedNoCapacity}}
	m.report(w)
	require.Zero(t, m.place(t), "it does not fit")
	w.capacity = accelerators(8)
	m.report(w)
	require.Equal(t, 1, m.place(t))
}

// Guards against starts that are ordered again and again from a worker that refuses them
// for lack of a capacity that it announces.
func TestWorkerWithoutRoomGetsNothingForAWhile(t *testing.T) {
	m := newFleetModel(1)
	m.submit(1, work.Step{Count: 1, Shape: accelerators(6), Estimate: time.Second})
	require.Equal(t, 1, m.place(t))
	m.workers[0].refused = []control.Refusal{{Key: work.RunKey{Task: work.TaskKey{Job: "j0"}, Run: 1}, Reason: work.RefusedNoCapacity}}
	m.report(m.workers[0])
	require.Zero(t, m.place(t))
}
