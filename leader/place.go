package leader

import (
	"slices"
	"strconv"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// place decides which tasks start, and which runs make room.
func (t *term) place(now time.Time) {
	reserved := t.reserved()
	t.cores = t.fleetCores()
	units := t.units(reserved)
	t.urgent.Observe(t.urgentCores(units), now)
	if len(units) == 0 {
		return
	}
	plan := schedule.Decide(t.fleet(reserved, now), units, t.urgent.Expected())
	for _, k := range plan.Stops {
		_, task := t.task(k)
		t.stop(k, task, "room for a more urgent job")
	}
	for _, p := range plan.Placements {
		t.placeTask(p, now)
	}
	t.breakUp(units)
}

// urgentCores is what work of priority 0 uses and waits for. What does not count any
// more, and may never fit, is not expected to be needed again.
func (t *term) urgentCores(units []*schedule.Unit) float64 {
	var cores float64
	for _, s := range t.jobs {
		if s.job.Priority > 0 || s.progress.State.Final() {
			continue
		}
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if w := t.workers[task.Worker]; w != nil && w.attached && !task.Stopping {
				cores += schedule.Demand(s.job.Steps[k.Step]).Cores()
			}
		})
	}
	for _, u := range units {
		if u.Job.Priority == 0 && u.Timeliness < schedule.Expired {
			cores += float64(len(u.Indexes)) * u.Job.Steps[u.Step].Shape.Cores()
		}
	}
	return cores
}

// stepKey names a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// placeTask records one place. The members of a gang get the same run number.
func (t *term) placeTask(p schedule.Placement, now time.Time) {
	k := work.RunKey{Task: p.Task}
	s, task := t.task(k)
	k.Run = task.Run + 1
	if s.job.Steps[p.Task.Step].Gang {
		k.Run = gangRun(s.progress.Step(s.job, p.Task.Occurrence, p.Task.Step))
	}
	if !s.progress.Started() {
		t.cfg.Meter.ObserveStart(s.job.Account, s.job.Priority, time.Since(begin(s.job, p.Task.Occurrence)))
	}
	s.progress.Place(task, p.Worker, p.Ticket, k.Run)
	s.dirty = true
	t.workers[p.Worker].placed[k] = now
	event.LeaderPlaced.Log(t.cfg.Log).Str("Job", p.Task.Job).Stringer("Run", k).Str("Worker", p.Worker).Int("Priority", s.job.Priority).
		Dur("Waited", time.Since(s.job.Accepted)).Uint64("Epoch", t.rec.Epoch).Send()
}

// reserved returns the jobs of priority 0 that are within the guarantees of
// their client accounts, oldest first.
func (t *term) reserved() map[string]bool {
	cfg := t.cfg.Declarations.Configuration()
	if cfg == nil {
		return nil
	}
	var urgent []*jobState
	for _, s := range t.jobs {
		if s.job.Priority == 0 && !s.progress.State.Final() {
			urgent = append(urgent, s)
		}
	}
	slices.SortFunc(urgent, func(a, b *jobState) int { return a.job.Accepted.Compare(b.job.Accepted) })
	used := make(map[string]int64)
	in := make(map[string]bool)
	for _, s := range urgent {
		n := used[s.job.Account] + accelerators(s.job)
		if n <= cfg.Accounts[s.job.Account].GuaranteedAccelerators {
			used[s.job.Account] = n
			in[s.job.ID] = true
		}
	}
	return in
}

// accelerators is what the widest step of a job needs.
func accelerators(j *work.Job) int64 {
	var n int64
	for _, s := range j.Steps {
		n = max(n, int64(s.Count)*s.Shape.Accelerators)
	}
	return n
}

// patience is the multiple of its duration that a job keeps in hand before it
// counts as one that can wait. Real durations are up to a third longer than the
// declared ones; with twice the duration no job of the users' queues could wait.
const patience = 1.25

// units returns what waits to be placed.
func (t *term) units(reserved map[string]bool) []*schedule.Unit {
	var units []*schedule.Unit
	now := time.Now()
	for _, s := range t.jobs {
		if s.progress.State.Final() {
			continue
		}
		for o := range s.job.NumOccurrences() {
			for step := range s.job.Steps {
				if s.progress.Ready(s.job, o, step, now) {
					units = append(units, t.stepUnits(s, o, step, reserved[s.job.ID], now)...)
				}
			}
		}
	}
	return units
}

// stepUnits returns the units of a step whose turn has come. A gang waits
// until all runs of its members have ended.
func (t *term) stepUnits(s *jobState, occurrence, step int, reserved bool, now time.Time) []*schedule.Unit {
	tasks := s.progress.Step(s.job, occurrence, step)
	var waiting []int
	beside := make(map[string]int)
	for i := range tasks {
		switch {
		case tasks[i].Placed():
			beside[tasks[i].Worker]++
		case !tasks[i].Done:
			waiting = append(waiting, i)
		}
	}
	gang := s.job.Steps[step].Gang
	if len(waiting) == 0 {
		return nil
	}
	unit := schedule.Unit{
		Job: s.job, Occurrence: occurrence, Step: step, Reserved: reserved, QueuedSince: begin(s.job, occurrence), Deadline: due(s.job, occurrence), TasksByWorker: beside,
		MustStartNow: reserved && now.Sub(begin(s.job, occurrence)) > t.cfg.ReclaimTimeout/2,
		CanWait:      t.canWait(s, occurrence, now),
		Timeliness:   t.timeliness(s, occurrence, now),
		FleetTime:    t.share(s.job, step),
	}
	if gang && len(waiting) < len(tasks) && !t.rest(&unit, tasks) {
		return nil
	}
	if s.job.Advised {
		unit.Tickets = t.advice(s, occurrence, step, uptime.Now())
	}
	if gang {
		unit.Indexes, unit.Failed = waiting, tasks[0].Failures > 0
		return []*schedule.Unit{&unit}
	}
	units := make([]*schedule.Unit, 0, len(waiting))
	for _, i := range waiting {
		u := unit
		u.Indexes, u.Failed = []int{i}, tasks[i].Failures > 0
		units = append(units, &u)
	}
	return units
}

