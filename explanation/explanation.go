// Package explanation describes where a job would be placed now and why. It summarizes a
// decision of package schedule and depends only on its arguments.
package explanation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Bounds of an answer. The counts beside the lists are complete.
const (
	maxExamples = 3
	maxStarts   = 256
	maxStops    = 64
)

// Decision is what would happen to the job now.
type Decision string

// Decisions. A job with several steps that are ready has that of the first step in this
// list that applies.
const (
	Refused  Decision = "Refused"  // at its submission
	Later    Decision = "Later"    // its first occurrence has not begun
	Starts   Decision = "Starts"   // all tasks of a step start, or some of a step that is no gang
	Preempts Decision = "Preempts" // runs are stopped for it, and it starts once they have ended
	Withheld Decision = "Withheld" // it waits for workers that are less likely to fail
	Waits    Decision = "Waits"    // for capacity
)

// Explanation is the answer. Durations are in milliseconds.
type Explanation struct {
	Leader        string
	Epoch         uint64
	Decision      Decision
	Detail        string
	Service       string
	Queue         string
	Account       string
	Priority      int
	Guaranteed    bool    // within the guarantee of its client account
	UrgentReserve float64 // cores that deferrable work leaves free for urgent work
	Workers       int     // that the leader knows
	WaitingUnits  int     // of other jobs
	Steps         []Step  // that are ready to run
	LaterSteps    []int   // that wait for other steps
	Stops         []Stop
	NumStops      int
}

// Step is the decision about a step.
type Step struct {
	Step          int
	Tasks         int
	Started       int
	Starts        []Start
	Ahead         int // waiting units that go before the first one of the step
	Reserved      bool
	Withheld      bool
	ExpectedIn    *int64 `json:"ExpectedInMs"` // when it is expected to fit without a stop, 0 if once the runs that end or stop now have ended; null if not known
	Timeliness    string
	Deferrable    bool
	MinSpeed      float64 // 0 if any speed will do
	MaxRisk       float64 // of a worker; 0 for no bound
	BeyondShare   bool
	DurationMs    int64 // expected, of a task
	UntilLateMs   int64
	LateLoss      float64
	ExpiredLoss   float64
	ExcludedCount map[schedule.Reason]int
	Excluded      map[schedule.Reason][]string // examples
}

// Start is a task that would start.
type Start struct {
	Task   string
	Worker string
}

// Stop is a run that would be stopped.
type Stop struct {
	Job    string
	Run    string
	Worker string
	Cost   float64
}

// Input is the decision that is described.
type Input struct {
	Job     *work.Job
	Plan    schedule.Plan
	Steps   []schedule.ExplainedStep
	Workers []*schedule.Worker
	// Closed says why workers are not schedulable.
	Closed  map[string]schedule.Reason
	Refusal string // why the job would be refused at its submission; empty if it would not
}

// New describes a decision. The caller sets what it knows about itself.
func New(in Input) Explanation {
	e := Explanation{Service: in.Job.Service, Queue: in.Job.Queue, Account: in.Job.Account, Priority: in.Job.Priority, Workers: len(in.Workers)}
	ready := make(map[int]bool)
	for _, s := range in.Steps {
		ready[s.First.Step] = true
		e.Guaranteed = s.First.Guaranteed
		e.Steps = append(e.Steps, newStep(in, s))
	}
	slices.SortStableFunc(e.Steps, func(a, b Step) int { return cmp.Compare(a.Step, b.Step) })
	for i := range in.Job.Steps {
		if !ready[i] {
			e.LaterSteps = append(e.LaterSteps, i)
		}
	}
	e.addStops(in)
	e.Decision, e.Detail = decide(in, e)
	return e
}

func newStep(in Input, s schedule.ExplainedStep) Step {
	u := s.First
	out := Step{
		Step: u.Step, Tasks: s.Tasks, Started: s.Started, Ahead: s.Ahead, Reserved: s.Reserved, Withheld: s.Withheld,
		Timeliness: u.Timeliness.String(), Deferrable: u.Deferrable, MinSpeed: u.MinSpeed, MaxRisk: u.MaxRisk, BeyondShare: u.BeyondShare(),
		DurationMs: u.Duration.Milliseconds(), UntilLateMs: u.Forecast.UntilLate.Milliseconds(), LateLoss: u.Forecast.LateLoss, ExpiredLoss: u.Forecast.ExpiredLoss,
		ExcludedCount: make(map[schedule.Reason]int), Excluded: make(map[schedule.Reason][]string),
	}
	if s.Wait < delay.Forever {
		ms := s.Wait.Milliseconds()
		out.ExpectedIn = &ms
	}
	for _, p := range in.Plan.Placements {
		if p.Task.Job == in.Job.ID && p.Task.Occurrence == u.Occurrence && p.Task.Step == u.Step && len(out.Starts) < maxStarts {
			out.Starts = append(out.Starts, Start{work.RunKey{Task: p.Task, Run: 1}.String(), p.Worker})
		}
	}
	for _, x := range s.Excluded {
		r := x.Reason
		if r == schedule.NotSchedulable {
			r = cmp.Or(in.Closed[x.Worker], r)
		}
		if out.ExcludedCount[r]++; out.ExcludedCount[r] <= maxExamples {
			out.Excluded[r] = append(out.Excluded[r], x.Worker)
		}
	}
	return out
}

