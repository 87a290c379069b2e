package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// replayStep is the time between two decisions of a replay, and stopTime how long a stop
// takes.
const (
	replayStep = 100 * time.Millisecond
	stopTime   = 500 * time.Millisecond
)

// replayJob is a job of one step in a replay. Its objective is a multiple of its duration.
type replayJob struct {
	*work.Job
	arrives, duration, objective time.Duration
	runs                         []replayRun // by task
	started                      bool
	end                          time.Duration // when its last task was done; 0 before
}

type replayRun struct {
	worker     int // -1 if there is none
	started    time.Duration
	stopsUntil time.Duration // 0 unless it is being stopped
	done       bool
	preempted  int // earlier runs of the task that were stopped for others
}

// replay applies the decisions for a load to a fleet.
type replay struct {
	workers []*schedule.Worker
	jobs    []*replayJob
	before  bool // order and victims as before the model of delays
	shares  bool // client accounts have equal shares
	stops   int
	stopsOf [3]int           // by priority of the run
	waits   [3]time.Duration // recent mean from arrival to the first start, by priority
	lost    float64          // core-seconds of work of stopped runs
}

// add adds jobs of the account that arrive at an interval.
func (r *replay) add(account string, priority, count int, from, interval, duration time.Duration, slowdown float64, s work.Step) {
	for i := range count {
		j := newJob(fmt.Sprintf("%s-%d-%04d", account, priority, len(r.jobs)), priority, s)
		j.Account = account
		rj := &replayJob{Job: j, arrives: from + time.Duration(i)*interval, duration: duration, objective: time.Duration(slowdown * float64(duration)), runs: make([]replayRun, s.Count)}
		for n := range rj.runs {
			rj.runs[n].worker = -1
		}
		r.jobs = append(r.jobs, rj)
	}
}

func (j *replayJob) step() work.Step { return j.Job.Steps[0] }

func (j *replayJob) work() float64 {
	return float64(j.step().Count) * j.step().Shape.Cores() * j.duration.Seconds()
}

// forecast returns the forecast of the job with the given time left to run.
func (j *replayJob) forecast(remaining, now time.Duration) delay.Forecast {
	return delay.Default().Forecast(delay.Job{
		Priority: j.Priority, Work: j.work(), Remaining: remaining, UntilLate: j.arrives + j.objective - now, UntilExpired: j.arrives + work.ExpiredFactor*j.objective - now, KnownDuration: true,
	})
}

// timeliness is that of the leader.
func (j *replayJob) timeliness(now time.Duration) schedule.Timeliness {
	end, limit, expired := now+j.duration, j.arrives+j.objective, j.arrives+work.ExpiredFactor*j.objective
	switch {
	case end+stopTime+j.duration/5 <= limit:
		return schedule.OnTime
	case end <= limit:
		return schedule.AtRisk
	case end+j.duration <= expired:
		return schedule.Late
	case end <= expired:
		return schedule.Expiring
	default:
		return schedule.Expired
	}
}

// run replays the load until the given time.
func (r *replay) run(until time.Duration) {
	for now := time.Duration(0); now < until; now += replayStep {
		r.finish(now)
		plan := schedule.Decide(r.fleet(now), r.units(now), 0)
		for _, p := range plan.Placements {
			j := r.job(p.Task.Job)
			run := &j.runs[p.Task.Index]
			if !j.started {
				j.started = true
				r.waits[j.Priority] += (now - j.arrives - r.waits[j.Priority]) / 20
			}
			run.worker, run.started = r.workerIndex(p.Worker), now
		}
		for _, stop := range plan.Stops {
			j := r.job(stop.Task.Job)
			run := &j.runs[stop.Task.Index]
			run.stopsUntil = now + stopTime
			run.preempted++
			r.stops++
			r.stopsOf[j.Priority]++
			r.lost += j.step().Shape.Cores() * (now - run.started).Seconds()
		}
	}
}

