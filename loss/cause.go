package loss

import (
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// setCauses sets the causes of the runs that were not done. The members of a gang share
// the cause of the first one that ended for a reason of its own.
func (j *Job) setCauses() {
	for _, r := range j.Runs {
		r.Cause = r.ownCause()
	}
	for _, r := range j.Runs {
		if !j.Steps[r.Step].Gang || r.Cause != Other {
			continue
		}
		for _, member := range j.gangOf(r) {
			if member.Cause != None && member.Cause != Other {
				r.Cause = member.Cause
				break
			}
		}
	}
}

// ownCause returns why the run was not done, or Other if another member of its gang may
// tell.
func (r *Run) ownCause() Cause {
	if r.Outcome == work.OutcomeDone || r.Ended.IsZero() {
		return None
	}
	for reason, cause := range stopCauses {
		if strings.Contains(r.Stop, reason) {
			return cause
		}
	}
	switch {
	case r.Stop != "":
		return Other
	case r.Outcome == work.OutcomeFailed:
		return Failed
	case r.Outcome == work.OutcomeWorkerLost:
		return WorkerLost
	case r.Outcome == work.OutcomeRefused:
		return Refused
	default:
		return Other
	}
}

// stopCauses maps parts of the leader's reasons to stop a run to causes.
var stopCauses = map[string]Cause{
	"preempted":            Preempted,
	"draining":             Drained,
	"stalled":              Stalled,
	"cancelled":            Cancelled,
	"the job is completed": None,
	"the job is failed":    Cancelled,
}

// Delays returns the time that the job lost by each cause, along the task of each step
// that ended last. The logs end at the given time.
func (j *Job) Delays(end time.Time) [numCauses]time.Duration {
	var delays [numCauses]time.Duration
	from := j.Accepted
	for step := range j.Steps {
		last := j.lastTask(step)
		var done bool
		for _, r := range last {
			delays[Waited] += max(0, r.Placed.Sub(from))
			until := r.Ended
			if until.IsZero() {
				until = end
			}
			switch {
			case r.Outcome == work.OutcomeDone:
				declared := j.Estimate / time.Duration(len(j.Steps))
				delays[Slow] += max(0, until.Sub(r.Placed)-declared, until.Sub(r.Placed)-r.ownDuration())
				done = true
			case r.Ended.IsZero():
				delays[Slow] += until.Sub(r.Placed)
			default:
				delays[r.Cause] += until.Sub(r.Placed)
			}
			from = until
		}
		if !done {
			delays[Waited] += max(0, end.Sub(from))
			return delays
		}
	}
	return delays
}

// lastTask returns the runs of the task of a step whose last run ended last, or has not
// ended.
func (j *Job) lastTask(step int) []*Run {
	type task struct{ occurrence, index int }
	runs := make(map[task][]*Run)
	var last task
	var lastEnd time.Time
	for _, r := range j.Runs {
		if r.Step != step {
			continue
		}
		k := task{r.Occurrence, r.Index}
		runs[k] = append(runs[k], r)
	}
	for k, rs := range runs {
		end := rs[len(rs)-1].Ended
		if rs[len(rs)-1].Outcome != work.OutcomeDone {
			end = end.Add(24 * time.Hour) // it has not been done at all
		}
		if end.After(lastEnd) || (end.Equal(lastEnd) && k.index < last.index) {
			last, lastEnd = k, end
		}
	}
	return runs[last]
}

// MainCause returns the cause by which the job lost most time.
func (j *Job) MainCause(end time.Time) Cause {
	main, longest := Other, time.Duration(0)
	for c, d := range j.Delays(end) {
		if d > longest {
			main, longest = Cause(c), d
		}
	}
	return main
}
