package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	decisionInterval = 100 * time.Millisecond
	stopGrace        = 400 * time.Millisecond
	// minUrgentSpeed is about the speed that urgent jobs need if they start at once.
	minUrgentSpeed = 0.77
)

// loadedJob is a job of one step in the simulation of a site's load.
type loadedJob struct {
	job       *work.Job
	arrives   time.Time
	duration  time.Duration // of its tasks on a worker of speed 1
	objective time.Duration // by the longest task
	units     []*loadedUnit
	ended     time.Time
}

// loadedUnit is a gang or a single task of a job.
type loadedUnit struct {
	job     *loadedJob
	indexes []int
	work    float64 // relative to the mean of the step
	runs    []*loadedRun
	done    bool
}

// loadedRun is a run on a worker. The members of a gang end together.
type loadedRun struct {
	unit     *loadedUnit
	key      work.RunKey
	worker   string
	started  time.Time
	done     float64   // percent
	stopping time.Time // zero unless it is being stopped
	sampler  speed.Sampler
}

// site simulates placement on workers of unequal speed, with the rules of the leader for
// the speed that a unit needs.
type site struct {
	random  *rand.Rand
	now     time.Time
	speeds  map[string]float64
	ids     []string
	jobs    []*loadedJob
	est     *speed.Estimator
	useful  bool // speeds are used
	urgent  schedule.UrgentUse
	stopped int
}

// newSite returns the load of 60 s: urgent gangs in bursts, gangs in one rack, and wide
// batch jobs, as at a builders' merchant with 66 workers, a third of them slow.
func newSite(seed uint64, useful bool) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), speeds: make(map[string]float64), est: speed.NewEstimator(), useful: useful}
	for i := range 66 {
		id := name(i)
		s.ids, s.speeds[id] = append(s.ids, id), 1.43
	}
	for _, i := range s.random.Perm(66)[:22] {
		s.speeds[name(i)] = 0.59
	}
	add := func(priority int, at float64, step work.Step, d, base time.Duration, factor float64) {
		d = time.Duration(float64(d) * math.Exp(0.3*s.random.NormFloat64()))
		j := &loadedJob{
			job:     &work.Job{ID: fmt.Sprintf("p%d-%d", priority, len(s.jobs)), Service: "s", Priority: priority, MaxSlowdown: factor, Objective: base, Steps: []work.Step{step}},
			arrives: s.now.Add(time.Duration(at * float64(time.Second))), duration: d, objective: time.Duration(factor*float64(d)) + base,
		}
		for i := range step.Count {
			if step.Gang && i > 0 {
				j.units[0].indexes = append(j.units[0].indexes, i)
				continue
			}
			u := &loadedUnit{job: j, indexes: []int{i}, work: 1}
			if !step.Gang {
				u.work = math.Exp(0.3 * s.random.NormFloat64())
			}
			j.units = append(j.units, u)
			j.objective = max(j.objective, time.Duration(factor*u.work*float64(d))+base)
		}
		s.jobs = append(s.jobs, j)
	}
	shape := func(cores, accelerators int64) work.Shape {
		return work.Shape{MilliCPU: 1000 * cores, MemoryMB: 1000, Accelerators: accelerators}
	}
	accelerators := func() int64 { return []int64{1, 2, 4, 8}[s.random.IntN(4)] }
	for at := 0.0; at < 60; at += s.random.ExpFloat64() / 0.282 {
		add(2, at, work.Step{Count: 39, Shape: shape(6, 1)}, 6500*time.Millisecond, 3*time.Second, 3)
	}
	for at := 0.0; at < 60; at += s.random.ExpFloat64() / 0.545 {
		add(1, at, work.Step{Count: 4 + s.random.IntN(7), Shape: shape(26, min(4, accelerators())), Gang: true, SameRack: true}, 7200*time.Millisecond, time.Second, 3)
	}
	for burst := 8.0; burst < 60; burst += 12 {
		for at := burst; at < burst+6; at += s.random.ExpFloat64() / 2.4 {
			add(0, at, work.Step{Count: 3 + s.random.IntN(5), Shape: shape(8, accelerators()), Gang: true}, 2100*time.Millisecond, 250*time.Millisecond, 1.5)
		}
	}
	slices.SortStableFunc(s.jobs, func(a, b *loadedJob) int { return a.arrives.Compare(b.arrives) })
	return s
}

// minSpeed returns the speed that a job needs if it starts after a delay.
func (s *site) minSpeed(j *loadedJob, delay time.Duration) float64 {
	left := j.objective - s.now.Sub(j.arrives) - delay - 150*time.Millisecond
	if left <= 0 {
		return math.Inf(1)
	}
	return 1.2 * float64(j.duration) / float64(left)
}

// fleet returns the workers with their runs.
func (s *site) fleet() []*schedule.Worker {
	var fleet []*schedule.Worker
	runs := make(map[string][]schedule.Run)
	for _, j := range s.jobs {
		for _, u := range j.units {
			for _, r := range u.runs {
				step := j.job.Steps[0]
				run := schedule.Run{
					Key: r.key, Demand: step.Shape, MilliCPU: step.Shape.MilliCPU, Priority: j.job.Priority, Stopping: !r.stopping.IsZero(),
					Cost: step.Shape.Cores() * s.now.Sub(r.started).Seconds(),
				}
				remaining := (100 - r.done) / 100 * j.duration.Seconds() * u.work / s.speeds[r.worker]
				run.EndsSoon = r.done > 3 && remaining < stopGrace.Seconds()
				if step.Gang {
					run.Gang = j.job.ID
				}
				runs[r.worker] = append(runs[r.worker], run)
			}
		}
	}
	slowest := 1.0
	for i, id := range s.ids {
		w := &schedule.Worker{ID: id, Service: "s", Rack: fmt.Sprint("r", i/8), Schedulable: true, Capacity: work.Shape{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}, Runs: runs[id]}
		if s.useful {
			w.Speed = s.est.Speed(id)
			w.Slow, w.Unproven = w.Speed < minUrgentSpeed, !s.est.IsKnown(id)
			slowest = min(slowest, w.Speed)
		}
		fleet = append(fleet, w)
	}
	if slowest >= minUrgentSpeed || !s.est.IsMixed("s") {
		for _, w := range fleet {
			w.Unproven = false
		}
	}
	return fleet
}

