package schedule

import (
	"math"
	"slices"
)

// placeOnFastWorkers starts the unit on workers of its MinSpeed. If they have no room, it
// reserves capacity or preempts runs there for an urgent unit, where that costs less than
// the delay: what the unit loses by being late if it can start elsewhere at once. It reports
// whether the unit starts or has a reservation.
func (p *pass) placeOnFastWorkers(u *Unit) bool {
	all := p.candidates(u)
	sets, _ := p.candidateSets(u, p.fasterThan(all, u.MinSpeed))
	if p.startIn(u, sets) {
		return true
	}
	if u.CompletesGang || u.MustStartNow || !u.mayPreempt() {
		return false
	}
	// Runs that end or stop soon may have been told to stop for this unit, so that less
	// than the time of a stop is left.
	if p.reserveIn(u, sets) {
		return true
	}
	if u.MinSpeedAfterStop <= 0 {
		return false
	}
	limit := math.Inf(1)
	if sets, _ := p.candidateSets(u, all); u.Forecast.Known() && p.fitsIn(u, sets) {
		limit = u.Forecast.LateLoss
	}
	sets, _ = p.candidateSets(u, p.fasterThan(all, u.MinSpeedAfterStop))
	return p.preemptIn(u, sets, limit)
}

// fitsIn reports whether the unit fits in the free capacity of one of the sets.
func (p *pass) fitsIn(u *Unit, sets [][]*workerState) bool {
	return slices.ContainsFunc(sets, func(set []*workerState) bool { return p.fits(u, set, u.freeCapacity) })
}

// startOnAlikeWorkers starts a gang on slow workers only, or else on others only, because
// a gang takes as long as its slowest member. A careful gang starts on alike workers only if
// no others are sounder, because a failed run costs more than a slow one. It reports false
// if the gang does not fit there, or if there are no slow workers.
func (p *pass) startOnAlikeWorkers(u *Unit) bool {
	if !u.step().Gang || len(u.Indexes) == 1 || u.CompletesGang {
		return false
	}
	all := p.candidates(u)
	slow := p.only(all, slowWorkers)
	if len(slow.eligible) == 0 || len(slow.eligible) == len(all.eligible) {
		return false
	}
	var alike [][]*workerState
	for _, c := range []candidates{slow, p.only(all, otherWorkers)} {
		sets, _ := p.candidateSets(u, c)
		alike = append(alike, sets...)
	}
	if u.Careful { // the first of equal risks counts
		sets, _ := p.candidateSets(u, all)
		alike = append(alike, sets...)
	}
	return p.startIn(u, alike)
}

// fasterThan returns the candidates of at least a speed.
func (p *pass) fasterThan(c candidates, speed float64) candidates {
	return p.only(c, func(workers []*workerState) []*workerState {
		return filter(workers, func(w *workerState) bool { return w.speed() >= speed })
	})
}

// only returns the candidates that a filter keeps.
func (p *pass) only(c candidates, keep func([]*workerState) []*workerState) candidates {
	p.examined += len(c.eligible)
	kept := candidates{key: c.key, eligible: keep(c.eligible)}
	kept.racks = p.groupByRack(kept.eligible)
	return kept
}

func slowWorkers(workers []*workerState) []*workerState {
	return filter(workers, func(w *workerState) bool { return w.Slow })
}

func otherWorkers(workers []*workerState) []*workerState {
	return filter(workers, func(w *workerState) bool { return !w.Slow })
}

func filter(workers []*workerState, keep func(*workerState) bool) []*workerState {
	return slices.DeleteFunc(slices.Clone(workers), func(w *workerState) bool { return !keep(w) })
}

// FitsOnFastWorkers reports whether there is free capacity for the unit on workers that are
// known to have its MinSpeed.
func FitsOnFastWorkers(workers []*Worker, u *Unit) bool {
	p := newPass(workers, 0)
	sets, _ := p.candidateSets(u, p.only(p.candidates(u), func(workers []*workerState) []*workerState {
		return filter(workers, func(w *workerState) bool { return w.speed() >= u.MinSpeed && !w.Unproven && !w.Suspect })
	}))
	return p.fitsIn(u, sets)
}
