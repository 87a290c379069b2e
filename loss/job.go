// Package loss explains from logs why jobs finished late or not at all, and how much
// work was thrown away. It reads the lines that the leader writes about jobs and runs.
package loss

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/work"
)

// Step is the shape of a step of a job.
type Step struct {
	Tasks         int
	Shape         work.Shape // of a task
	Gang          bool
	Checkpointing bool
}

// cores returns the size of all tasks of the step, with accelerators converted.
func (s Step) cores() float64 { return float64(s.Tasks) * s.Shape.Cores() }

// Job is what the logs tell about a job.
type Job struct {
	ID        string
	Priority  int
	Steps     []Step
	Estimate  time.Duration // declared duration of the longest chain of steps
	Objective time.Duration // within which the job should be done, by its declared duration
	Slowdown  float64       // part of Objective for each second of the job's duration
	Accepted  time.Time
	Ended     time.Time  // zero if the logs show no end
	State     work.State // final state; empty if the logs show no end
	Runs      []*Run     // in the order of their placements
}

// Run is an execution of a task.
type Run struct {
	Occurrence, Step, Index, Number int
	Worker                          string // its incarnation
	Placed                          time.Time
	Ended                           time.Time // zero if the logs show no end
	Outcome                         work.Outcome
	Stop                            string // reason of the order to stop; empty if there was none
	Cause                           Cause
	TimeFactor                      float64 // of its worker, in a gang of the slowest one, relative to the mean
}

// Cause tells why a run or a job lost time.
type Cause int

// Causes of losses.
const (
	None       Cause = iota
	Waited           // no capacity
	Preempted        // stopped for a more urgent job
	Drained          // its worker was about to shut down
	WorkerLost       // its worker has gone
	Failed           // a run failed by itself
	Refused          // the worker refused the start
	Stalled          // the run made no progress
	Cancelled        // the caller cancelled the job
	Slow             // the runs took longer than declared, or than on workers of mean speed
	Other            // any other reason
	numCauses
)

var causeNames = [numCauses]string{"none", "waited", "preempted", "drained", "worker lost", "failed", "refused", "stalled", "cancelled", "slow", "other"}

// String returns the name of the cause in tables.
func (c Cause) String() string { return causeNames[c] }

// Verdict is the outcome of a job in the users' measurements.
type Verdict int

// Verdicts, from best to worst.
const (
	Excluded Verdict = iota // cancelled, failed by itself, or not yet due when the logs end
	OnTime
	Late
	Undone // not done within work.ExpiredFactor times its objective
)

// Verdict rates the job. The logs end at the given time.
func (j *Job) Verdict(end time.Time) Verdict {
	due, expiry := j.Accepted.Add(j.objective()), j.Accepted.Add(work.ExpiredFactor*j.objective())
	switch {
	case j.State == work.Cancelled || j.State == work.Failed:
		return Excluded
	case j.State == work.Completed && !j.Ended.After(due):
		return OnTime
	case j.State == work.Completed && !j.Ended.After(expiry):
		return Late
	case j.State == work.Completed || end.After(expiry):
		return Undone
	default:
		return Excluded
	}
}

// isDone reports whether the run was done.
func (r *Run) isDone() bool { return r.Outcome == work.OutcomeDone && !r.Ended.IsZero() }

// ownDuration returns the duration that a run which was done would have had on workers of
// mean speed.
func (r *Run) ownDuration() time.Duration {
	return time.Duration(float64(r.Ended.Sub(r.Placed)) / r.TimeFactor)
}

// objective returns the time within which the job should be done by its real duration on
// workers of mean speed, as users measure it. The duration of a step is that of its longest
// run that was done.
func (j *Job) objective() time.Duration {
	var actual time.Duration
	for i := range j.Steps {
		longest := time.Duration(0)
		for _, r := range j.Runs {
			if r.Step == i && r.isDone() {
				longest = max(longest, r.ownDuration())
			}
		}
		if longest == 0 {
			return j.Objective
		}
		actual += longest
	}
	return j.Objective + time.Duration(j.Slowdown*float64(actual-j.Estimate))
}

// Work returns the size of the job in core-seconds on workers of mean speed. The duration of a step is the mean
// of its runs that were done, or the declared duration divided by the number of steps.
func (j *Job) Work() float64 {
	var sum float64
	for i, s := range j.Steps {
		sum += s.cores() * j.stepDuration(i).Seconds()
	}
	return sum
}

func (j *Job) stepDuration(step int) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range j.Runs {
		if r.Step == step && r.isDone() {
			sum += r.ownDuration()
			n++
		}
	}
	if n == 0 {
		return j.Estimate / time.Duration(max(1, len(j.Steps)))
	}
	return sum / time.Duration(n)
}

// wasted returns the core-seconds that a run occupied without a lasting result. A
// checkpointing run that is stopped keeps its work.
func (j *Job) wasted(r *Run) float64 {
	s := j.Steps[r.Step]
	if r.Outcome == work.OutcomeDone || r.Outcome == work.OutcomeRefused || r.Ended.IsZero() || (s.Checkpointing && r.Stop != "") {
		return 0
	}
	return s.Shape.Cores() * r.Ended.Sub(r.Placed).Seconds()
}

// firstPlaced returns the time of the first placement, or the given end of the logs.
func (j *Job) firstPlaced(end time.Time) time.Time {
	if len(j.Runs) == 0 {
		return end
	}
	return j.Runs[0].Placed
}

// parseSteps parses the shapes of the steps in a log line: the tasks, accelerators,
// cores and MB of a task, and its properties.
func parseSteps(text string) ([]Step, error) {
	var steps []Step
	for part := range strings.SplitSeq(text, ", ") {
		var s Step
		var cores float64
		if _, err := fmt.Sscanf(part, "%dx%da%gc%dM", &s.Tasks, &s.Shape.Accelerators, &cores, &s.Shape.MemoryMB); err != nil {
			return nil, errors.Wrapf(err, "step %q", part)
		}
		s.Shape.MilliCPU = int64(math.Round(1000 * cores))
		s.Gang, s.Checkpointing = strings.Contains(part, " gang"), strings.Contains(part, " checkpointing")
		steps = append(steps, s)
	}
	return steps, nil
}
