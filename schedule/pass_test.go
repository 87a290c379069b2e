package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// fleet returns n schedulable workers of 8 accelerators and 32 cores, three to a rack.
func fleet(n int) []*schedule.Worker {
	workers := make([]*schedule.Worker, n)
	for i := range workers {
		workers[i] = &schedule.Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Domain: "a", Rack: fmt.Sprintf("r%d", i/3), Schedulable: true,
			Capacity: work.Shape{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8},
		}
	}
	return workers
}

// newJob returns a job of one step.
func newJob(id string, priority int, s work.Step) *work.Job {
	return &work.Job{ID: id, Service: "s", Priority: priority, MaxAttempts: 3, Steps: []work.Step{s}}
}

// units returns the units of a job of one step of which no task has started.
func units(j *work.Job) []*schedule.Unit {
	beside := make(map[string]int)
	s := j.Steps[0]
	var all []*schedule.Unit
	for i := range s.Count {
		all = append(all, &schedule.Unit{Job: j, Indexes: []int{i}, TasksByWorker: beside, Deadline: time.Unix(0, 0)})
	}
	if s.Gang {
		for i := 1; i < s.Count; i++ {
			all[0].Indexes = append(all[0].Indexes, i)
		}
		return all[:1]
	}
	return all
}

func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: n}
}

// Tasks of a step that are placed in one pass count against the bound on tasks
// of the step on one worker.
func TestMaxPerWorkerWithinOnePass(t *testing.T) {
	j := newJob("j", 2, work.Step{Count: 8, Shape: accelerators(0), MaxPerWorker: 2})
	plan := schedule.Decide(fleet(3), units(j), 0)
	on := make(map[string]int)
	for _, p := range plan.Placements {
		on[p.Worker]++
	}
	require.Len(t, plan.Placements, 6)
	for w, n := range on {
		require.LessOrEqual(t, n, 2, w)
	}
}

// occupy puts a run on a worker.
func occupy(w *schedule.Worker, id string, priority int, demand work.Shape, cost float64) {
	w.Runs = append(w.Runs, schedule.Run{
		Key: work.RunKey{Task: work.TaskKey{Job: id}, Run: 1}, Demand: demand, Priority: priority, Cost: cost,
	})
}

func racks(f []*schedule.Worker, plan schedule.Plan) map[string]int {
	rack := make(map[string]string)
	for _, w := range f {
		rack[w.ID] = w.Rack
	}
	n := make(map[string]int)
	for _, p := range plan.Placements {
		n[rack[p.Worker]]++
	}
	return n
}

// An urgent gang that is slow on several racks is not spread over what happens
// to be free there, as long as a rack can make room for it: spread, it takes
// three times as long.
func TestUrgentGangWaitsForARack(t *testing.T) {
	f := fleet(6)
	for i, w := range f {
		if i%3 != 0 { // one worker of each rack is free
			occupy(w, fmt.Sprintf("batch%d", i), 2, accelerators(8), 10)
		}
	}
	j := newJob("urgent", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true})
	plan := schedule.Decide(f, units(j), 0)
	require.Empty(t, plan.Placements)
	require.Len(t, plan.Stops, 1, "one worker beside the free one is enough")
}

// A gang that no rack could ever hold is spread at once.
func TestGangLargerThanARackIsSpread(t *testing.T) {
	f := fleet(6)
	j := newJob("wide", 1, work.Step{Count: 5, Shape: accelerators(8), Gang: true, SameRack: true})
	plan := schedule.Decide(f, units(j), 0)
	require.Len(t, plan.Placements, 5)
	require.Len(t, racks(f, plan), 2)
}

// The run that is stopped is the one whose stop repeats least work, whatever
// its priority below the urgent one.
func TestCheapestWorkMakesRoom(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "unsaved", 2, accelerators(8), 500)
	occupy(f[1], "saved", 1, accelerators(8), 20)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Equal(t, []work.RunKey{{Task: work.TaskKey{Job: "saved"}, Run: 1}}, plan.Stops)
}

