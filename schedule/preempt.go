package schedule

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// yields reports whether a run makes room for the unit. Work within a
// guarantee yields to none, and other work of priority 0 only to a guarantee.
func yields(run Run, u *Unit) bool {
	return !run.Stopping && !run.Ending && !run.Pinned && !run.Reserved && (run.Priority > 0 || u.Reserved)
}

// preemptIn makes room for the unit where that stops least work, and reserves
// it.
func (p *pass) preemptIn(u *Unit, sets [][]*room) bool {
	var best *trade
	for _, set := range sets {
		if t := p.trade(u, set); t != nil && (best == nil || t.total < best.total) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	p.commit(best)
	return true
}

// trade finds the runs of a set of workers to stop for the unit, or returns
// nil if the unit does not fit even so.
func (p *pass) trade(u *Unit, rooms []*room) *trade {
	t := &trade{pass: p, unit: u, soon: make(map[*room]work.Shape), beside: maps.Clone(u.Beside), stopped: make(map[work.RunKey]bool)}
	for _, r := range p.rooms {
		t.soon[r] = r.soon
	}
	for range u.Indexes {
		r := t.cheapest(rooms)
		if r == nil {
			return nil
		}
		t.chosen = append(t.chosen, r)
	}
	return t
}

// commit carries a trade out.
func (p *pass) commit(t *trade) {
	for _, r := range p.rooms {
		for i := range r.Runs {
			run := &r.Runs[i]
			if t.stopped[run.Key] {
				run.Stopping = true
				r.soon = r.soon.Add(run.Demand)
				p.plan.Stops = append(p.plan.Stops, run.Key)
			}
		}
	}
	for _, r := range t.chosen {
		r.take(Demand(t.unit.step()))
		t.unit.Beside[r.ID]++
	}
}

// trade collects the runs that are stopped for one unit.
type trade struct {
	*pass
	unit    *Unit
	soon    map[*room]work.Shape
	beside  map[string]int
	stopped map[work.RunKey]bool
	chosen  []*room
	total   float64 // cost of the runs that are stopped
}

// cheapest takes room for one task at the worker where that stops least work.
func (t *trade) cheapest(rooms []*room) *room {
	d, s := Demand(t.unit.step()), t.unit.step()
	var best *room
	var bestVictims []Run
	bestCost := 0.0
	for _, r := range rooms {
		if s.MaxPerWorker > 0 && t.beside[r.ID] >= s.MaxPerWorker {
			continue
		}
		victims, cost, ok := t.victims(r, d)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = r, victims, cost
		}
	}
	if best == nil {
		return nil
	}
	for _, v := range bestVictims {
		t.stop(v)
	}
	t.total += bestCost
	t.soon[best] = t.soon[best].Sub(d)
	t.beside[best.ID]++
	return best
}

// stop ends a run and, if it is a member of a gang, all others of the gang.
func (t *trade) stop(v Run) {
	for _, r := range t.rooms {
		for _, run := range r.Runs {
			if !run.Stopping && !run.Ending && !t.stopped[run.Key] && (run.Key == v.Key || (v.Group != "" && run.Group == v.Group)) {
				t.stopped[run.Key] = true
				t.soon[r] = t.soon[r].Add(run.Demand)
			}
		}
	}
}

// victims returns the runs of one worker whose end makes room for the demand,
// cheapest first, and their cost.
func (t *trade) victims(r *room, d work.Shape) ([]Run, float64, bool) {
	left := t.soon[r]
	if d.Fits(left) {
		return nil, 0, true
	}
	var runs []Run
	for _, run := range r.Runs {
		if yields(run, t.unit) && !t.stopped[run.Key] {
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(t.cost([]Run{a}), t.cost([]Run{b})), -cmp.Compare(a.Priority, b.Priority))
	})
	var chosen []Run
	for _, run := range runs {
		if d.Fits(left) {
			break
		}
		chosen = append(chosen, run)
		left = left.Add(run.Demand)
	}
	if !d.Fits(left) {
		return nil, 0, false
	}
	return spare(chosen, left, d), t.cost(spare(chosen, left, d)), true
}

// spare drops the runs whose room is not needed.
func spare(chosen []Run, left, d work.Shape) []Run {
	return slices.DeleteFunc(slices.Clone(chosen), func(run Run) bool {
		if without := left.Sub(run.Demand); d.Fits(without) {
			left = without
			return true
		}
		return false
	})
}

const (
	// stopCost is added for each run, so that fewer are stopped.
	stopCost = 1.0 // core-seconds
	// urgentCost is added for a run of priority 0. Its job has hardly any time in
	// hand, so a stop makes it late, and the users price a late one like a
	// thousand core-seconds of lost work.
	urgentCost = 1000.0 // core-seconds
)

// cost is the work that is lost, with the other members of gangs, and what the
// stop of a run costs besides.
func (t *trade) cost(victims []Run) float64 {
	total := 0.0
	for _, v := range victims {
		for _, r := range t.rooms {
			for _, run := range r.Runs {
				if !t.stopped[run.Key] && (run.Key == v.Key || (v.Group != "" && run.Group == v.Group)) {
					total += run.Cost + stopCost
					if run.Priority == 0 {
						total += urgentCost
					}
				}
			}
		}
	}
	return total
}