func (e *Explanation) addStops(in Input) {
	workers := make(map[work.RunKey]string)
	for _, w := range in.Workers {
		for i := range w.Runs {
			workers[w.Runs[i].Key] = w.ID
		}
	}
	for _, s := range in.Plan.Stops {
		if s.For != in.Job.ID {
			continue
		}
		if e.NumStops++; e.NumStops <= maxStops {
			e.Stops = append(e.Stops, Stop{s.Task.Job, s.RunKey.String(), workers[s.RunKey], s.Cost})
		}
	}
}

// decide returns the decision about the whole job and a sentence about it.
func decide(in Input, e Explanation) (Decision, string) {
	if in.Refusal != "" {
		return Refused, in.Refusal
	}
	if len(e.Steps) == 0 {
		return Later, "its first occurrence begins at " + in.Job.OccurrenceStart(0).UTC().Format(time.RFC3339)
	}
	started, tasks := 0, 0
	for _, s := range e.Steps {
		started, tasks = started+s.Started, tasks+s.Tasks
	}
	withheld := slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Withheld })
	switch {
	case started > 0:
		return Starts, fmt.Sprintf("%d of %d tasks of the steps that are ready start", started, tasks)
	case e.NumStops > 0:
		return Preempts, fmt.Sprintf("%d runs are stopped for it", e.NumStops)
	case withheld:
		return Withheld, "it would fit only with workers that are too likely to fail the run; it waits for others for a bounded time"
	default:
		return Waits, waitDetail(e)
	}
}

func waitDetail(e Explanation) string {
	var soonest *int64
	for _, s := range e.Steps {
		if s.ExpectedIn != nil && (soonest == nil || *s.ExpectedIn < *soonest) {
			soonest = s.ExpectedIn
		}
	}
	switch reserved := slices.ContainsFunc(e.Steps, func(s Step) bool { return s.Reserved }); {
	case soonest == nil:
		return "no runs are expected to end for it; it waits for workers or for capacity of runs whose end is not known"
	case reserved && *soonest == 0:
		return "capacity is reserved for it; it starts once the runs that are ending there have ended"
	case reserved:
		return fmt.Sprintf("capacity is reserved for it; it is expected to fit in %d ms, once runs have ended", *soonest)
	default:
		return fmt.Sprintf("it is expected to fit in %d ms, once runs have ended, if no other work takes their capacity", *soonest)
	}
}

// Text returns the explanation as text.
func (e Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", e.Decision, e.Detail)
	fmt.Fprintf(&b, "service %s, queue %s, account %s, priority %d, within guarantee: %t\n", e.Service, e.Queue, cmp.Or(e.Account, "-"), e.Priority, e.Guaranteed)
	fmt.Fprintf(&b, "leader %s, epoch %d: %d workers, %d waiting units of other jobs, urgent reserve %.1f cores\n", e.Leader, e.Epoch, e.Workers, e.WaitingUnits, e.UrgentReserve)
	for _, s := range e.Steps {
		fmt.Fprintf(&b, "step %d: %d of %d tasks start, %d units ahead, reserved: %t, withheld: %t\n", s.Step, s.Started, s.Tasks, s.Ahead, s.Reserved, s.Withheld)
		fmt.Fprintf(&b, "  timeliness %s, late in %d ms, expected duration %d ms, lost if late %.2f, if expired %.2f more, deferrable: %t, beyond share: %t, least speed %.2f, highest risk %.3f\n",
			s.Timeliness, s.UntilLateMs, s.DurationMs, s.LateLoss, s.ExpiredLoss, s.Deferrable, s.BeyondShare, s.MinSpeed, s.MaxRisk)
		for _, st := range s.Starts {
			fmt.Fprintf(&b, "  start %s on %s\n", st.Task, st.Worker)
		}
		for _, r := range slices.Sorted(maps.Keys(s.ExcludedCount)) {
			fmt.Fprintf(&b, "  left out, %s: %d (%s)\n", r, s.ExcludedCount[r], strings.Join(s.Excluded[r], ", "))
		}
	}
	for _, s := range e.Stops {
		fmt.Fprintf(&b, "stop %s of job %s on %s, cost %.3f\n", s.Run, s.Job, s.Worker, s.Cost)
	}
	if len(e.LaterSteps) > 0 {
		fmt.Fprintf(&b, "steps that are not ready: %v\n", e.LaterSteps)
	}
	return b.String()
}
