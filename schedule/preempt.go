package schedule

import (
	"cmp"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// occupant is a run at its worker.
type occupant struct {
	*Run
	room  *room
	place int          // among the runs of its worker
	gang  *[]*occupant // the runs that end together with it, itself included
	cost  float64      // of its stop, with that of the others in gang
}

// yields reports whether a run makes room for the unit. Work within a guarantee
// yields to none. Other work of priority 0 that can be in time yields to a guarantee
// only, once that cannot wait any more; work that will be late, to what can be in
// time.
func (r *Run) yields(u *Unit) bool {
	if r.Stopping || r.EndsSoon || r.Pinned || r.Reserved {
		return false
	}
	return r.Priority > 0 || (r.Late && u.rank() <= AtRisk) || (u.Reserved && (u.MustStartNow || u.Timeliness > OnTime))
}

const (
	// stopCost is added for each run, so that fewer are stopped.
	stopCost = 1.0 // core-seconds
	// urgentCost is added for a run of priority 0. Its job has hardly any time in
	// hand, so a stop makes it late, and the users price a late one like a
	// thousand core-seconds of lost work.
	urgentCost = 1000.0 // core-seconds
	// lateCost is added instead if it will be late in any case, which counts a
	// fifth of one in time.
	lateCost = 200.0 // core-seconds
)

// lost is the work that is lost with a run, and what its stop costs besides.
func (r *Run) lost() float64 {
	switch {
	case r.Priority > 0:
		return r.Cost + stopCost
	case r.Late:
		return r.Cost + stopCost + lateCost
	default:
		return r.Cost + stopCost + urgentCost
	}
}

// index finds the occupants of all workers, cheapest first, and what the stop of
// each costs. Neither changes during a pass.
func (p *pass) index() {
	if p.indexed {
		return
	}
	p.indexed = true
	gangs := make(map[string]*[]*occupant)
	for _, r := range p.rooms {
		p.examined += len(r.Runs)
		for i := range r.Runs {
			o := &occupant{Run: &r.Runs[i], room: r, place: i}
			if o.gang = gangs[o.Group]; o.gang == nil || o.Group == "" {
				o.gang = new([]*occupant)
				gangs[o.Group] = o.gang
			}
			*o.gang = append(*o.gang, o)
			r.runs = append(r.runs, o)
		}
	}
	for _, r := range p.rooms {
		for _, o := range r.runs {
			for _, other := range *o.gang {
				o.cost += other.lost()
			}
		}
		slices.SortStableFunc(r.runs, func(a, b *occupant) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.Priority, b.Priority))
		})
	}
}

// preemptIn makes room for the unit where that stops least work, and reserves
// it.
func (p *pass) preemptIn(u *Unit, sets [][]*room) bool {
	p.index()
	var best *trade
	for _, set := range sets {
		if t := p.trade(u, set, best); t != nil {
			best = t
		}
	}
	if best == nil {
		return false
	}
	p.commit(u, best)
	return true
}

// commit carries a trade out.
func (p *pass) commit(u *Unit, t *trade) {
	slices.SortFunc(t.stops, func(a, b *occupant) int {
		return cmp.Or(cmp.Compare(a.room.index, b.room.index), cmp.Compare(a.place, b.place))
	})
	for _, o := range t.stops {
		o.Stopping = true
		o.room.soon = o.room.soon.Add(o.Demand)
		p.plan.Stops = append(p.plan.Stops, o.Key)
	}
	p.reserve(u, t.chosen)
}

// trade collects the runs that are stopped for one unit.
type trade struct {
	pass    *pass
	unit    *Unit
	demand  work.Shape
	rooms   map[*room]*offer
	stopped map[*occupant]bool
	stops   []*occupant
	chosen  []*room
	total   float64 // cost of the runs that are stopped
}

// offer is what a worker of a trade has for one more task.
type offer struct {
	room    *room
	soon    work.Shape
	beside  int
	known   bool // victims and cost are up to date
	victims []*occupant
	cost    float64
	ok      bool
}

// trade finds the runs of a set of workers to stop for the unit, or returns nil
// if the unit does not fit even so, or if that costs as much as the best one.
func (p *pass) trade(u *Unit, rooms []*room, best *trade) *trade {
	t := &trade{pass: p, unit: u, demand: Demand(u.step()), rooms: make(map[*room]*offer, len(rooms)), stopped: make(map[*occupant]bool)}
	offers := make([]*offer, len(rooms))
	for i, r := range rooms {
		offers[i] = &offer{room: r, soon: r.soon}
		if u.step().MaxPerWorker > 0 {
			offers[i].beside = u.TasksByWorker[r.ID]
		}
		t.rooms[r] = offers[i]
	}
	for range u.Indexes {
		o := t.cheapest(offers)
		if o == nil || (best != nil && t.total+o.cost >= best.total) {
			return nil
		}
		t.take(o)
	}
	return t
}

// cheapest returns the worker where room for one task stops least work.
func (t *trade) cheapest(offers []*offer) *offer {
	var best *offer
	t.pass.examined += len(offers)
	for _, o := range offers {
		if most := t.unit.step().MaxPerWorker; most > 0 && o.beside >= most {
			continue
		}
		if !o.known {
			t.update(o)
		}
		if o.ok && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	return best
}

// take takes room for one task at a worker.
func (t *trade) take(o *offer) {
	victims, cost := o.victims, o.cost
	for _, v := range victims {
		t.stop(v)
	}
	t.total += cost
	t.chosen = append(t.chosen, o.room)
	o.soon = o.soon.Sub(t.demand)
	o.beside++
	o.known = false
}

// stop ends a run and, if it is a member of a gang, all others of the gang.
func (t *trade) stop(v *occupant) {
	for _, o := range *v.gang {
		if o.Stopping || o.EndsSoon || t.stopped[o] {
			continue
		}
		t.stopped[o] = true
		t.stops = append(t.stops, o)
		if at := t.rooms[o.room]; at != nil {
			at.soon, at.known = at.soon.Add(o.Demand), false
		}
	}
}

// update finds the runs of a worker whose end makes room for one task, cheapest
// first, and their cost.
func (t *trade) update(o *offer) {
	o.known, o.victims, o.cost, o.ok = true, nil, 0, true
	left := o.soon
	if t.demand.FitsIn(left) {
		return
	}
	for _, run := range o.room.runs {
		t.pass.examined++
		if t.stopped[run] || !run.yields(t.unit) {
			continue
		}
		o.victims = append(o.victims, run)
		if left = left.Add(run.Demand); t.demand.FitsIn(left) {
			o.victims = spare(o.victims, left, t.demand)
			for _, v := range o.victims {
				o.cost += v.cost
			}
			return
		}
	}
	o.victims, o.ok = nil, false
}

// spare drops the runs whose room is not needed.
func spare(chosen []*occupant, left, d work.Shape) []*occupant {
	return slices.DeleteFunc(chosen, func(o *occupant) bool {
		if without := left.Sub(o.Demand); d.FitsIn(without) {
			left = without
			return true
		}
		return false
	})
}
