package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// fleet returns n schedulable workers with 8 accelerators and 32 cores each, three per
// rack.
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

// newJob returns a job with one step.
func newJob(id string, priority int, s work.Step) *work.Job {
	return &work.Job{ID: id, Service: "s", Priority: priority, MaxAttempts: 3, Steps: []work.Step{s}}
}

// units returns the units of a job with one step, none of whose tasks has started.
func units(j *work.Job) []*schedule.Unit {
	tasksByWorker := make(map[string]int)
	s := j.Steps[0]
	var all []*schedule.Unit
	for i := range s.Count {
		all = append(all, &schedule.Unit{Job: j, Indexes: []int{i}, TasksByWorker: tasksByWorker, Deadline: time.Unix(0, 0)})
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

// Guards against exceeding MaxPerWorker when several tasks of a step are placed in one
// pass.
func TestMaxPerWorkerWithinOnePass(t *testing.T) {
	j := newJob("j", 2, work.Step{Count: 8, Shape: accelerators(0), MaxPerWorker: 2})
	plan := schedule.Decide(fleet(3), units(j), 0)
	perWorker := make(map[string]int)
	for _, p := range plan.Placements {
		perWorker[p.Worker]++
	}
	require.Len(t, plan.Placements, 6)
	for w, n := range perWorker {
		require.LessOrEqual(t, n, 2, w)
	}
}

// addRun adds a run to a worker, of which a stop loses some core-seconds of work. The job
// of an urgent run has no slack for a second start.
func addRun(w *schedule.Worker, id string, priority int, demand work.Shape, lostWork float64) {
	stop := delay.Stop{Work: lostWork}
	if priority == 0 {
		stop.Running = delay.Default().Forecast(delay.Job{Remaining: time.Second, UntilLate: 1500 * time.Millisecond, UntilExpired: 4500 * time.Millisecond, KnownDuration: true})
		stop.Restarted, stop.Wait = time.Second, time.Second
	}
	w.Runs = append(w.Runs, schedule.Run{
		Key: work.RunKey{Task: work.TaskKey{Job: id}, Run: 1}, Demand: demand, Priority: priority, Cost: delay.Default().CostOfStop(stop),
	})
}

// placementsByRack returns the number of placements in each rack.
func placementsByRack(f []*schedule.Worker, plan schedule.Plan) map[string]int {
	rackOf := make(map[string]string)
	for _, w := range f {
		rackOf[w.ID] = w.Rack
	}
	perRack := make(map[string]int)
	for _, p := range plan.Placements {
		perRack[rackOf[p.Worker]]++
	}
	return perRack
}

// Guards against spreading an urgent gang over free workers in several racks, where it
// takes three times as long, when preemption in one rack can make it fit there.
func TestUrgentGangPreemptsWithinARackBeforeSpreading(t *testing.T) {
	f := fleet(6)
	for i, w := range f {
		if i%3 != 0 { // one worker of each rack is free
			addRun(w, fmt.Sprintf("batch%d", i), 2, accelerators(8), 10)
		}
	}
	j := newJob("urgent", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true})
	plan := schedule.Decide(f, units(j), 0)
	require.Empty(t, plan.Placements)
	require.Len(t, plan.Stops, 1, "one worker in addition to the free one is enough")
}

// Guards against a gang that no rack could hold waiting for one rack.
func TestGangLargerThanARackIsSpread(t *testing.T) {
	f := fleet(6)
	j := newJob("wide", 1, work.Step{Count: 5, Shape: accelerators(8), Gang: true, SameRack: true})
	plan := schedule.Decide(f, units(j), 0)
	require.Len(t, plan.Placements, 5)
	require.Len(t, placementsByRack(f, plan), 2)
}

// Guards against choosing the victim by priority among runs that are not urgent: the
// one that loses least work is stopped.
func TestPreemptsRunThatLosesLeastWork(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "unsaved", 2, accelerators(8), 500)
	addRun(f[1], "saved", 1, accelerators(8), 20)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, work.RunKey{Task: work.TaskKey{Job: "saved"}, Run: 1}, plan.Stops[0].RunKey)
}

// Guards against preemption for an urgent job when a run ends by itself no later than
// a victim could be stopped.
func TestNoPreemptionIfRunEndsSoon(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "ending", 1, accelerators(8), 500)
	f[0].Runs[0].EndsSoon = true
	addRun(f[1], "young", 2, accelerators(8), 1)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Empty(t, plan.Stops)
	require.Empty(t, plan.Placements)
}