// due is when an occurrence of a job should be done.
func due(j *work.Job, occurrence int) time.Time {
	return begin(j, occurrence).Add(objective(j))
}

// begin is when the time of an occurrence begins to count.
func begin(j *work.Job, occurrence int) time.Time {
	if d := j.OccurrenceStart(occurrence); d.After(j.Accepted) {
		return d
	}
	return j.Accepted
}

// objective is the time in which an occurrence should be done.
func objective(j *work.Job) time.Duration {
	return within(j, chain(j))
}

// within is the time in which an occurrence should be done if it takes so long.
func within(j *work.Job, length time.Duration) time.Duration {
	return j.Objective + time.Duration(j.MaxSlowdown*float64(length))
}

// chain is the declared duration of the longest chain of steps.
func chain(j *work.Job) time.Duration { return longestChain(j, func(int) bool { return true }) }

// longestChain is the declared duration of the longest chain of the steps that
// count.
func longestChain(j *work.Job, counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.DependsOn {
			ends[i] = max(ends[i], ends[a])
		}
		if counts(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// fleet returns the workers as the policy sees them.
func (t *term) fleet(reserved map[string]bool, now time.Time) []*schedule.Worker {
	fleet := make([]*schedule.Worker, 0, len(t.workers))
	for _, w := range t.workers {
		if !w.attached {
			continue
		}
		sw := &schedule.Worker{
			ID: w.Incarnation, Service: w.Service, Domain: w.Domain, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
			Schedulable: t.open(w, now), Suspect: w.health.last == work.OutcomeFailed,
		}
		for k := range w.placed {
			if run, ok := t.occupant(w, k, reserved, now); ok {
				sw.Runs = append(sw.Runs, run)
			}
		}
		for k := range w.strays {
			if s, ok := t.jobs[k.Task.Job]; ok && s.progress.Task(s.job, k.Task) != nil {
				sw.Runs = append(sw.Runs, schedule.Run{Key: k, Demand: schedule.Demand(s.job.Steps[k.Task.Step]), Stopping: true})
			}
		}
		fleet = append(fleet, sw)
	}
	return fleet
}

// mayMiss returns how many of the first tasks of a long-running step may be
// stopped now: those that may be away less those that are. Fixed places keep
// one pass from stopping more.
func (t *term) mayMiss(s *jobState, k work.TaskKey) int {
	tasks := s.progress.Step(s.job, k.Occurrence, k.Step)
	away := 0
	for i := range tasks {
		if !tasks[i].Placed() || tasks[i].Stopping || tasks[i].Percent < 100 {
			away++
		}
	}
	return s.job.Steps[k.Step].MaxUnavailable - away
}

// stuckFactor is the multiple of the time that a stop takes after which the
// run's end is not waited for any more.
const stuckFactor = 2

// heardWithin is the age of the last report beyond which a worker gets no
// tasks.
const heardWithin = time.Second

// open reports whether a worker takes tasks.
func (t *term) open(w *workerState, now time.Time) bool {
	_, streaming := t.streams[w.Incarnation]
	return streaming && !w.Draining && !w.Unresponsive && now.After(w.closed) && now.Sub(w.heard) < heardWithin &&
		!t.cfg.Declarations.DomainOut(w.Domain) && !w.health.avoided(now)
}

// occupant describes a run that is ordered on a worker.
func (t *term) occupant(w *workerState, k work.RunKey, reserved map[string]bool, now time.Time) (schedule.Run, bool) {
	s, task := t.task(k)
	if task == nil || task.Worker != w.Incarnation || task.Run != k.Run {
		delete(w.placed, k)
		return schedule.Run{}, false
	}
	step := s.job.Steps[k.Task.Step]
	run := schedule.Run{
		Key: k, Demand: schedule.Demand(step), MilliCPU: step.Shape.MilliCPU, Priority: s.job.Priority, Reserved: reserved[s.job.ID], Stopping: task.Stopping,
		Cost: step.Shape.Cores() * now.Sub(w.placed[k]).Seconds(),
	}
	if since, ok := w.stops[k]; ok {
		run.StopOverdue = now.Sub(since) > stuckFactor*t.cfg.StopGrace
	}
	if p := w.trackers[k]; p != nil && !step.LongRunning {
		run.EndsSoon = p.endsWithin(t.cfg.StopGrace, step.Estimate, now)
	}
	run.Late = s.job.Priority == 0 && t.isLate(s.job, w, k, now)
	run.Pinned = step.LongRunning && k.Task.Index >= t.mayMiss(s, k.Task)
	if step.Checkpointing {
		run.Cost = step.Shape.Cores()
	}
	if step.Gang {
		run.Group = k.Task.Job + "/" + strconv.Itoa(k.Task.Occurrence) + "/" + strconv.Itoa(k.Task.Step)
	}
	return run, true
}
