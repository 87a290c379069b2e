package placement

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// failure is a kind of job that found no room in this decision. Room only
// shrinks during a decision, so that no other job of the kind is tried.
type failure struct {
	shape      rosemarysill.Shape
	idempotent bool
	inGap      bool
}

// borrow places a waiting job outside its account's guarantee, or holds it.
func (d *pass) borrow(w *rosemarysill.WaitingJob) {
	if !d.book.WithinQuota(w.Spec) {
		d.hold(w.Spec, "the account's quota is used")
		return
	}
	if d.probe(w) {
		return
	}
	at, ok := d.locateBorrowed(w)
	if ok {
		d.book.Borrow(w.Spec)
		d.place(w.Spec, at, false)
		return
	}
	if !d.without[Reservation] && d.large(w.Spec.Shape) && d.now.Sub(w.Submitted) >= d.timings.GangPatience && d.reserved < maxReservations {
		if until, ok := d.reserve(w); ok {
			d.hold(w.Spec, fmt.Sprintf("capacity is reserved until %s", until.UTC().Format(time.RFC3339)))
			return
		}
	}
	d.hold(w.Spec, "no free capacity of this shape")
}

// locateBorrowed finds room for a job that borrows. Work that can be stopped
// goes outside the guaranteed sets if it fits there, else into them or into the
// gap of a reservation. Work that must not be stopped goes only where no set
// becomes short.
func (d *pass) locateBorrowed(w *rosemarysill.WaitingJob) ([]share, bool) {
	kind := failure{shape: w.Spec.Shape, idempotent: w.Spec.Idempotent}
	if !w.Spec.Idempotent {
		if d.failed[kind] {
			return nil, false
		}
		if at, ok := d.locateAvoiding(w, d.freeWithin(d.spare)); ok {
			for _, u := range usesOf(w.Spec.Shape, at) {
				d.avail[u.worker] = d.avail[u.worker].Sub(u.amount, 1).Floor()
				d.spare[u.worker] = d.spare[u.worker].Sub(u.amount, 1).Floor()
			}
			return at, true
		}
		if at, ok := d.locateAvoiding(w, d.fleet.free); ok && d.keepsSets(w.Spec, -1, at) {
			return at, true
		}
		d.failed[kind] = true
		return nil, false
	}
	if !d.failed[kind] {
		open := make(rooms, len(d.kept))
		for i := range open {
			open[i] = d.fleet.free[i].Sub(d.kept[i], 1).Floor()
		}
		if at, ok := d.locateAvoiding(w, open); ok && !d.without[OutsideSets] {
			return at, true
		}
		if at, ok := d.locateAvoiding(w, d.fleet.free); ok {
			return at, true
		}
		d.failed[kind] = true
	}
	kind.inGap = true
	if d.without[Backfill] || d.reserved == 0 || d.failed[kind] || d.now.Add(d.runTime(w.Spec)).After(d.gapUntil) {
		return nil, false
	}
	both := make(rooms, len(d.gap))
	for i := range both {
		both[i] = d.fleet.free[i].Add(d.gap[i], 1)
	}
	at, ok := d.locateAvoiding(w, both)
	if !ok {
		d.failed[kind] = true
		return nil, false
	}
	for _, u := range usesOf(w.Spec.Shape, at) {
		beyond := u.amount.Sub(d.fleet.free[u.worker], 1).Floor()
		d.gap[u.worker] = d.gap[u.worker].Sub(beyond, 1)
	}
	return at, true
}

// large reports whether a gang needs more than half of the largest worker, so
// that smaller jobs can keep it from ever fitting.
func (d *pass) large(s rosemarysill.Shape) bool {
	return s.Members > 1 || s.Accelerators > 1 && 2*s.Accelerators > d.largest
}

// reserve withholds capacity for a large gang that has waited longer than
// GangPatience: the place that is expected to be free first, with that time as
// the deadline. It is found anew with each decision.
func (d *pass) reserve(w *rosemarysill.WaitingJob) (time.Time, bool) {
	within := d.usable
	if !w.Spec.Idempotent {
		within = d.spare
	}
	at, until, ok := d.earliest(w.Spec.Shape, within)
	if !ok {
		return until, false
	}
	d.withhold(w.Spec.Shape, at, d.gap)
	if d.reserved == 0 || until.Before(d.gapUntil) {
		d.gapUntil = until
	}
	d.reserved++
	return until, true
}

// probe places a job with one member on a quarantined worker that is due for a
// trial. It reports whether it did.
func (d *pass) probe(w *rosemarysill.WaitingJob) bool {
	s := w.Spec
	if len(d.probes) == 0 || s.Shape.Members != 1 || !s.Idempotent || s.Class == rosemarysill.Urgent {
		return false
	}
	for n, i := range d.probes {
		if d.fleet.empty[i].Members(account.MemberOf(s.Shape), 1) == 0 ||
			contains(w.FailedOn, d.fleet.workers[i].state.Identity.Name) {
			continue
		}
		d.probes = append(d.probes[:n], d.probes[n+1:]...)
		d.book.Borrow(s)
		d.place(s, []share{{i, 1}}, false)
		return true
	}
	return false
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