// Guards against counting on the capacity of a gang member that has finished its part:
// it is held until the slowest member ends.
func TestGangEndsWithItsSlowestMember(t *testing.T) {
	f := fleet(2)
	for _, w := range f {
		addRun(w, "gang", 1, accelerators(8), 50)
		w.Runs[0].Gang = "gang"
	}
	f[0].Runs[0].EndsSoon = true
	u := units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	require.Len(t, schedule.Decide(f, u, 0).Stops, 2)
}

// Guards against preempting runs within a guarantee, and against preempting other
// urgent runs for a unit within a guarantee before that is at risk of being late: until
// then the run may end by itself, so that both can meet their deadlines.
func TestGuaranteedCapacityIsReclaimed(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "reserved", 0, accelerators(8), 1)
	f[0].Runs[0].Guaranteed = true
	addRun(f[1], "borrowed", 0, accelerators(8), 100)
	j := newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})
	require.Empty(t, schedule.Decide(f, units(j), 0).Stops)
	for name, c := range map[string]struct {
		timeliness   schedule.Timeliness
		mustStartNow bool
		stops        int
	}{"has slack": {schedule.OnTime, false, 0}, "at risk of being late": {schedule.AtRisk, false, 1}, "must start now": {schedule.OnTime, true, 1}, "already late": {schedule.Late, false, 1}} {
		t.Run(name, func(t *testing.T) {
			u := units(j)
			u[0].Guaranteed, u[0].Timeliness, u[0].MustStartNow = true, c.timeliness, c.mustStartNow
			f[1].Runs[0].Stopping = false
			plan := schedule.Decide(f, u, 0)
			require.Len(t, plan.Stops, c.stops)
			if c.stops > 0 {
				require.Equal(t, "borrowed", plan.Stops[0].Task.Job)
			}
		})
	}
}

// Guards against late urgent runs that fill most of the fleet under overload: they are
// preempted for urgent units that can still meet their deadlines.
func TestLateRunIsPreempted(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "late", 0, accelerators(8), 500)
	f[0].Runs[0].Late = true
	addRun(f[1], "urgent", 0, accelerators(8), 1)
	plan := schedule.Decide(f, units(newJob("next", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, "late", plan.Stops[0].Task.Job)
}

// Guards against preempting an urgent run that has just started, and would miss its
// deadline, for a guarantee when a batch run could be stopped. The batch run is the
// victim even if more work is lost.
func TestGuaranteePreemptsBatchRunBeforeUrgentRun(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "urgent", 0, accelerators(8), 1)
	addRun(f[1], "batch", 2, accelerators(8), 500)
	guaranteed := units(newJob("guaranteed", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	guaranteed[0].Guaranteed = true
	require.Equal(t, "batch", schedule.Decide(f, guaranteed, 0).Stops[0].Task.Job)
}

// Guards against backfilling capacity that is reserved for an urgent unit with small
// tasks of lower priority.
func TestReservedCapacityIsNotBackfilled(t *testing.T) {
	f := fleet(1)
	addRun(f[0], "stopping", 2, accelerators(4), 1)
	f[0].Runs[0].Stopping = true
	all := append(units(newJob("small", 2, work.Step{Count: 4, Shape: accelerators(1)})),
		units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))...)
	require.Empty(t, schedule.Decide(f, all, 0).Placements)
}

// Guards against expired units going before others of the same priority.
func TestExpiredUnitsComeLast(t *testing.T) {
	f := fleet(1)
	expired := units(newJob("a-late", 1, work.Step{Count: 1, Shape: accelerators(8)}))
	expired[0].Timeliness = schedule.Expired
	onTime := units(newJob("b-now", 1, work.Step{Count: 1, Shape: accelerators(8)}))
	onTime[0].Deadline = time.Unix(100, 0)
	plan := schedule.Decide(f, append(expired, onTime...), 0)
	require.Equal(t, "b-now", plan.Placements[0].Task.Job)
}