// Nothing is stopped for an urgent job if a run will have ended by the time
// that a stop takes.
func TestRunAboutToEndIsWaitedFor(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "ending", 1, accelerators(8), 500)
	f[0].Runs[0].EndsSoon = true
	occupy(f[1], "young", 2, accelerators(8), 1)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Empty(t, plan.Stops)
	require.Empty(t, plan.Placements)
}

// A member of a gang that has done its part waits for the others, so its room
// does not come soon.
func TestGangEndsWithItsSlowestMember(t *testing.T) {
	f := fleet(2)
	for _, w := range f {
		occupy(w, "gang", 1, accelerators(8), 50)
		w.Runs[0].Group = "gang"
	}
	f[0].Runs[0].EndsSoon = true
	u := units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	require.Len(t, schedule.Decide(f, u, 0).Stops, 2)
}

// Work within a guarantee yields to nothing, and urgent work beyond one yields
// to a guarantee only, when that would else be late. Before that it has the time
// to end: with more urgent work than room both can be done in time.
func TestGuaranteeIsReclaimed(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "reserved", 0, accelerators(8), 1)
	f[0].Runs[0].Reserved = true
	occupy(f[1], "borrowed", 0, accelerators(8), 100)
	j := newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})
	require.Empty(t, schedule.Decide(f, units(j), 0).Stops)
	for name, c := range map[string]struct {
		when    schedule.Timeliness
		pressed bool
		stops   int
	}{"has time": {schedule.OnTime, false, 0}, "would be late": {schedule.AtRisk, false, 1}, "has to begin": {schedule.OnTime, true, 1}, "is late": {schedule.Late, false, 1}} {
		t.Run(name, func(t *testing.T) {
			u := units(j)
			u[0].Reserved, u[0].Timeliness, u[0].MustStartNow = true, c.when, c.pressed
			f[1].Runs[0].Stopping = false
			plan := schedule.Decide(f, u, 0)
			require.Len(t, plan.Stops, c.stops)
			if c.stops > 0 {
				require.Equal(t, "borrowed", plan.Stops[0].Task.Job)
			}
		})
	}
}

// A run of an urgent job that will be late makes room for one that can be in time.
// Under more urgent work than room, late work filled most of the fleet.
func TestLateWorkMakesRoom(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "late", 0, accelerators(8), 500)
	f[0].Runs[0].Late = true
	occupy(f[1], "urgent", 0, accelerators(8), 1)
	plan := schedule.Decide(f, units(newJob("next", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, "late", plan.Stops[0].Task.Job)
}

// A guarantee is reclaimed from work that can wait, however much of it is lost,
// before urgent work that has just begun: that would miss its time.
func TestUrgentWorkYieldsLast(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "urgent", 0, accelerators(8), 1)
	occupy(f[1], "batch", 2, accelerators(8), 500)
	u := units(newJob("guaranteed", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	u[0].Reserved = true
	require.Equal(t, "batch", schedule.Decide(f, u, 0).Stops[0].Task.Job)
}

// Small work that comes later does not take the room that urgent work waits
// for.
func TestRoomOfUrgentWorkIsKept(t *testing.T) {
	f := fleet(1)
	occupy(f[0], "stopping", 2, accelerators(4), 1)
	f[0].Runs[0].Stopping = true
	all := append(units(newJob("small", 2, work.Step{Count: 4, Shape: accelerators(1)})),
		units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))...)
	require.Empty(t, schedule.Decide(f, all, 0).Placements)
}

// A job that is too late to count waits behind those that are not, of the same
// priority.
func TestExpiredWorkComesLast(t *testing.T) {
	f := fleet(1)
	late := units(newJob("a-late", 1, work.Step{Count: 1, Shape: accelerators(8)}))
	late[0].Timeliness = schedule.Expired
	now := units(newJob("b-now", 1, work.Step{Count: 1, Shape: accelerators(8)}))
	now[0].Deadline = time.Unix(100, 0)
	plan := schedule.Decide(f, append(late, now...), 0)
	require.Equal(t, "b-now", plan.Placements[0].Task.Job)
}

