package placement

import (
	"fmt"
	"sort"
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
	d.hold(w.Spec, "no free capacity of this shape")
}

// locateBorrowed finds room for a job that borrows. Work that can be stopped
// goes anywhere, also into the guaranteed sets, else into the gap of a
// reservation. Work that must not be stopped goes only where no set
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

// large reports whether a gang needs more than half of the largest worker on one
// worker or more than the largest worker in all, so that smaller jobs can keep it
// from ever fitting.
func (d *pass) large(s rosemarysill.Shape) bool {
	return s.Members > 1 && s.TotalAccelerators() > d.largest || s.Accelerators > 1 && 2*s.Accelerators > d.largest
}

// reserve gives large gangs that have waited longer than GangPatience a place
// before other jobs borrow, so that smaller jobs of any class do not keep them
// from ever fitting. Only accounts with the smallest share get one: without it an
// account could keep its share by asking for it in small jobs, and with one for
// other accounts the large jobs would always go before the small ones.
func (d *pass) reserve(rest []bool) {
	if d.without[Reservation] {
		return
	}
	var gangs []int
	shares := make(map[string]float64)
	smallest := 1.0
	for i := range d.state.Waiting {
		w := &d.state.Waiting[i]
		if !rest[i] {
			continue
		}
		if name := w.Spec.Account; shares[name] == 0 {
			shares[name] = d.book.Share(name)
			smallest = min(smallest, shares[name])
		}
		if d.large(w.Spec.Shape) && d.now.Sub(w.Submitted) >= d.timings.GangPatience {
			gangs = append(gangs, i)
		}
	}
	sort.SliceStable(gangs, func(i, j int) bool {
		return shares[d.state.Waiting[gangs[i]].Spec.Account] < shares[d.state.Waiting[gangs[j]].Spec.Account]
	})
	for _, i := range gangs {
		w := &d.state.Waiting[i]
		if d.reserved >= maxReservations || d.book.Share(w.Spec.Account) > smallest {
			break
		}
		if !d.book.WithinQuota(w.Spec) {
			continue
		}
		if at, ok := d.locateBorrowed(w); ok {
			d.book.Borrow(w.Spec)
			d.place(w.Spec, at, false)
			rest[i] = false
			continue
		}
		if until, ok := d.reserveFor(w); ok {
			d.hold(w.Spec, fmt.Sprintf("capacity is reserved until %s", until.UTC().Format(time.RFC3339)))
			rest[i] = false
		}
	}
}

// reserveFor makes room for a large gang. Smaller borrowed jobs that started
// while it waited longer than GangPatience are stopped if that is enough. Large
// gangs are not, since two of them would stop each other without end. Otherwise
// it withholds the place that lacks the least, with the time at which it
// is expected to be free as the deadline. Both are found anew with each decision.
func (d *pass) reserveFor(w *rosemarysill.WaitingJob) (time.Time, bool) {
	if d.searches < maxSearches && !d.without[StopOvertakers] {
		d.searches++
		within := d.usable
		if !w.Spec.Idempotent {
			within = d.spare
		}
		since := w.Submitted.Add(d.timings.GangPatience)
		v, ok := d.reclaim(w.Spec.Shape, within, func(h *holding) bool {
			return h.stoppable() && !d.large(h.job.Spec.Shape) && h.job.Started.After(since)
		})
		if ok {
			d.stop(v.jobs, w.Spec, "smaller jobs that overtook a large gang make room for it")
			d.withhold(w.Spec.Shape, v.at, nil)
			d.reserved++
			return d.now.Add(d.timings.ReclaimWithin), true
		}
	}
	// Guaranteed claims come and go in the kept sets, so that a place there may
	// never become free.
	at, until, ok := d.nearest(w.Spec.Shape, d.spare)
	if !ok && w.Spec.Idempotent {
		at, until, ok = d.nearest(w.Spec.Shape, d.usable)
	}
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