// Guards against an urgent job taking capacity that was preempted for an earlier one
// because its deadline is earlier: each would have runs stopped and then wait for them
// to end.
func TestUrgentUnitsAreOrderedByArrival(t *testing.T) {
	f := fleet(1)
	first := units(newJob("first", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	first[0].QueuedSince, first[0].Deadline = time.Unix(1, 0), time.Unix(100, 0)
	second := units(newJob("second", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	second[0].QueuedSince, second[0].Deadline = time.Unix(2, 0), time.Unix(50, 0)
	require.Equal(t, "first", schedule.Decide(f, append(second, first...), 0).Placements[0].Task.Job)
}

// Guards against deferrable units occupying the emptiest racks, so that urgent gangs
// have to wait for preemption. Units that are no longer deferrable use these racks.
func TestDeferrableUnitsLeaveRacksFree(t *testing.T) {
	f := fleet(24)
	deferrable := units(newJob("patient", 2, work.Step{Count: 24, Shape: accelerators(8)}))
	for _, u := range deferrable {
		u.Deferrable = true
	}
	plan := schedule.Decide(f, deferrable, 0)
	require.Len(t, plan.Placements, 21)
	require.Len(t, placementsByRack(f, plan), 7)
	for _, u := range deferrable {
		u.Deferrable, u.TasksByWorker = false, make(map[string]int)
	}
	require.Len(t, schedule.Decide(fleet(24), deferrable, 0).Placements, 24)
}

// Guards against deferrable units using the capacity that the next urgent jobs of a
// burst need: they would be preempted before they complete.
func TestDeferrableUnitsLeaveUrgentReserveFree(t *testing.T) {
	f := fleet(6)
	addRun(f[0], "urgent", 0, accelerators(4), 1)
	deferrable := units(newJob("patient", 2, work.Step{Count: 40, Shape: accelerators(1)}))
	for _, u := range deferrable {
		u.Deferrable = true
	}
	urgentReserve := 4 * f[0].Capacity.Cores()
	plan := schedule.Decide(f, deferrable, urgentReserve)
	require.Len(t, plan.Placements, 12, "the free half of one worker and all of another")
	urgent := units(newJob("next", 0, work.Step{Count: 4, Shape: accelerators(8), Gang: true}))
	for _, u := range deferrable {
		u.TasksByWorker = make(map[string]int)
	}
	require.Equal(t, "next", schedule.Decide(f, slices.Concat(deferrable, urgent), urgentReserve).Placements[3].Task.Job)
	for _, u := range deferrable {
		u.Deferrable, u.TasksByWorker = false, make(map[string]int)
	}
	require.Len(t, schedule.Decide(f, deferrable, urgentReserve).Placements, 40, "units that are no longer deferrable use the reserve")
}

// Guards against deferrable gangs occupying the racks that the next urgent gangs of a
// burst need: each of these waited for a preemption, and the stopped gangs lost their
// work. The load is a queue of batch gangs in a fleet that urgent work has just left.
func TestDeferrableGangsLeaveUrgentReserveFree(t *testing.T) {
	f := fleet(24)
	var batch []*schedule.Unit
	for i := range 10 {
		u := units(newJob(fmt.Sprintf("batch%d", i), 1, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}))
		u[0].Deferrable = true
		batch = append(batch, u...)
	}
	plan := schedule.Decide(f, batch, 3*f[0].Capacity.Cores())
	require.Len(t, placementsByRack(f, plan), 7, "one of eight racks stays free")
	for _, p := range plan.Placements {
		addRun(f[slices.IndexFunc(f, func(w *schedule.Worker) bool { return w.ID == p.Worker })], p.Task.Job, 1, accelerators(8), 1)
	}
	urgent := units(newJob("urgent", 0, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}))
	plan = schedule.Decide(f, urgent, 0)
	require.Len(t, plan.Placements, 3)
	require.Empty(t, plan.Stops)
}

// Guards against deferrable gangs that start nowhere because a burst needs most of the
// fleet: of a reserve of the whole fleet, gangs leave one rack in six free.
func TestReserveFromGangsIsLimited(t *testing.T) {
	for workers, want := range map[int]int{12: 4, 18: 5, 36: 10} {
		f := fleet(workers)
		var gangs []*schedule.Unit
		for i := range workers / 3 {
			u := units(newJob(fmt.Sprintf("gang%02d", i), 1, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}))
			u[0].Deferrable = true
			gangs = append(gangs, u...)
		}
		plan := schedule.Decide(f, gangs, float64(workers)*f[0].Capacity.Cores())
		require.Len(t, placementsByRack(f, plan), want, "%d workers", workers)
	}
}

// Guards against batch units that can no longer wait being kept from the free urgent
// reserve, which delays the steps that depend on them: one task waited for 5.5 s.
func TestBatchUnitsThatCannotWaitUseUrgentReserve(t *testing.T) {
	f := fleet(6)
	u := units(newJob("late", 2, work.Step{Count: 2, Shape: accelerators(1)}))
	for i := range u {
		u[i].Timeliness = schedule.Expired
	}
	require.Len(t, schedule.Decide(f, u, 100*f[0].Capacity.Cores()).Placements, 2)
}

// Guards against a deferrable gang that does not start although one rack is empty and
// holds it.
func TestDeferrableGangUsesAnEmptyRack(t *testing.T) {
	f := fleet(12)
	for i := range 9 {
		addRun(f[i], fmt.Sprintf("r%d", i), 1, accelerators(4), 1)
	}
	u := units(newJob("gang", 1, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}))
	u[0].Deferrable = true
	require.Len(t, schedule.Decide(f, u, 0).Placements, 3)
}