// Room that is made for an urgent job is not taken by one that came later and
// is shorter: each would have runs stopped and wait for them in turn.
func TestUrgentWorkKeepsItsTurn(t *testing.T) {
	f := fleet(1)
	first := units(newJob("first", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	first[0].QueuedSince, first[0].Deadline = time.Unix(1, 0), time.Unix(100, 0)
	second := units(newJob("second", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	second[0].QueuedSince, second[0].Deadline = time.Unix(2, 0), time.Unix(50, 0)
	require.Equal(t, "first", schedule.Decide(f, append(second, first...), 0).Placements[0].Task.Job)
}

// Work that can wait leaves the emptiest racks to urgent gangs, which would
// else wait for the stops of runs, and takes them when its time runs out.
func TestWorkThatCanWaitLeavesRacksFree(t *testing.T) {
	f := fleet(24)
	patient := units(newJob("patient", 2, work.Step{Count: 24, Shape: accelerators(8)}))
	for _, u := range patient {
		u.CanWait = true
	}
	plan := schedule.Decide(f, patient, 0)
	require.Len(t, plan.Placements, 21)
	require.Len(t, racks(f, plan), 7)
	for _, u := range patient {
		u.CanWait, u.TasksByWorker = false, make(map[string]int)
	}
	require.Len(t, schedule.Decide(fleet(24), patient, 0).Placements, 24)
}

// After a burst of urgent jobs, work that can wait does not take the room that
// the next ones of the burst need: it would be stopped before it is done.
func TestWorkThatCanWaitKeepsOutOfABurst(t *testing.T) {
	f := fleet(6)
	occupy(f[0], "urgent", 0, accelerators(4), 1)
	patient := units(newJob("patient", 2, work.Step{Count: 40, Shape: accelerators(1)}))
	for _, u := range patient {
		u.CanWait = true
	}
	keep := 4 * f[0].Capacity.Cores()
	plan := schedule.Decide(f, patient, keep)
	require.Len(t, plan.Placements, 12, "half a worker and the next")
	urgent := units(newJob("next", 0, work.Step{Count: 4, Shape: accelerators(8), Gang: true}))
	for _, u := range patient {
		u.TasksByWorker = make(map[string]int)
	}
	require.Equal(t, "next", schedule.Decide(f, slices.Concat(patient, urgent), keep).Placements[3].Task.Job)
	for _, u := range patient {
		u.CanWait, u.TasksByWorker = false, make(map[string]int)
	}
	require.Len(t, schedule.Decide(f, patient, keep).Placements, 40, "its time has run out")
}

// Batch work that is late does not wait for room that is kept for urgent work: on a
// hunted day of fmr-ops the last task of a step waited for 5.5 s while there was
// room, and the next step did not begin in time.
func TestLateBatchWorkTakesKeptRoom(t *testing.T) {
	f := fleet(6)
	u := units(newJob("late", 2, work.Step{Count: 2, Shape: accelerators(1)}))
	for i := range u {
		u[i].Timeliness = schedule.Expired
	}
	require.Len(t, schedule.Decide(f, u, 100*f[0].Capacity.Cores()).Placements, 2)
}

// A gang that fits in no other rack is not kept waiting for urgent work that
// may come.
func TestGangThatCanWaitTakesAnEmptyRack(t *testing.T) {
	f := fleet(12)
	for i := range 9 {
		occupy(f[i], fmt.Sprintf("r%d", i), 1, accelerators(4), 1)
	}
	u := units(newJob("gang", 1, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}))
	u[0].CanWait = true
	require.Len(t, schedule.Decide(f, u, 0).Placements, 3)
}

// Guaranteed work does not wait for a run that was told to stop and does not.
func TestRunWithOverdueStopIsNotWaitedFor(t *testing.T) {
	f := fleet(2)
	occupy(f[0], "stuck", 2, accelerators(8), 1)
	f[0].Runs[0].Stopping, f[0].Runs[0].StopOverdue = true, true
	occupy(f[1], "other", 1, accelerators(8), 100)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, "other", plan.Stops[0].Task.Job)
}

// A guaranteed gang whose time to start runs out is spread rather than made to
// wait for a rack.
func TestGangThatMustStartNowIsSpread(t *testing.T) {
	f := fleet(6)
	for i, w := range f {
		if i%3 != 0 {
			occupy(w, fmt.Sprintf("batch%d", i), 2, accelerators(8), 10)
		}
	}
	u := units(newJob("urgent", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true}))
	u[0].Reserved, u[0].MustStartNow = true, true
	require.Len(t, schedule.Decide(f, u, 0).Placements, 2)
}

// A job with few attempts does not spend them all on workers that fail what
// they start: a task that has failed goes where runs end well, and others go
// to a suspect worker last.
func TestSuspectWorkers(t *testing.T) {
	f := fleet(3)
	f[0].Suspect, f[1].Suspect = true, true
	again := units(newJob("again", 1, work.Step{Count: 2, Shape: accelerators(8)}))
	for _, u := range again {
		u.Failed = true
	}
	plan := schedule.Decide(f, again, 0)
	require.Len(t, plan.Placements, 1)
	require.Equal(t, "w02", plan.Placements[0].Worker)

	first := schedule.Decide(f, units(newJob("first", 1, work.Step{Count: 1, Shape: accelerators(1)})), 0)
	require.Equal(t, "w02", first.Placements[0].Worker)

	f[2].Suspect = true
	require.Len(t, schedule.Decide(f, again, 0).Placements, 2, "if all are suspect, none is avoided for it")
}

// Under more urgent work than the fleet can do, one gang that can no longer be in
// time held up all that could: of 131 urgent jobs 18 were done in time, of which
// most were small.
func TestWorkThatCanBeInTimeGoesFirst(t *testing.T) {
	f := fleet(1)
	late := units(newJob("a-late", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	late[0].Timeliness = schedule.Late
	now := units(newJob("b-now", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	now[0].QueuedSince = time.Unix(100, 0)
	plan := schedule.Decide(f, append(late, now...), 0)
	require.Len(t, plan.Placements, 1)
	require.Equal(t, "b-now", plan.Placements[0].Task.Job)
}

// Nothing is stopped for a job that does not count any more, but for a guarantee.
// One that is late still makes room: on Te Awa grown a gang of 11 whole workers of
// which one run had failed waited for 34 s.
func TestWhatLateWorkStops(t *testing.T) {
	for name, c := range map[string]struct {
		when     schedule.Timeliness
		reserved bool
		late     bool // the run is urgent, and late
		stops    int
	}{
		"late":                {schedule.Late, false, false, 1},
		"late, late work":     {schedule.Late, false, true, 0},
		"expired":             {schedule.Expired, false, false, 0},
		"expired, guaranteed": {schedule.Expired, true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(1)
			occupy(f[0], "run", 2, accelerators(8), 10)
			if c.late {
				f[0].Runs[0].Priority, f[0].Runs[0].Late = 0, true
			}
			u := units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))
			u[0].Timeliness, u[0].Reserved = c.when, c.reserved
			require.Len(t, schedule.Decide(f, u, 0).Stops, c.stops)
		})
	}
}

// A gang that takes the whole fleet lets small work go first that comes soon
// after it, and not what comes later: large gangs have their turn.
func TestSmallUrgentWorkGoesFirstForAWhile(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  string
	}{"soon after": {2 * time.Second, "small"}, "later": {5 * time.Second, "large"}} {
		t.Run(name, func(t *testing.T) {
			large := units(newJob("large", 0, work.Step{Count: 3, Shape: accelerators(8), Gang: true}))
			large[0].FleetTime = 2 * time.Second
			small := units(newJob("small", 0, work.Step{Count: 1, Shape: accelerators(1)}))
			large[0].QueuedSince, small[0].QueuedSince = time.Unix(100, 0), time.Unix(100, 0).Add(c.after)
			plan := schedule.Decide(fleet(3), append(small, large...), 0)
			require.Equal(t, c.want, plan.Placements[0].Task.Job)
		})
	}
}
