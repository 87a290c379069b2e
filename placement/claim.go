package placement

import (
	"fmt"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// claim places a waiting job that its account's guarantee covers, or stops
// borrowed work for it. It reports whether the job was dealt with.
func (d *pass) claim(w *rosemarysill.WaitingJob) bool {
	unit, whole, ok := d.covering(w.Spec)
	if !ok {
		return false
	}
	within := d.claimable(w.Spec, unit, whole)
	if d.without[LeastReclaim] && whole && d.sets.at[unit] != nil {
		within = make(rooms, len(d.spare))
		for _, u := range d.sets.base[unit] {
			within[u.worker] = within[u.worker].Add(u.amount, 1)
		}
	}
	if at, ok := d.locateAvoiding(w, d.freeWithin(within)); ok {
		d.settleClaim(w.Spec, unit, whole, at)
		d.place(w.Spec, at, true)
		return true
	}
	if whole && !d.without[LeastReclaim] {
		if at, ok := d.locateAvoiding(w, d.fleet.free); ok && d.keepsSets(w.Spec, unit, at) {
			d.place(w.Spec, at, true)
			return true
		}
	}
	if d.searches >= maxSearches {
		d.book.Charge(w.Spec, unit, whole)
		d.hold(w.Spec, "waits for the next decision: many guarantees are claimed at once")
		return true
	}
	d.searches++
	v, ok := d.reclaim(w.Spec.Shape, within, (*holding).stoppable)
	if !ok && whole {
		v, ok = d.reclaimOwn(w, unit)
	}
	if !ok {
		return false
	}
	d.stop(v.jobs, w.Spec, fmt.Sprintf("account %s claims its guarantee", w.Spec.Account))
	d.settleClaim(w.Spec, unit, whole, v.at)
	d.withhold(w.Spec.Shape, v.at, nil)
	d.hold(w.Spec, "waits for borrowed work to stop")
	return true
}

// reclaimOwn stops the smaller jobs of the account that hold a part of the set
// of the unit, so that the whole gang can take exactly this set.
func (d *pass) reclaimOwn(w *rosemarysill.WaitingJob, unit int) (victims, bool) {
	if d.sets.at[unit] == nil {
		return victims{}, false
	}
	shape := w.Spec.Shape
	lent := make(rooms, len(d.spare))
	within := make(rooms, len(d.spare))
	for _, u := range usesOf(shape, d.sets.at[unit]) {
		lent[u.worker] = lent[u.worker].Add(u.amount, 1)
		within[u.worker] = within[u.worker].Add(u.amount, 1)
	}
	for _, u := range d.sets.base[unit] {
		lent[u.worker] = lent[u.worker].Sub(u.amount, 1)
	}
	var own []int
	for i := range d.held {
		h := &d.held[i]
		if !h.charged || h.whole || h.leaving || h.job.Spec.Account != w.Spec.Account {
			continue
		}
		for _, u := range h.uses {
			if lent[u.worker] != (account.Resources{}) {
				own = append(own, i)
				break
			}
		}
	}
	d.stop(own, w.Spec, fmt.Sprintf("account %s claims the whole gang", w.Spec.Account))
	for _, i := range own {
		for _, u := range d.held[i].uses {
			d.avail[u.worker] = d.avail[u.worker].Add(u.amount, 1)
			d.own[w.Spec.Account][u.worker] = d.own[w.Spec.Account][u.worker].Sub(u.amount, 1).Floor()
		}
	}
	// The claim takes its whole set, of which these jobs held a part.
	for n, u := range d.sets.base[unit] {
		d.sets.base[unit][n].amount = u.amount.Add(lent[u.worker], 1)
	}
	return d.reclaim(shape, within, (*holding).stoppable)
}

// covering returns the unit that a job may claim. A smaller job that is not
// idempotent claims none, because it could not be stopped when its account
// claims the whole unit.
func (d *pass) covering(spec rosemarysill.JobSpec) (unit int, whole, ok bool) {
	unit, whole, ok = d.book.Find(spec)
	return unit, whole, ok && (whole || spec.Idempotent) && d.book.WithinQuota(spec)
}

// claimable returns the amounts by worker within which a job may claim the unit
// so that all other sets stay whole. A whole gang may use its own set and
// whatever is spare; a smaller job stays in the set of its unit.
func (d *pass) claimable(spec rosemarysill.JobSpec, unit int, whole bool) rooms {
	within := make(rooms, len(d.spare))
	if whole {
		copy(within, d.spare)
	}
	need := account.MemberOf(d.book.Units()[unit].Shape)
	if whole {
		for _, u := range d.sets.base[unit] {
			within[u.worker] = within[u.worker].Add(u.amount, 1)
		}
	} else {
		for _, sh := range d.sets.at[unit] {
			within[sh.worker] = within[sh.worker].Add(need, sh.members)
		}
		for w, amount := range d.own[spec.Account] {
			within[w] = within[w].Sub(amount, 1).Floor()
		}
	}
	return within
}

// settleClaim enters a claim into the book and the sets. The set of a whole
// gang becomes spare but for what the gang holds; a smaller job holds a part of
// the set, which stays.
func (d *pass) settleClaim(spec rosemarysill.JobSpec, unit int, whole bool, at []share) {
	d.book.Charge(spec, unit, whole)
	held := usesOf(spec.Shape, at)
	for _, u := range held {
		d.avail[u.worker] = d.avail[u.worker].Sub(u.amount, 1).Floor()
	}
	if !whole {
		d.own.add(spec.Account, held)
		for _, u := range held {
			for n := range d.sets.base[unit] {
				if b := &d.sets.base[unit][n]; b.worker == u.worker {
					b.amount = b.amount.Sub(u.amount, 1)
				}
			}
		}
		return
	}
	for _, u := range d.sets.base[unit] {
		d.spare[u.worker] = d.spare[u.worker].Add(u.amount, 1)
	}
	for _, u := range held {
		d.spare[u.worker] = d.spare[u.worker].Sub(u.amount, 1).Floor()
	}
	d.sets.at[unit], d.sets.base[unit] = nil, nil
}

// keepsSets finds the sets anew with a gang placed that claims the unit, or
// none if unit is negative. It enters the placement unless a set that exists
// now would be short.
func (d *pass) keepsSets(spec rosemarysill.JobSpec, unit int, at []share) bool {
	if d.checks >= maxChecks {
		return false
	}
	d.checks++
	avail := append(rooms(nil), d.avail...)
	for _, u := range usesOf(spec.Shape, at) {
		avail[u.worker] = avail[u.worker].Sub(u.amount, 1).Floor()
	}
	units := append([]account.Unit(nil), d.book.Units()...)
	short := len(d.sets.short)
	if unit >= 0 {
		units[unit].Claimed = true
	}
	found := d.fleet.findSets(units, avail, d.own)
	if len(found.short) > short {
		return false
	}
	d.avail = avail
	d.enterSets(found)
	if unit >= 0 {
		d.book.Charge(spec, unit, true)
	}
	return true
}

// usesOf returns what the shares of a gang hold.
func usesOf(s rosemarysill.Shape, at []share) []use {
	held := make([]use, 0, len(at))
	for _, sh := range at {
		held = append(held, use{sh.worker, account.Resources{}.Add(account.MemberOf(s), sh.members)})
	}
	return held
}

// withhold takes the place of a gang that waits for stops out of what other
// jobs may use. The part that is free now is added to gap, if given.
func (d *pass) withhold(s rosemarysill.Shape, at []share, gap rooms) {
	for _, u := range usesOf(s, at) {
		free := u.amount.Min(d.fleet.free[u.worker])
		d.fleet.free[u.worker] = d.fleet.free[u.worker].Sub(free, 1)
		d.leaving[u.worker] = d.leaving[u.worker].Sub(u.amount.Sub(free, 1), 1).Floor()
		if gap != nil {
			gap[u.worker] = gap[u.worker].Add(free, 1)
		}
	}
}

func (d *pass) freeWithin(within rooms) rooms {
	in := make(rooms, len(within))
	for w := range in {
		in[w] = d.fleet.free[w].Min(within[w]).Floor()
	}
	return in
}

// locateAvoiding locates a waiting job, if possible away from the workers on
// which it failed.
func (d *pass) locateAvoiding(w *rosemarysill.WaitingJob, in rooms) ([]share, bool) {
	if len(w.FailedOn) > 0 && !d.without[AvoidFailed] {
		other := append(rooms(nil), in...)
		for _, name := range w.FailedOn {
			if i, ok := d.fleet.byName[name]; ok {
				other[i] = account.Resources{}
			}
		}
		if at, ok := d.fleet.locate(w.Spec.Shape, other, d.rule()); ok {
			return at, true
		}
	}
	return d.fleet.locate(w.Spec.Shape, in, d.rule())
}

// rule is the order of racks for new work.
func (d *pass) rule() rule {
	if d.without[BestFit] {
		return first
	}
	return tightest
}

func (d *pass) place(spec rosemarysill.JobSpec, at []share, guaranteed bool) {
	d.decision.Place = append(d.decision.Place, rosemarysill.PlaceDecision{
		Job: spec.ID, Slots: d.fleet.slots(spec.Shape, at), Guaranteed: guaranteed,
	})
}

func (d *pass) hold(spec rosemarysill.JobSpec, reason string) {
	d.decision.Hold = append(d.decision.Hold, rosemarysill.HoldDecision{Job: spec.ID, Reason: reason})
}