// Guards against an urgent unit waiting for the capacity of a run that was told to stop
// and has not ended: another run is preempted.
func TestCapacityOfOverdueStopIsNotExpected(t *testing.T) {
	f := fleet(2)
	addRun(f[0], "stuck", 2, accelerators(8), 1)
	f[0].Runs[0].Stopping, f[0].Runs[0].StopOverdue = true, true
	addRun(f[1], "other", 1, accelerators(8), 100)
	plan := schedule.Decide(f, units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 0)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, "other", plan.Stops[0].Task.Job)
}

// Guards against a gang within a guarantee missing its start time because it waits for
// one rack: it is spread instead.
func TestGangThatMustStartNowIsSpread(t *testing.T) {
	f := fleet(6)
	for i, w := range f {
		if i%3 != 0 {
			addRun(w, fmt.Sprintf("batch%d", i), 2, accelerators(8), 10)
		}
	}
	u := units(newJob("urgent", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true}))
	u[0].Guaranteed, u[0].MustStartNow = true, true
	require.Len(t, schedule.Decide(f, u, 0).Placements, 2)
}

// Guards against a job using up its attempts on workers where runs fail: a task that
// has failed avoids suspect workers, and other tasks use them last.
func TestSuspectWorkersAreAvoided(t *testing.T) {
	f := fleet(3)
	f[0].Suspect, f[1].Suspect = true, true
	retried := units(newJob("again", 1, work.Step{Count: 2, Shape: accelerators(8)}))
	for _, u := range retried {
		u.Failed = true
	}
	plan := schedule.Decide(f, retried, 0)
	require.Len(t, plan.Placements, 1)
	require.Equal(t, "w02", plan.Placements[0].Worker)

	first := schedule.Decide(f, units(newJob("first", 1, work.Step{Count: 1, Shape: accelerators(1)})), 0)
	require.Equal(t, "w02", first.Placements[0].Worker)

	f[2].Suspect = true
	require.Len(t, schedule.Decide(f, retried, 0).Placements, 2, "if all workers are suspect, all are used")
}

// Guards against a late unit that goes before urgent units that could still meet their
// deadlines, so that under overload nearly all become late: only 18 of 131 were on time.
func TestOnTimeUnitsPrecedeLateUnits(t *testing.T) {
	f := fleet(1)
	late := units(newJob("a-late", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	late[0].Timeliness = schedule.Late
	onTime := units(newJob("b-now", 0, work.Step{Count: 1, Shape: accelerators(8)}))
	onTime[0].QueuedSince = time.Unix(100, 0)
	plan := schedule.Decide(f, append(late, onTime...), 0)
	require.Len(t, plan.Placements, 1)
	require.Equal(t, "b-now", plan.Placements[0].Task.Job)
}

// Guards against preemption for expired units that are not within a guarantee, and
// against late units that cannot preempt: a gang of 11 whole workers then waited for 34
// s.
func TestPreemptionByLateAndExpiredUnits(t *testing.T) {
	for name, c := range map[string]struct {
		timeliness schedule.Timeliness
		guaranteed bool
		runLate    bool // the run is urgent and late
		stops      int
	}{
		"late":                {schedule.Late, false, false, 1},
		"late, run late too":  {schedule.Late, false, true, 0},
		"expired":             {schedule.Expired, false, false, 0},
		"expired, guaranteed": {schedule.Expired, true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(1)
			addRun(f[0], "run", 2, accelerators(8), 10)
			if c.runLate {
				f[0].Runs[0].Priority, f[0].Runs[0].Late = 0, true
			}
			u := units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))
			u[0].Timeliness, u[0].Guaranteed = c.timeliness, c.guaranteed
			require.Len(t, schedule.Decide(f, u, 0).Stops, c.stops)
		})
	}
}

// Guards against small urgent units waiting behind a gang that needs the whole fleet, and
// against starvation of the gang: small units go first only if they arrive within a
// bounded delay after it.
func TestSmallUrgentUnitPrecedesLargeOneWithinDelay(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  string
	}{"within delay": {2 * time.Second, "small"}, "later": {5 * time.Second, "large"}} {
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
