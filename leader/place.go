package leader

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// place makes one scheduling pass: it decides which tasks start and which runs are
// preempted for them.
func (t *term) place(now time.Time) {
	clear(t.forecasts)
	guaranteed := t.guaranteedJobs()
	t.totalCores = t.fleetCores()
	t.updateSpeeds(now)
	t.updateSoundness(now)
	units := t.units(guaranteed)
	t.urgentUse.Observe(t.urgentCores(units), now)
	t.observeWaits(units, now)
	t.endWithholding(units, now)
	if len(units) == 0 {
		t.restartSlowRun(nil, now)
		return
	}
	fleet := t.describeFleet(units, guaranteed, now)
	plan := schedule.Decide(fleet, units, t.urgentUse.Expected())
	t.observeWithheld(plan.Withheld, now)
	t.preempt(plan.Stops)
	incomplete := t.stepsWithRefusedMember(plan.Placements)
	for _, p := range plan.Placements {
		if !incomplete[keyOfStep(p.Task)] {
			t.placeTask(p, now)
		}
	}
	t.stopIncompleteGangs(units)
	if len(plan.Placements) == 0 {
		t.restartSlowRun(units, now)
	}
}

// describeFleet returns the workers for a scheduling pass, and completes what the units
// need of them.
func (t *term) describeFleet(units []*schedule.Unit, guaranteed map[string]bool, now time.Time) []*schedule.Worker {
	fleet := t.fleet(guaranteed, now)
	t.endWaits(units, fleet, now)
	t.requireSpeeds(units, fleet, now)
	t.addShares(units, guaranteed)
	return fleet
}

// urgentCores returns the size of the work of priority 0 that runs or waits. Waiting
// units that have expired are left out: they may never fit, and would keep that capacity
// free for as long as they wait.
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

// stepKey identifies a step of an occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

// keyOfStep returns the key of the step that a task belongs to.
func keyOfStep(k work.TaskKey) stepKey { return stepKey{k.Job, k.Occurrence, k.Step} }

// placeTask records one placement. The members of a gang get the same run number.
func (t *term) placeTask(p schedule.Placement, now time.Time) {
	k := work.RunKey{Task: p.Task}
	s, task := t.task(k)
	k.Run = task.Run + 1
	if s.job.Steps[p.Task.Step].Gang {
		k.Run = gangRunNumber(s.progress.Step(s.job, p.Task.Occurrence, p.Task.Step))
	}
	if !s.progress.Started() {
		t.startWaits[s.job.Priority] = t.startWaits[s.job.Priority].add(time.Since(queuedSince(s.job, p.Task.Occurrence)))
		t.cfg.Meter.ObserveStartLoss(s.job.Priority, t.forecast(s, p.Task.Occurrence, time.Now()).Loss(0))
		t.cfg.Meter.ObserveStart(s.job.Account, s.job.Priority, time.Since(queuedSince(s.job, p.Task.Occurrence)))
	}
	s.progress.Place(task, p.Worker, p.Ticket, k.Run)
	s.dirty = true
	delete(t.restartSpeeds, p.Task)
	w := t.workers[p.Worker]
	w.placedAt[k], w.placedUnder = now, w.Capacity
	line := event.LeaderPlaced.Log(t.cfg.Log).Str("Job", p.Task.Job).Stringer("Run", k).Str("Worker", p.Worker).Int("Priority", s.job.Priority).
		Dur("Waited", time.Since(s.job.Accepted)).Uint64("Epoch", t.rec.Epoch)
	if v := t.minSpeeds[keyOfStep(p.Task)]; v > 0 {
		line.Float64("MinSpeed", v).Float64("Speed", t.speeds.Speed(p.Worker))
	}
	line.Send()
}

// guaranteedJobs returns the jobs of priority 0 that are within the guarantees of their
// client accounts. Older jobs take precedence.
func (t *term) guaranteedJobs() map[string]bool {
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
	guaranteed := make(map[string]bool)
	for _, s := range urgent {
		n := used[s.job.Account] + peakAccelerators(s.job)
		if n <= cfg.Accounts[s.job.Account].GuaranteedAccelerators {
			used[s.job.Account] = n
			guaranteed[s.job.ID] = true
		}
	}
	return guaranteed
}

