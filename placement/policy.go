package placement

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// FailedWorkers is the number of different workers on which a job may fail
// before it is stopped.
const FailedWorkers = 3

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

// Decide places waiting jobs by class, then in order of submission.
func (p *policy) Decide(s rosemarysill.ClusterState, now time.Time) rosemarysill.Decision {
	var d rosemarysill.Decision
	f := newFleet(s)
	waiting := append([]rosemarysill.WaitingJob(nil), s.Waiting...)
	sort.SliceStable(waiting, func(i, j int) bool {
		return waiting[i].Spec.Class.Rank() < waiting[j].Spec.Class.Rank()
	})
	empty := emptyRooms(s.Workers)
	for _, w := range waiting {
		if r, ok := reject(f, s.Config, w, empty, now, p.timings); ok {
			d.Reject = append(d.Reject, r)
			continue
		}
		at, ok := f.locate(w.Spec.Shape, f.free)
		if !ok {
			d.Hold = append(d.Hold, rosemarysill.HoldDecision{Job: w.Spec.ID, Reason: "no free capacity of this shape"})
			continue
		}
		d.Place = append(d.Place, rosemarysill.PlaceDecision{Job: w.Spec.ID, Slots: f.slots(w.Spec.Shape, at)})
	}
	d.Examined = f.examined
	return d
}

// emptyRooms returns the whole capacity of each worker, usable or not.
func emptyRooms(workers []rosemarysill.WorkerState) []room {
	rooms := make([]room, len(workers))
	for i := range workers {
		rooms[i] = capacity(&workers[i])
	}
	return rooms
}

// reject ends a job that can never run. A shape that fits no known worker is
// rejected only after GangPatience, because an entry that has just taken over
// may not have heard from all workers.
func reject(f *fleet, cfg rosemarysill.Configuration, w rosemarysill.WaitingJob, empty []room, now time.Time,
	t rosemarysill.Timings) (rosemarysill.RejectDecision, bool) {
	s := w.Spec.Shape
	r := rosemarysill.RejectDecision{Job: w.Spec.ID}
	a, known := cfg.Account(w.Spec.Account)
	switch {
	case s.Members < 1 || s.Accelerators < 0 || s.Processors < 0 || s.MemoryMB < 0 || memberRoom(s) == room{}:
		r.Code, r.Detail = rosemarysill.ImpossibleShape, "the shape needs members and resources"
	case !known:
		r.Code, r.Detail = rosemarysill.UnknownAccount, fmt.Sprintf("account %q is not declared", w.Spec.Account)
	case a.QuotaAccelerators > 0 && s.TotalAccelerators() > a.QuotaAccelerators:
		r.Code = rosemarysill.QuotaExceeded
		r.Detail = fmt.Sprintf("%d accelerators exceed the quota of %d", s.TotalAccelerators(), a.QuotaAccelerators)
	case distinct(w.FailedOn) >= FailedWorkers:
		r.Code = rosemarysill.FailedEverywhere
		r.Detail = fmt.Sprintf("failed on %d workers", distinct(w.FailedOn))
	case now.Sub(w.Submitted) >= t.GangPatience:
		if _, ok := f.locate(s, empty); ok {
			return r, false
		}
		r.Code, r.Detail = rosemarysill.ImpossibleShape, "no set of workers can hold the shape"
	default:
		return r, false
	}
	return r, true
}

func distinct(names []string) int {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		seen[n] = true
	}
	return len(seen)
}
