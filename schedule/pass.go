package schedule

import (
	"cmp"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// pass is the state of one decision.
type pass struct {
	rooms []*room
	keep  float64        // cores that patient work leaves free
	kept  map[*room]bool // the workers where it does; nil until that is needed
	plan  Plan
}

// keepRacks is the part of the racks that patient work leaves to urgent work. A
// fleet of a few racks can spare none: there it cost more than it gained.
const keepRacks = 0.17

// Decide places as many units as fit, and stops runs for urgent ones. Patient
// work leaves keep cores free where most is free, for urgent work that is
// expected soon.
func Decide(workers []*Worker, units []*Unit, keep float64) Plan {
	p := &pass{keep: keep}
	endTogether(workers)
	for _, w := range workers {
		p.rooms = append(p.rooms, newRoom(w))
	}
	slices.SortFunc(p.rooms, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	order(units)
	for _, u := range units {
		p.decide(u)
	}
	return p.plan
}

func (p *pass) decide(u *Unit) {
	sets, spread := p.candidates(u)
	if u.Rest {
		p.startIn(u, sets)
		return
	}
	if p.startIn(u, sets) || (u.Pressed && p.startIn(u, spread)) {
		return
	}
	// Room is made where the unit runs at its full speed before it is started
	// where it is slow: that takes as long as a stop.
	urgent := u.Job.Priority == 0
	if urgent && (p.reserveIn(u, sets) || p.preemptIn(u, sets)) {
		return
	}
	if spread == nil || p.startIn(u, spread) || !urgent {
		return
	}
	if !p.reserveIn(u, spread) {
		p.preemptIn(u, spread)
	}
}

// startIn starts the unit in the first set of workers in which it fits now.
func (p *pass) startIn(u *Unit, sets [][]*room) bool {
	for _, set := range sets {
		if chosen := fit(u, set, func(r *room) work.Shape { return r.free }); chosen != nil {
			p.start(u, chosen)
			return true
		}
	}
	return false
}

// reserveIn keeps room for the unit in the first set in which it fits soon.
func (p *pass) reserveIn(u *Unit, sets [][]*room) bool {
	for _, set := range sets {
		if chosen := fit(u, set, func(r *room) work.Shape { return r.soon }); chosen != nil {
			for _, r := range chosen {
				r.take(Demand(u.step()))
				u.Beside[r.ID]++
			}
			return true
		}
	}
	return false
}

func (p *pass) start(u *Unit, chosen []*room) {
	for i, r := range chosen {
		r.place(Demand(u.step()))
		r.idle -= u.step().Shape.MilliCPU
		u.Beside[r.ID]++
		p.plan.Places = append(p.plan.Places, Place{
			Task:   work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[i]},
			Worker: r.ID, Ticket: u.Advised[r.ID],
		})
	}
}

// candidates returns the sets of workers to try in turn: those of one rack for
// a step that is slower elsewhere. The second result is tried when no rack has
// room, for work that cannot wait or that no rack could ever hold.
func (p *pass) candidates(u *Unit) (sets, spread [][]*room) {
	s := u.step()
	var open []*room
	for _, r := range p.rooms {
		if _, ok := u.Advised[r.ID]; (ok || !u.Job.Advised) && r.Open && r.allows(u.Job, s) && u.joins(r) {
			open = append(open, r)
		}
	}
	if u.Failed {
		open = trusted(open)
	}
	racks := byRack(open)
	if s.DataRack == "" && (!s.Gang || !s.SameRack) {
		if u.Patient && !s.Gang {
			racks = racks[:len(racks)-int(keepRacks*float64(len(racks)))]
			return [][]*room{p.unkept(slices.Concat(racks...))}, nil
		}
		return [][]*room{open}, nil
	}
	for _, rack := range racks {
		if s.DataRack == "" || rack[0].Rack == s.DataRack {
			sets = append(sets, rack)
		}
	}
	if u.Job.Priority == 0 || !holdsInRack(u, racks, s.DataRack) {
		spread = [][]*room{open}
	}
	return sets, spread
}

// unkept leaves out the workers that are kept for urgent work: the emptiest
// ones, rack by rack, because urgent gangs need whole workers of one rack.
// Patient work has not been placed when they are chosen.
func (p *pass) unkept(rooms []*room) []*room {
	if p.kept == nil {
		p.kept = make(map[*room]bool)
		left := p.keep
		racks := byRack(p.rooms)
		for i := len(racks) - 1; i >= 0 && left > 0; i-- {
			slices.SortStableFunc(racks[i], func(a, b *room) int { return cmp.Compare(b.free.Cores(), a.free.Cores()) })
			for _, r := range racks[i] {
				if left > 0 && r.Open {
					p.kept[r] = true
					left -= r.free.Cores()
				}
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool { return p.kept[r] })
}

// trusted leaves suspect workers out, unless all are.
func trusted(rooms []*room) []*room {
	sound := slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool { return r.Suspect })
	if len(sound) == 0 {
		return rooms
	}
	return sound
}

// holdsInRack reports whether a rack could hold the whole unit if it were
// empty.
func holdsInRack(u *Unit, racks [][]*room, near string) bool {
	for _, rack := range racks {
		if near != "" && rack[0].Rack != near {
			continue
		}
		if fit(u, rack, func(r *room) work.Shape { return r.Capacity }) != nil {
			return true
		}
	}
	return false
}

func byRack(rooms []*room) [][]*room {
	index := make(map[string]int)
	var racks [][]*room
	for _, r := range rooms {
		i, ok := index[r.Rack]
		if !ok {
			i = len(racks)
			index[r.Rack] = i
			racks = append(racks, nil)
		}
		racks[i] = append(racks[i], r)
	}
	// The rack with the least free accelerators comes first, so that whole
	// racks stay free for large gangs.
	slices.SortStableFunc(racks, func(a, b []*room) int { return cmp.Compare(freeCores(a), freeCores(b)) })
	return racks
}

func freeCores(rooms []*room) float64 {
	var n float64
	for _, r := range rooms {
		n += r.free.Cores()
	}
	return n
}

// fit chooses a worker for each task of the unit, or returns nil if they do
// not all fit.
func fit(u *Unit, rooms []*room, available func(*room) work.Shape) []*room {
	d, s := Demand(u.step()), u.step()
	left := make([]work.Shape, len(rooms))
	beside := make([]int, len(rooms))
	for i, r := range rooms {
		left[i], beside[i] = available(r), u.Beside[r.ID]
	}
	chosen := make([]*room, 0, len(u.Indexes))
	for range u.Indexes {
		best := -1
		for i := range rooms {
			if !d.Fits(left[i]) || (s.MaxPerWorker > 0 && beside[i] >= s.MaxPerWorker) {
				continue
			}
			if best < 0 || better(s, rooms[i], rooms[best], left[i], left[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		left[best] = left[best].Sub(d)
		beside[best]++
		chosen = append(chosen, rooms[best])
	}
	return chosen
}

// better reports whether a is a better place than b. A suspect worker comes
// last. A task that fills gets
// the most idle processor time; others go where least is left, so that whole
// workers stay free.
func better(s work.Step, a, b *room, leftA, leftB work.Shape) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if s.Fills {
		return a.idle > b.idle
	}
	return leftA.Cores() < leftB.Cores()
}