func (s *site) decide() {
	var units []*schedule.Unit
	waiting := make(map[string][]*loadedUnit)
	fleet := s.fleet()
	slowest, fastest := math.Inf(1), 0.0
	for _, w := range fleet {
		slowest, fastest = min(slowest, w.Speed), max(fastest, w.Speed)
	}
	var urgentCores float64
	for _, j := range s.jobs {
		if j.arrives.After(s.now) || !j.ended.IsZero() {
			continue
		}
		tasks := make(map[string]int)
		for _, u := range j.units {
			if j.job.Priority == 0 {
				urgentCores += j.job.Steps[0].Shape.Cores() * float64(len(u.indexes))
			}
			if u.done || len(u.runs) > 0 {
				continue
			}
			unit := &schedule.Unit{
				Job: j.job, Indexes: u.indexes, QueuedSince: j.arrives, Deadline: j.arrives.Add(j.objective), TasksByWorker: tasks,
				Deferrable: j.job.Priority > 0 && s.now.Add(j.duration*5/4).Before(j.arrives.Add(j.objective)),
			}
			if v := s.minSpeed(j, 0); s.useful && v > slowest && v <= fastest {
				unit.MinSpeed = v
				if v := s.minSpeed(j, stopGrace); v <= fastest {
					unit.MinSpeedAfterStop = v
				}
			}
			units = append(units, unit)
			waiting[j.job.ID] = append(waiting[j.job.ID], u)
		}
	}
	s.urgent.Observe(urgentCores, s.now)
	s.apply(schedule.Decide(fleet, units, s.urgent.Expected()), waiting)
}

func (s *site) apply(plan schedule.Plan, waiting map[string][]*loadedUnit) {
	for _, p := range plan.Placements {
		for _, u := range waiting[p.Task.Job] {
			if slices.Contains(u.indexes, p.Task.Index) {
				u.runs = append(u.runs, &loadedRun{unit: u, key: work.RunKey{Task: p.Task, Run: 1}, worker: p.Worker, started: s.now})
			}
		}
	}
	for _, stop := range plan.Stops {
		for _, j := range s.jobs {
			for _, u := range j.units {
				for _, r := range u.runs {
					if r.key == stop.RunKey {
						r.stopping = s.now
						s.stopped++
					}
				}
			}
		}
	}
}

// advance advances the runs by one interval and reports their progress.
func (s *site) advance() {
	s.now = s.now.Add(decisionInterval)
	for _, j := range s.jobs {
		done := true
		for _, u := range j.units {
			s.advanceUnit(u)
			done = done && u.done
		}
		if done && j.ended.IsZero() {
			j.ended = s.now
		}
	}
	s.est.Update(s.now)
}

func (s *site) advanceUnit(u *loadedUnit) {
	finished := len(u.runs) > 0
	for _, r := range u.runs {
		if !r.stopping.IsZero() && s.now.Sub(r.stopping) >= stopGrace {
			u.runs = nil
			return
		}
		r.done = min(100, r.done+100*decisionInterval.Seconds()*s.speeds[r.worker]/(u.job.duration.Seconds()*u.work))
		finished = finished && r.done >= 100
		// The percentage changes about once a second.
		if age := s.now.Sub(r.started).Round(decisionInterval); age%time.Second == 0 {
			if sample, ok := r.sampler.Observe(int(r.done), s.now); ok {
				gang := u.job.job.Steps[0].Gang
				sample.Worker, sample.Service, sample.Group, sample.Even = r.worker, "s", speed.Group{Job: u.job.job.ID}, gang
				s.est.Observe(sample)
			}
		}
	}
	if finished {
		u.runs, u.done = nil, true
	}
}

// inTime returns the shares of jobs that ended in time, by priority.
func (s *site) inTime() (share [3]float64) {
	for end := s.now.Add(100 * time.Second); s.now.Before(end); {
		s.decide()
		s.advance()
	}
	var n [3]float64
	for _, j := range s.jobs {
		n[j.job.Priority]++
		if !j.ended.IsZero() && j.ended.Sub(j.arrives) <= j.objective {
			share[j.job.Priority]++
		}
	}
	for i := range share {
		share[i] /= n[i]
	}
	return share
}

// Guards against urgent gangs that are late because one of their members is on a slow
// worker, while batch work occupies the fast ones: bursts of urgent gangs beside batch
// work, on a fleet of which a third needs 2.4 times as long.
func TestUrgentGangsAvoidSlowWorkers(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			before, after := newSite(seed, false), newSite(seed, true)
			without, with := before.inTime(), after.inTime()
			t.Logf("in time by priority without speeds %.2f, with %.2f; stopped %d, %d", without, with, before.stopped, after.stopped)
			require.Greater(t, with[0], without[0]+0.4)
			require.GreaterOrEqual(t, with[1], without[1]-0.05)
			require.GreaterOrEqual(t, with[2], without[2]-0.05)
		})
	}
}
