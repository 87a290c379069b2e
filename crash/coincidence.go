package crash

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Event is the crash of a worker with the runs that were on it.
type Event struct {
	Worker     string // incarnation
	Domain     string
	DomainDown bool // no worker of the domain is left
	At         time.Time
	Runs       []Run
}

// Recent holds the crashes of the last moments.
type Recent struct{ events []Event }

// Withdrawal names a crash that coincides with others, so that it says nothing about the
// task any more.
type Withdrawal struct {
	Worker string
	Task   work.TaskKey
}

// Observe adds a crash and returns the crashes that it withdraws, its own among them.
//
// If all workers of a failure domain crash at the same moment, the domain has failed and
// no run is to blame, unless a run had just started on each of them. If several
// workers crash otherwise, a run that had just started still explains the crash of its
// own worker, and so do runs of a job that ran on two of them. All other runs are not to
// blame.
func (r *Recent) Observe(e Event) []Withdrawal {
	r.events = slices.DeleteFunc(r.events, func(o Event) bool { return e.At.Sub(o.At) > coincidence || o.At.Sub(e.At) > coincidence })
	others := r.events
	r.events = append(r.events, e)
	var withdrawn []Withdrawal
	inDomain := slices.DeleteFunc(slices.Clone(r.events), func(o Event) bool { return o.Domain != e.Domain })
	if e.DomainDown && len(inDomain) > 1 && slices.ContainsFunc(inDomain, Event.isUnexplained) {
		for _, o := range inDomain {
			withdrawn = append(withdrawn, o.withdrawals(func(Run) bool { return true })...)
		}
	}
	for _, o := range others {
		shared := commonJobs(e, o)
		isUnrelated := func(run Run) bool { return !run.isEarly() && !shared[run.Task.Job] }
		withdrawn = append(withdrawn, o.withdrawals(isUnrelated)...)
		withdrawn = append(withdrawn, e.withdrawals(isUnrelated)...)
	}
	return withdrawn
}

// isUnexplained reports whether no run had just started on the worker.
func (e Event) isUnexplained() bool { return !slices.ContainsFunc(e.Runs, Run.isEarly) }

func (e Event) withdrawals(applies func(Run) bool) []Withdrawal {
	var withdrawn []Withdrawal
	for _, run := range e.Runs {
		if applies(run) {
			withdrawn = append(withdrawn, Withdrawal{e.Worker, run.Task})
		}
	}
	return withdrawn
}

func commonJobs(a, b Event) map[string]bool {
	of := make(map[string]bool, len(a.Runs))
	for _, run := range a.Runs {
		of[run.Task.Job] = true
	}
	common := make(map[string]bool)
	for _, run := range b.Runs {
		if of[run.Task.Job] {
			common[run.Task.Job] = true
		}
	}
	return common
}