// peakAccelerators returns the number of accelerators that the widest step of a job
// needs.
func peakAccelerators(j *work.Job) int64 {
	var n int64
	for _, s := range j.Steps {
		n = max(n, int64(s.Count)*s.Shape.Accelerators)
	}
	return n
}

// deferrableFactor: a job can wait if the time until its deadline is at least this
// multiple of its remaining declared duration. The margin covers most runs that take
// longer than declared, up to a third; a larger one would leave no job that can wait in
// queues with short deadlines.
const deferrableFactor = 1.25

// units returns the units that wait to be placed.
func (t *term) units(guaranteed map[string]bool) []*schedule.Unit {
	var units []*schedule.Unit
	now := time.Now()
	strays := t.strayTasks()
	for _, s := range t.jobs {
		if s.progress.State.Final() {
			continue
		}
		for o := range s.job.NumOccurrences() {
			for step := range s.job.Steps {
				if s.progress.Ready(s.job, o, step, now) {
					units = append(units, t.stepUnits(s, o, step, guaranteed[s.job.ID], strays, now)...)
				}
			}
		}
	}
	return units
}

// stepUnits returns the waiting units of a step that is ready to run. A task waits until
// no worker reports a run of it, and a gang until that holds for all members and all
// their runs have ended, unless the others wait for a refused member.
func (t *term) stepUnits(s *jobState, occurrence, step int, guaranteed bool, strays map[work.TaskKey]bool, now time.Time) []*schedule.Unit {
	tasks := s.progress.Step(s.job, occurrence, step)
	var waiting []int
	hasStray, abandoned := false, false
	tasksByWorker := make(map[string]int)
	for i := range tasks {
		switch {
		case tasks[i].Placed():
			tasksByWorker[tasks[i].Worker]++
		case strays[work.TaskKey{Job: s.job.ID, Occurrence: occurrence, Step: step, Index: i}]:
			hasStray = true
		case !tasks[i].Done && crash.Judge(&tasks[i]) == crash.GiveUp:
			abandoned = true // it must not start again; giveUpJobs ends the job
		case !tasks[i].Done:
			waiting = append(waiting, i)
		}
	}
	gang := s.job.Steps[step].Gang
	if len(waiting) == 0 || gang && (hasStray || abandoned) {
		return nil
	}
	unit := schedule.Unit{
		Job: s.job, Occurrence: occurrence, Step: step, Guaranteed: guaranteed, QueuedSince: queuedSince(s.job, occurrence), Deadline: deadline(s.job, occurrence), TasksByWorker: tasksByWorker,
		MustStartNow: guaranteed && now.Sub(queuedSince(s.job, occurrence)) > t.cfg.ReclaimTimeout/2,
		Deferrable:   t.isDeferrable(s, occurrence, now),
		Timeliness:   t.timeliness(s, occurrence, now),
		StopTime:     t.cfg.StopGrace, SpreadSlowdown: t.cfg.RemoteSlowdown,
		Duration:  t.taskDuration(s.job, step),
		FleetTime: t.fleetTime(s.job, step),
	}
	if gang && len(waiting) < len(tasks) && !t.markAsCompletion(&unit, tasks) {
		return nil
	}
	t.addForecast(&unit, s, now)
	if s.job.Advised {
		unit.Tickets = t.tickets(s, occurrence, step, uptime.Now())
	}
	if gang {
		unit.Indexes = waiting
		t.setRisk(&unit, tasks[0].Failures)
		for _, i := range waiting {
			t.markSuspect(s, &unit, i)
		}
		return []*schedule.Unit{&unit}
	}
	unit.Forecast = unit.Forecast.Share(len(waiting))
	units := make([]*schedule.Unit, 0, len(waiting))
	for _, i := range waiting {
		u := unit
		u.Indexes = []int{i}
		t.setRisk(&u, tasks[i].Failures)
		t.markSuspect(s, &u, i)
		units = append(units, &u)
	}
	return units
}
