package schedule

import (
	"cmp"
	"slices"
)

// urgentRackShare is the share of the racks that deferrable single tasks without a
// DataRack leave free for urgent gangs, and the largest share in which deferrable gangs
// leave the urgent reserve free. It rounds down to none if there are fewer than six
// racks, where a rack kept free costs more than it gains.
const urgentRackShare = 0.17

// urgentRacks returns how many of the racks are left free by urgentRackShare.
func urgentRacks(racks [][]*workerState) int { return int(urgentRackShare * float64(len(racks))) }

// candidates are the workers that may run a unit.
type candidates struct {
	key      equivalenceKey
	eligible []*workerState
	withheld []*workerState   // not eligible only because of the risk that they fail the run
	racks    [][]*workerState // eligible, grouped by rack
}

// candidateSets returns the sets of workers to try in order. For a step that runs
// slower across racks, or away from its data, each set is a single rack, and spread
// is a fallback to all eligible workers: for an urgent unit, for one that has waited
// long enough, or for one that no rack can hold once the runs that end by themselves
// have ended. For any other step the only set is all eligible workers. A deferrable
// unit does not get the workers kept for urgent units, unless its data is in one rack.
func (p *pass) candidateSets(u *Unit, c candidates) (sets, spread [][]*workerState) {
	s := u.step()
	racks := fullestFirst(c.racks)
	leavesReserve := u.Deferrable && s.DataRack == ""
	if s.DataRack == "" && (!s.Gang || !s.SameRack) {
		switch {
		case leavesReserve && s.Gang:
			return [][]*workerState{p.withoutKept(s.Gang, c.eligible)}, nil
		case leavesReserve:
			n := len(racks) - urgentRacks(racks)
			open := slices.Concat(racks[:n]...)
			for _, rack := range racks[n:] {
				open = append(open, filter(rack, func(w *workerState) bool { return w.Slow || w.needsTrial() })...)
			}
			return [][]*workerState{p.withoutKept(s.Gang, open)}, nil
		default:
			return [][]*workerState{c.eligible}, nil
		}
	}
	for _, rack := range racks {
		if s.DataRack == "" || rack[0].Rack == s.DataRack {
			sets = append(sets, rack)
		}
	}
	if u.Job.Priority == 0 || u.AnyRack || !p.fitsReleasedRack(u, racks, s.DataRack) {
		spread = [][]*workerState{c.eligible}
	}
	if leavesReserve {
		for _, group := range [][][]*workerState{sets, spread} {
			for i := range group {
				group[i] = p.withoutKept(s.Gang, group[i])
			}
		}
	}
	return sets, spread
}

// candidates returns the workers that may run the unit. The result is cached for
// the next unit, because units of one step are scheduled consecutively. Each start changes
// that of an isolated unit.
func (p *pass) candidates(u *Unit) candidates {
	cacheable := !u.CompletesGang && !u.Isolated
	if key := keyOf(u); cacheable && key == p.cachedCandidates.key {
		return p.cachedCandidates
	}
	s := u.step()
	c := candidates{key: keyOf(u)}
	p.examined += len(p.workers)
	for _, w := range p.workers {
		if (u.Isolated && w.hasStarts) || (u.AvoidsRecentStarts && w.StartedRecently) {
			continue
		}
		if _, ok := u.Tickets[w.ID]; (ok || !u.Job.Advised) && w.Schedulable && w.canRun(u.Job, s) && u.satisfiesRackAffinity(w.Worker) {
			c.eligible = append(c.eligible, w)
		}
	}
	c.eligible, c.withheld = u.splitByRisk(c.eligible)
	c.racks = p.groupByRack(c.eligible)
	if cacheable {
		p.cachedCandidates = c
	}
	return c
}

// withoutKept returns the workers of all groups that are not kept for urgent work from
// deferrable gangs, or from deferrable single tasks. A single task may start where it
// shows the speed of the worker, on which urgent work depends.
func (p *pass) withoutKept(gang bool, groups ...[]*workerState) []*workerState {
	p.markUrgentReserve()
	return slices.DeleteFunc(slices.Concat(groups...), func(w *workerState) bool {
		return w.keptForUrgent && (!gang || w.keptFromGangs) && (gang || !w.needsTrial())
	})
}

// markUrgentReserve marks the workers that are kept for urgent work. They are chosen on
// the first call of a pass, before it places any unit that the urgent reserve applies
// to: the emptiest workers of the emptiest rack first, then those of the next rack,
// because urgent gangs need whole workers in one rack. Slow workers come after all others.
func (p *pass) markUrgentReserve() {
	if p.reserveMarked {
		return
	}
	p.reserveMarked = true
	remaining := p.urgentReserve
	racks := fullestFirst(p.groupByRack(p.workers))
	firstFromGangs := len(racks) - urgentRacks(racks)
	for _, slow := range []bool{false, true} {
		for i := len(racks) - 1; i >= 0 && remaining > 0; i-- {
			slices.SortStableFunc(racks[i], func(a, b *workerState) int { return cmp.Compare(b.freeCores, a.freeCores) })
			for _, w := range racks[i] {
				if remaining > 0 && w.Schedulable && w.Slow == slow {
					w.keptForUrgent, w.keptFromGangs = true, i >= firstFromGangs
					remaining -= w.freeCores
				}
			}
		}
	}
}

// fitsReleasedRack reports whether the whole unit will fit in one of the racks once all
// runs that end by themselves have ended. If dataRack is set, only that rack counts.
func (p *pass) fitsReleasedRack(u *Unit, racks [][]*workerState, dataRack string) bool {
	return slices.ContainsFunc(racks, func(rack []*workerState) bool {
		return (dataRack == "" || rack[0].Rack == dataRack) && p.fits(u, rack, releasableCapacity)
	})
}

// groupByRack groups workers by rack. Racks are in the order of their first workers.
func (p *pass) groupByRack(workers []*workerState) [][]*workerState {
	position := make([]int, p.rackCount) // index in racks plus 1, by rackIndex; 0 if absent
	var racks [][]*workerState
	for _, w := range workers {
		if position[w.rackIndex] == 0 {
			racks = append(racks, nil)
			position[w.rackIndex] = len(racks)
		}
		i := position[w.rackIndex] - 1
		racks[i] = append(racks[i], w)
	}
	return racks
}

// fullestFirst sorts racks by free capacity in ascending order (best fit), so that
// whole racks stay free for large gangs.
func fullestFirst(racks [][]*workerState) [][]*workerState {
	type rackCapacity struct {
		workers   []*workerState
		freeCores float64
	}
	byCapacity := make([]rackCapacity, len(racks))
	for i, workers := range racks {
		byCapacity[i].workers = workers
		for _, w := range workers {
			byCapacity[i].freeCores += w.freeCores
		}
	}
	slices.SortStableFunc(byCapacity, func(a, b rackCapacity) int { return cmp.Compare(a.freeCores, b.freeCores) })
	ordered := make([][]*workerState, len(byCapacity))
	for i := range byCapacity {
		ordered[i] = byCapacity[i].workers
	}
	return ordered
}
