package schedule

import (
	"slices"
	"time"
)

// Reason is why a worker does not take a task of a unit.
type Reason string

// Reasons, in the order in which they are checked.
const (
	OtherService   Reason = "OtherService"
	NotSchedulable Reason = "NotSchedulable"
	NoLabel        Reason = "NoLabel"       // it lacks the label that the step requires
	TooSmall       Reason = "TooSmall"      // a task would not fit on it if it were empty
	NoTicket       Reason = "NoTicket"      // the advice service has not returned it
	RecentStart    Reason = "RecentStart"   // something has just started there, and the unit may crash its worker
	TooRisky       Reason = "TooRisky"      // it is too likely to fail the run
	NoRoom         Reason = "NoRoom"        // its free capacity does not hold a task
	MaxPerWorker   Reason = "MaxPerWorker"  // it has as many tasks of the step as it may have
	UrgentReserve  Reason = "UrgentReserve" // it is kept for urgent work
	TooSlow        Reason = "TooSlow"       // slower than the unit needs to be in time
	NotTogether    Reason = "NotTogether"   // it holds a task, but the whole unit does not fit where it may start
	NotPreferred   Reason = "NotPreferred"  // the unit would also fit there
)

// Exclusion is a worker that does not take a task of a unit.
type Exclusion struct {
	Worker string
	Reason Reason
}

// ExplainedStep is the decision about the units of one step.
type ExplainedStep struct {
	First    *Unit         // first unit of the step in the order of precedence
	Ahead    int           // units that go before it
	Tasks    int           // of all units of the step
	Started  int           // tasks that start
	Wait     time.Duration // after which the first unit is expected to fit without a stop; delay.Forever if never
	Reserved bool          // capacity is reserved or held for a unit of the step
	Withheld bool          // the step waits for workers that are less likely to fail
	Excluded []Exclusion   // for the first unit
}

// Explain makes the same decision as Decide and describes that about the units of one job.
// It returns false if stop, which is called for each unit, has returned true. It changes its
// arguments like Decide.
func Explain(workers []*Worker, units []*Unit, urgentReserve float64, job string, stop func() bool) (Plan, []ExplainedStep, bool) {
	p := newPass(workers, urgentReserve)
	sortUnits(units)
	var steps []ExplainedStep
	for i, u := range units {
		if stop() {
			return Plan{}, nil, false
		}
		if u.Job.ID != job {
			p.scheduleUnit(u)
			continue
		}
		n := slices.IndexFunc(steps, func(s ExplainedStep) bool { return s.First.Step == u.Step && s.First.Occurrence == u.Occurrence })
		if n < 0 {
			n = len(steps)
			steps = append(steps, p.describe(u, i))
		}
		step, started, changes := &steps[n], len(p.plan.Placements), p.changes
		p.scheduleUnit(u)
		started = len(p.plan.Placements) - started
		step.Tasks += len(u.Indexes)
		step.Started += started
		step.Reserved = step.Reserved || (started == 0 && p.changes > changes)
		if step.First == u {
			p.excludeOthers(step)
		}
	}
	for i := range steps {
		u := steps[i].First
		steps[i].Withheld = slices.Contains(p.plan.Withheld, StepKey{u.Job.ID, u.Occurrence, u.Step})
	}
	return p.plan, steps, true
}

// describe describes a unit before it is scheduled. The calls that it makes are those with
// which the scheduling of the unit begins, so that they do not change its result.
func (p *pass) describe(u *Unit, ahead int) ExplainedStep {
	step := ExplainedStep{First: u, Ahead: ahead}
	c := p.candidates(u)
	sets, spread := p.candidateSets(u, c)
	step.Wait, _ = p.soonestFit(u, append(slices.Clone(sets), spread...))
	for _, w := range p.workers {
		if r := p.exclusionOf(u, w, c); r != "" {
			step.Excluded = append(step.Excluded, Exclusion{w.ID, r})
		}
	}
	return step
}

// exclusionOf returns why a worker cannot take a task of the unit, or an empty string.
func (p *pass) exclusionOf(u *Unit, w *workerState, c candidates) Reason {
	s := u.step()
	_, hasTicket := u.Tickets[w.ID]
	switch {
	case w.Service != u.Job.Service:
		return OtherService
	case !w.Schedulable:
		return NotSchedulable
	case s.RequiredLabel != "" && !slices.Contains(w.Labels, s.RequiredLabel):
		return NoLabel
	case !w.canRun(u.Job, s):
		return TooSmall
	case u.Job.Advised && !hasTicket:
		return NoTicket
	case slices.Contains(c.withheld, w):
		return TooRisky
	case !slices.Contains(c.eligible, w):
		return RecentStart
	case !Demand(s).FitsIn(w.freeFor(u)):
		return NoRoom
	case s.MaxPerWorker > 0 && u.TasksByWorker[w.ID] >= s.MaxPerWorker:
		return MaxPerWorker
	default:
		return ""
	}
}

// excludeOthers adds the workers that could take a task of the first unit and have none
// after it was scheduled.
func (p *pass) excludeOthers(step *ExplainedStep) {
	u := step.First
	taken := make(map[string]bool)
	for _, e := range step.Excluded {
		taken[e.Worker] = true
	}
	for _, pl := range p.plan.Placements {
		if pl.Task.Job == u.Job.ID && pl.Task.Occurrence == u.Occurrence && pl.Task.Step == u.Step {
			taken[pl.Worker] = true
		}
	}
	for _, w := range p.workers {
		if taken[w.ID] {
			continue
		}
		reason := NotTogether
		switch {
		case w.keptForUrgent && u.Deferrable && u.step().DataRack == "" && (!u.step().Gang || w.keptFromGangs):
			reason = UrgentReserve
		case u.MinSpeed > 0 && w.speed() < u.MinSpeed:
			reason = TooSlow
		case step.Started > 0:
			reason = NotPreferred
		}
		step.Excluded = append(step.Excluded, Exclusion{w.ID, reason})
	}
}
