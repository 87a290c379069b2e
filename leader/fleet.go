package leader

import (
	"strconv"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// fleet returns the attached workers in the form that the scheduling pass takes.
func (t *term) fleet(guaranteed map[string]bool, now time.Time) []*schedule.Worker {
	fleet := make([]*schedule.Worker, 0, len(t.workers))
	budgets := make(stopBudgets)
	for _, w := range t.workers {
		if !w.attached {
			continue
		}
		sw := &schedule.Worker{
			ID: w.Incarnation, Service: w.Service, Domain: w.Domain, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity,
			Schedulable: t.isSchedulable(w, now) && !t.isKeptForSuspect(w, now), Suspect: w.health.suspect, Probing: t.isProbing(w), FailureRisk: w.health.risk,
			StartedRecently: w.startedRecently(now),
		}
		for k := range w.placedAt {
			if run, ok := t.describeRun(w, k, guaranteed, budgets, now); ok {
				sw.Runs = append(sw.Runs, run)
			}
		}
		sw.Schedulable = t.addUnplacedRuns(sw, w) && sw.Schedulable
		fleet = append(fleet, sw)
	}
	return fleet
}

// serviceAbsence is the time for which a long-running task that is stopped counts as
// absent. In a full fleet its capacity is taken for about as long as a run takes.
const serviceAbsence = 30 * time.Second

// stopOverdueFactor is the multiple of Config.StopGrace after which a stopping run is not
// expected to end any more.
const stopOverdueFactor = 2

// maxReportAge is the age of the last report beyond which a worker gets no tasks.
const maxReportAge = time.Second

// Reasons for which a worker is not schedulable.
const (
	closedByDomain   schedule.Reason = "DomainOut"
	closedByDraining schedule.Reason = "Draining"
	closedBySilence  schedule.Reason = "Unresponsive" // it, or its agent
	closedByHealth   schedule.Reason = "Avoided"      // after failures
	closedByRefusal  schedule.Reason = "Closed"       // for some time after a refused start or for maintenance
)

// isSchedulable reports whether a worker may get tasks.
func (t *term) isSchedulable(w *workerState, now time.Time) bool { return t.closedBy(w, now) == "" }

// closedBy returns why a worker may not get tasks, or an empty string if it may.
func (t *term) closedBy(w *workerState, now time.Time) schedule.Reason {
	_, streaming := t.streams[w.Incarnation]
	switch {
	case t.cfg.Declarations.DomainOut(w.Domain):
		return closedByDomain
	case w.Draining:
		return closedByDraining
	case !streaming || w.Unresponsive || now.Sub(w.reportedAt) >= maxReportAge:
		return closedBySilence
	case w.health.isAvoided(now):
		return closedByHealth
	case !now.After(w.closedUntil) || !now.After(w.noCapacityUntil):
		return closedByRefusal
	default:
		return ""
	}
}

// describeRun describes a run on a worker for the scheduling pass. It reports false if
// the run is not placed there any more.
func (t *term) describeRun(w *workerState, k work.RunKey, guaranteed map[string]bool, budgets stopBudgets, now time.Time) (schedule.Run, bool) {
	s, task := t.placedRun(w, k)
	if task == nil {
		delete(w.placedAt, k)
		return schedule.Run{}, false
	}
	step := s.job.Steps[k.Task.Step]
	run := schedule.Run{
		Key: k, LongRunning: step.LongRunning, Demand: schedule.Demand(step), MilliCPU: step.Shape.MilliCPU, Priority: s.job.Priority, Guaranteed: guaranteed[s.job.ID], Account: s.job.Account, RequiredLabel: step.RequiredLabel, Advised: s.job.Advised, Stopping: task.Stopping,
		Budget: budgets.of(s, k.Task),
	}
	if since, ok := w.stopRequestedAt[k]; ok {
		run.StopOverdue = now.Sub(since) > stopOverdueFactor*t.cfg.StopGrace
	}
	if p := w.trackers[k]; p != nil && !step.LongRunning {
		run.EndsSoon = p.endsWithin(t.cfg.StopGrace, step.Estimate, now)
	}
	run.Late = s.job.Priority == 0 && !step.LongRunning && t.isLate(s.job, w, k, now)
	run.EndsIn, run.Cost = t.stopCost(s, w, k, now)
	run.Preempted = s.preempted[k.Task]
	if step.Gang {
		run.Gang = k.Task.Job + "/" + strconv.Itoa(k.Task.Occurrence) + "/" + strconv.Itoa(k.Task.Step)
	}
	return run, true
}
