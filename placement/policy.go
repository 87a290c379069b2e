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

type policy struct {
	timings rosemarysill.Timings
}

// New returns the placement policy of docs/design.md, section 6.6.
func New(opts ...Option) rosemarysill.Policy {
	p := &policy{timings: rosemarysill.DefaultTimings()}
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
	d.leaveDomains()
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
		return s.Waiting[claims[i]].Spec.Class.Rank() < s.Waiting[claims[j]].Spec.Class.Rank()
	})
	rest := make([]bool, len(s.Waiting))
	for _, i := range claims {
		rest[i] = !d.claim(&s.Waiting[i])
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
