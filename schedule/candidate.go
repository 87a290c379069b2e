package schedule

import (
	"cmp"
	"slices"
)

// keepRacks is the share of the racks that is left to urgent work by work that
// can wait. A fleet of a few racks can spare none: there it cost more than it
// gained.
const keepRacks = 0.17

// candidates are the workers that may run the units of a step.
type candidates struct {
	key   stepKey
	open  []*room
	racks [][]*room // in the order of their first workers
}

// sets returns the sets of workers to try in turn: those of one rack for a step
// that is slower elsewhere. The second result is tried when no rack has room,
// for work that cannot wait or that no rack could ever hold.
func (p *pass) sets(u *Unit) (sets, spread [][]*room) {
	s := u.step()
	c := p.candidates(u)
	racks := fullestFirst(c.racks)
	if s.DataRack == "" && (!s.Gang || !s.SameRack) {
		if u.CanWait && !s.Gang {
			racks = racks[:len(racks)-int(keepRacks*float64(len(racks)))]
			return [][]*room{p.unkept(slices.Concat(racks...))}, nil
		}
		return [][]*room{c.open}, nil
	}
	for _, rack := range racks {
		if s.DataRack == "" || rack[0].Rack == s.DataRack {
			sets = append(sets, rack)
		}
	}
	if u.Job.Priority == 0 || !p.holdsInRack(u, racks, s.DataRack) {
		spread = [][]*room{c.open}
	}
	return sets, spread
}

// candidates returns the workers that may run the unit. The units of a step
// follow each other, so the latest ones are kept.
func (p *pass) candidates(u *Unit) candidates {
	if key := keyOf(u); !u.CompletesGang && key == p.cached.key {
		return p.cached
	}
	s := u.step()
	c := candidates{key: keyOf(u)}
	p.examined += len(p.rooms)
	for _, r := range p.rooms {
		if _, ok := u.Tickets[r.ID]; (ok || !u.Job.Advised) && r.Schedulable && r.allows(u.Job, s) && u.joins(r.Worker) {
			c.open = append(c.open, r)
		}
	}
	if u.Failed {
		c.open = trusted(c.open)
	}
	c.racks = p.byRack(c.open)
	if !u.CompletesGang {
		p.cached = c
	}
	return c
}

// unkept leaves out the workers that are kept for urgent work: the emptiest
// ones, rack by rack, because urgent gangs need whole workers of one rack.
// Work that can wait has not been placed when they are chosen.
func (p *pass) unkept(rooms []*room) []*room {
	if !p.keeping {
		p.keeping = true
		left := p.keep
		racks := fullestFirst(p.byRack(p.rooms))
		for i := len(racks) - 1; i >= 0 && left > 0; i-- {
			slices.SortStableFunc(racks[i], func(a, b *room) int { return cmp.Compare(b.cores, a.cores) })
			for _, r := range racks[i] {
				if left > 0 && r.Schedulable {
					r.kept = true
					left -= r.cores
				}
			}
		}
	}
	return slices.DeleteFunc(rooms, func(r *room) bool { return r.kept })
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
func (p *pass) holdsInRack(u *Unit, racks [][]*room, near string) bool {
	return slices.ContainsFunc(racks, func(rack []*room) bool {
		return (near == "" || rack[0].Rack == near) && p.fits(u, rack, whole)
	})
}

// byRack divides workers by rack, in the order of the first ones.
func (p *pass) byRack(rooms []*room) [][]*room {
	place := make([]int, p.racks) // of each rack in the result, from 1; 0 if it is not there yet
	var racks [][]*room
	for _, r := range rooms {
		if place[r.rack] == 0 {
			racks = append(racks, nil)
			place[r.rack] = len(racks)
		}
		i := place[r.rack] - 1
		racks[i] = append(racks[i], r)
	}
	return racks
}

// fullestFirst orders racks by what is free, least first, so that whole racks
// stay free for large gangs.
func fullestFirst(racks [][]*room) [][]*room {
	type sized struct {
		rooms []*room
		cores float64
	}
	all := make([]sized, len(racks))
	for i, rooms := range racks {
		all[i].rooms = rooms
		for _, r := range rooms {
			all[i].cores += r.cores
		}
	}
	slices.SortStableFunc(all, func(a, b sized) int { return cmp.Compare(a.cores, b.cores) })
	ordered := make([][]*room, len(all))
	for i := range all {
		ordered[i] = all[i].rooms
	}
	return ordered
}
