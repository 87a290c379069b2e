package schedule

import "slices"

// maxBatchSearches bounds for how many batch gangs a pass looks for runs to stop. Such a
// search costs most of a decision in a large fleet, and the next pass looks further.
const maxBatchSearches = 4

// holdForBatch holds capacity for a batch gang whose slack runs out, in the rack where it
// is expected to fit soonest, or anywhere if it may be spread and no rack is expected to
// hold it. Without that, single tasks take each part of a rack that becomes free. Capacity
// of runs that are ending is held in any case, also that of runs that were stopped for the
// gang. If the stops of runs of lower priority cost less than the wait, these are stopped.
func (p *pass) holdForBatch(u *Unit, sets, spread [][]*workerState) {
	if !u.mayHold() {
		return
	}
	sets, spread = withoutHeld(sets), withoutHeld(spread)
	wait, chosen := p.soonestFit(u, sets)
	if chosen == nil && len(spread) > 0 {
		sets = spread
		wait, chosen = p.soonestFit(u, sets)
	}
	if wait > 0 && !u.slackRunsOut(wait) {
		return
	}
	if limit := u.avoidedLoss(wait); limit > 0 && p.batchSearches < maxBatchSearches {
		p.batchSearches++
		if best := p.cheapestPreemption(u, sets, limit, nil); best != nil {
			p.commit(u, best)
			return
		}
	}
	if chosen == nil {
		return
	}
	p.changes++
	for _, w := range chosen {
		w.hold(wait, Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
}

// withoutHeld returns the sets without the workers on which capacity is held for another
// unit.
func withoutHeld(sets [][]*workerState) [][]*workerState {
	left := make([][]*workerState, 0, len(sets))
	for _, set := range sets {
		left = append(left, slices.DeleteFunc(slices.Clone(set), func(w *workerState) bool { return w.held }))
	}
	return left
}
