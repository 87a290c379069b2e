package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// Option changes the policy that New returns.
type Option func(*policy)

// WithTimings sets the intervals that the policy uses.
func WithTimings(t rosemarysill.Timings) Option {
	return func(p *policy) { p.timings = t }
}

// Choice is a design choice that no promise requires. docs/MEASURES.md has a
// row for each, with and without it.
type Choice string

// The choices.
const (
	BestFit        Choice = "best fit"             // the tightest rack first, instead of the first that fits
	FairShare      Choice = "fair share"           // smallest borrowed share first, instead of submission order
	LeastReclaim   Choice = "least reclaim"        // reclaim where the least borrowed work stops, instead of the kept set
	Reservation    Choice = "reservation"          // large gangs get a reservation after GangPatience
	Backfill       Choice = "backfill"             // short stoppable jobs use the gap of a reservation
	StopOvertakers Choice = "stop overtakers"      // smaller jobs that started while a large gang waited are stopped for it
	LeaveDomains   Choice = "leave domains"        // jobs in a domain that is out continue elsewhere
	AvoidFailed    Choice = "avoid failed workers" // a job is tried on a worker on which it has not failed
)

// Choices returns all choices.
func Choices() []Choice {
	return []Choice{BestFit, FairShare, LeastReclaim, Reservation, Backfill, StopOvertakers, LeaveDomains, AvoidFailed}
}

// Without leaves out design choices, to measure what each is worth.
func Without(choices ...Choice) Option {
	return func(p *policy) {
		for _, c := range choices {
			p.without[c] = true
		}
	}
}

type policy struct {
	timings rosemarysill.Timings
	without map[Choice]bool
}

// New returns the placement policy of docs/design.md, section 6.6.
func New(opts ...Option) rosemarysill.Policy {
	p := &policy{timings: rosemarysill.DefaultTimings(), without: map[Choice]bool{}}
	for _, set := range opts {
		set(p)
	}
	return p
}

// Name returns the name of the policy.
func (p *policy) Name() string { return "rosemarysill" }

// Decide first serves the jobs that their accounts' guarantees cover, by class
// in order of submission, then the others by class and fair share.
func (p *policy) Decide(s rosemarysill.ClusterState, now time.Time) rosemarysill.Decision {
	d := newPass(p, s, now)
	if !p.without[LeaveDomains] {
		d.leaveDomains()
	}
	d.charge()
	claims := make([]int, 0, len(s.Waiting))
	for i := range s.Waiting {
		if r, ok := reject(d.fleet, s.Config, &s.Waiting[i], now, p.timings); ok {
			d.decision.Reject = append(d.decision.Reject, r)
			continue
		}
		claims = append(claims, i)
	}
	sort.SliceStable(claims, func(i, j int) bool {
		a, b := &s.Waiting[claims[i]].Spec, &s.Waiting[claims[j]].Spec
		// Whole gangs go before smaller jobs: a smaller job that took a part of
		// the unit first would be stopped for the gang in the same decision.
		if x, y := d.book.Grants(*a), d.book.Grants(*b); x != y {
			return x
		}
		return a.Class.Rank() < b.Class.Rank()
	})
	rest := make([]bool, len(s.Waiting))
	for _, i := range claims {
		rest[i] = !d.claim(&s.Waiting[i])
	}
	d.reserve(rest)
	if p.without[FairShare] {
		for _, i := range claims {
			if rest[i] {
				d.borrow(&s.Waiting[i])
			}
		}
		clear(rest)
	}
	queue := account.NewQueue(s.Waiting, rest, d.book)
	for i, ok := queue.Next(); ok; i, ok = queue.Next() {
		d.borrow(&s.Waiting[i])
	}
	d.decision.Examined = d.fleet.examined
	return d.decision
}

// leaveDomains stops idempotent jobs with a member in a failure domain that is
// out, so that they continue elsewhere.
func (d *pass) leaveDomains() {
	for i := range d.held {
		h := &d.held[i]
		if h.leaving || !h.job.Spec.Idempotent {
			continue
		}
		for _, u := range h.uses {
			w := d.fleet.workers[u.worker].state
			if !w.Usable && d.state.Config.DomainOut(w.Identity.Domain) {
				d.stop([]int{i}, rosemarysill.JobSpec{}, fmt.Sprintf("failure domain %s is out", w.Identity.Domain))
				break
			}
		}
	}
}
