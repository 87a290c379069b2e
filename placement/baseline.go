package placement

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// baseline is a policy to compare with. It places jobs in order of submission
// on the first workers that fit, knows no guarantees and stops nothing.
type baseline struct {
	name    string
	skip    bool // go on past a job that does not fit
	timings rosemarysill.Timings
}

// NewFirstInFirstOut returns the baseline that starts jobs strictly in order
// of submission.
func NewFirstInFirstOut(t rosemarysill.Timings) rosemarysill.Policy {
	return &baseline{name: "first in first out", timings: t}
}

// NewFirstFit returns the baseline that starts each job that fits, in order of
// submission.
func NewFirstFit(t rosemarysill.Timings) rosemarysill.Policy {
	return &baseline{name: "first fit", skip: true, timings: t}
}

// Name returns the name of the policy.
func (b *baseline) Name() string { return b.name }

// Decide places waiting jobs in order of submission.
func (b *baseline) Decide(s rosemarysill.ClusterState, now time.Time) rosemarysill.Decision {
	var d rosemarysill.Decision
	f := newFleet(s)
	failed := map[rosemarysill.Shape]bool{}
	blocked := false
	for i := range s.Waiting {
		w := &s.Waiting[i]
		if r, ok := reject(f, s.Config, w, now, b.timings); ok {
			d.Reject = append(d.Reject, r)
			continue
		}
		if !blocked && !failed[w.Spec.Shape] {
			if at, ok := f.locate(w.Spec.Shape, f.free, first); ok {
				d.Place = append(d.Place, rosemarysill.PlaceDecision{Job: w.Spec.ID, Slots: f.slots(w.Spec.Shape, at)})
				continue
			}
			failed[w.Spec.Shape] = true
			blocked = !b.skip
		}
		d.Hold = append(d.Hold, rosemarysill.HoldDecision{Job: w.Spec.ID, Reason: "no free capacity of this shape"})
	}
	d.Examined = f.examined
	return d
}