func (r *replay) job(id string) *replayJob {
	for _, j := range r.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

func (r *replay) workerIndex(id string) int {
	for i, w := range r.workers {
		if w.ID == id {
			return i
		}
	}
	return -1
}

// finish ends the runs that are done or stopped.
func (r *replay) finish(now time.Duration) {
	for _, j := range r.jobs {
		done := 0
		for n := range j.runs {
			run := &j.runs[n]
			switch {
			case run.worker >= 0 && run.stopsUntil > 0 && now >= run.stopsUntil:
				run.worker, run.stopsUntil = -1, 0
			case run.worker >= 0 && run.stopsUntil == 0 && now >= run.started+j.duration:
				run.worker, run.done = -1, true
			}
			if run.done {
				done++
			}
		}
		if done == len(j.runs) && j.end == 0 {
			j.end = now
		}
	}
}

// fleet returns the workers with their runs.
func (r *replay) fleet(now time.Duration) []*schedule.Worker {
	fleet := make([]*schedule.Worker, len(r.workers))
	for i, w := range r.workers {
		c := *w
		fleet[i] = &c
	}
	for _, j := range r.jobs {
		for n, run := range j.runs {
			if run.worker < 0 {
				continue
			}
			left := run.started + j.duration - now
			s := schedule.Run{
				Key: work.RunKey{Task: work.TaskKey{Job: j.ID, Index: n}, Run: 1}, Demand: j.step().Shape, MilliCPU: j.step().Shape.MilliCPU, Priority: j.Priority,
				Stopping: run.stopsUntil > 0, EndsSoon: left <= stopTime, EndsIn: left, Preempted: run.preempted,
				Late: j.Priority == 0 && run.started+j.duration > j.arrives+j.objective,
			}
			if j.step().Gang {
				s.Gang = j.ID
			}
			s.Cost = r.stopCost(j, run, &s, now)
			fleet[run.worker].Runs = append(fleet[run.worker].Runs, s)
		}
	}
	return fleet
}

func (r *replay) stopCost(j *replayJob, run replayRun, s *schedule.Run, now time.Duration) float64 {
	lost := j.step().Shape.Cores() * (now - run.started).Seconds()
	if r.before {
		switch {
		case j.Priority > 0:
			return lost + 1
		case s.Late:
			return lost + 1 + 200
		default:
			return lost + 1 + 1000
		}
	}
	stop := delay.Stop{Running: j.forecast(s.EndsIn, now), Restarted: j.duration, Wait: stopTime + r.waits[j.Priority], Work: lost, Earlier: float64(run.preempted)}
	if j.step().Gang {
		stop.Running = stop.Running.Share(j.step().Count)
	} else {
		stop.Running = stop.Running.ForOneOf(j.step().Count)
	}
	return delay.Default().CostOfStop(stop)
}

// units returns the waiting units.
func (r *replay) units(now time.Duration) []*schedule.Unit {
	var all []*schedule.Unit
	for _, j := range r.jobs {
		if now < j.arrives || j.end > 0 {
			continue
		}
		var waiting []int
		for n, run := range j.runs {
			if run.worker < 0 && !run.done {
				waiting = append(waiting, n)
			}
		}
		if len(waiting) == 0 || (j.step().Gang && len(waiting) < len(j.runs)) {
			continue
		}
		u := schedule.Unit{
			Job: j.Job, QueuedSince: time.Unix(0, 0).Add(j.arrives), Deadline: time.Unix(0, 0).Add(j.arrives + j.objective),
			Timeliness: j.timeliness(now), TasksByWorker: make(map[string]int),
		}
		if r.before {
			u.Timeliness = orderBefore(j.Priority, u.Timeliness)
		} else {
			u.Waited = now - j.arrives
			u.Duration, u.StopTime, u.Forecast = j.duration, stopTime, j.forecast(j.duration, now)
			u.Density = u.Forecast.Density(j.work())
		}
		if j.step().Gang {
			u.Indexes = waiting
			all = append(all, &u)
			continue
		}
		u.Forecast = u.Forecast.Share(len(waiting))
		for _, n := range waiting {
			single := u
			single.Indexes = []int{n}
			all = append(all, &single)
		}
	}
	if r.shares {
		r.addShares(all)
	}
	return all
}

// addShares gives equal shares to the accounts of all jobs.
func (r *replay) addShares(units []*schedule.Unit) {
	var capacity work.Shape
	for _, w := range r.workers {
		capacity = capacity.Add(w.Capacity)
	}
	shares := make(map[string]*schedule.Share)
	for _, j := range r.jobs {
		if shares[j.Account] == nil {
			shares[j.Account] = &schedule.Share{Capacity: capacity}
		}
		for _, run := range j.runs {
			if run.worker >= 0 {
				shares[j.Account].Used = shares[j.Account].Used.Add(j.step().Shape)
			}
		}
	}
	for _, s := range shares {
		s.Part = 1 / float64(len(shares))
	}
	for _, u := range units {
		u.Share = shares[u.Job.Account]
	}
}

// orderBefore returns the class that gives the order before the model of delays, in which
// batch work at risk came after that on time, and all late work was of one class.
func orderBefore(priority int, c schedule.Timeliness) schedule.Timeliness {
	switch {
	case c == schedule.AtRisk && priority > 0:
		return schedule.Expiring
	case c == schedule.Expiring:
		return schedule.Late
	default:
		return c
	}
}

// result is what the jobs of a replay were worth to their callers.
type result struct {
	value                   float64 // served value, by the default model; jobs that are not served count negative
	inTime, late, notServed int
}

// result returns the result for the jobs of an account, or of all if it is empty, and of a
// priority, or of all if it is negative. Jobs that had no time to expire count if they are
// done.
func (r *replay) result(account string, priority int) result {
	var s result
	m := delay.Default()
	for _, j := range r.jobs {
		if (account != "" && j.Account != account) || (priority >= 0 && j.Priority != priority) {
			continue
		}
		value := m.Value(j.Priority, j.work())
		switch took := j.end - j.arrives; {
		case j.end > 0 && took <= j.objective:
			s.inTime++
			s.value += value
		case j.end > 0 && took <= work.ExpiredFactor*j.objective:
			s.late++
			s.value += (1 - m.LateLoss) * value
		default:
			s.notServed++
			s.value += (1 - m.ExpiredLoss) * value
		}
	}
	return s
}

// compare replays a load with the order before and with the present one.
func compare(t *testing.T, until time.Duration, load func(r *replay)) (before, after *replay) {
	before, after = &replay{before: true}, &replay{}
	for name, r := range map[string]*replay{"before": before, "after": after} {
		load(r)
		r.run(until)
		for priority := range 3 {
			t.Logf("%s: priority %d: %+v, stops %d, lost %.0f core-seconds", name, priority, r.result("", priority), r.stops, r.lost)
		}
	}
	return before, after
}

// Guards against gangs of priority 1 that starve in a full fleet, because single tasks of
// priority 2 take each part of a rack that becomes free.
func TestReplayGangAndStreamOfSingleTasks(t *testing.T) {
	before, after := compare(t, 120*time.Second, func(r *replay) {
		r.workers = fleet(6)
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 110 {
			d := 3*time.Second + time.Duration(random.IntN(4000))*time.Millisecond
			r.add("stream", 2, 1, time.Duration(i)*500*time.Millisecond, 0, d.Round(replayStep), 4, work.Step{Count: 4, Shape: accelerators(1)})
		}
		r.add("gangs", 1, 8, 5*time.Second, 8*time.Second, 6*time.Second, 3, work.Step{Count: 3, Shape: accelerators(6), Gang: true, SameRack: true})
	})
	require.Greater(t, after.result("", 1).inTime, before.result("", 1).inTime)
	require.Zero(t, after.result("", -1).notServed)
	require.Greater(t, after.result("", -1).value, before.result("", -1).value)
}

// Guards against a burst of urgent jobs with slack that stops batch runs although others
// end in time.
func TestReplayBurstOfUrgentJobsWithSlack(t *testing.T) {
	before, after := compare(t, 60*time.Second, func(r *replay) {
		r.workers = fleet(6)
		random := rand.New(rand.NewPCG(3, 4))
		for i := range 60 {
			d := 2*time.Second + time.Duration(random.IntN(2000))*time.Millisecond
			r.add("batch", 2, 1, time.Duration(i)*450*time.Millisecond, 0, d.Round(replayStep), 6, work.Step{Count: 5, Shape: accelerators(2)})
		}
		r.add("urgent", 0, 12, 8*time.Second, 400*time.Millisecond, 2*time.Second, 3, work.Step{Count: 2, Shape: accelerators(4), Gang: true})
	})
	require.Less(t, after.stops, before.stops)
	require.GreaterOrEqual(t, after.result("", 0).inTime, before.result("", 0).inTime)
	require.GreaterOrEqual(t, after.result("", -1).value, before.result("", -1).value)
}

// Guards against late jobs that run in the order of their deadlines while others expire:
// in an overload, each job that can still be served is.
func TestReplayJobsNearTheirExpiry(t *testing.T) {
	before, after := compare(t, 100*time.Second, func(r *replay) {
		r.workers = fleet(1)
		r.add("long", 1, 10, 0, 100*time.Millisecond, 4*time.Second, 3, work.Step{Count: 1, Shape: accelerators(8)})
		r.add("short", 1, 12, 9*time.Second, 200*time.Millisecond, time.Second, 4, work.Step{Count: 1, Shape: accelerators(8)})
	})
	require.Less(t, after.result("", -1).notServed, before.result("", -1).notServed)
	require.Greater(t, after.result("", -1).value, before.result("", -1).value)
}

// Guards against the load of one account, ten times that of another one, that makes the
// jobs of the other one late.
func TestReplayTwoAccounts(t *testing.T) {
	before, after := compare(t, 120*time.Second, func(r *replay) {
		r.workers = fleet(3)
		r.shares = !r.before
		r.add("large", 1, 100, 0, 300*time.Millisecond, 4*time.Second, 3, work.Step{Count: 1, Shape: accelerators(4)})
		r.add("small", 1, 10, time.Second, 3*time.Second, 4*time.Second, 3, work.Step{Count: 1, Shape: accelerators(4)})
	})
	require.Greater(t, after.result("small", 1).inTime, before.result("small", 1).inTime)
	require.Equal(t, 10, after.result("small", 1).inTime)
	require.Greater(t, after.result("", -1).value, 0.95*before.result("", -1).value, "the share of the small account costs others little")
}
