package schedule

import (
	"cmp"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// pass is the state of one decision.
type pass struct {
	rooms    []*room
	racks    int
	keep     float64 // cores left free by work that can wait
	keeping  bool    // the workers where it does are marked
	indexed  bool    // the occupants of the rooms are known
	cached   candidates
	changes  int // places and reservations so far
	failed   stepKey
	failedAt int // changes when a unit of that step found no place
	examined int // workers and runs looked at
	plan     Plan
}

// stepKey names what units of one step have in common.
type stepKey struct {
	job              string
	occurrence, step int
	failed, patient  bool
}

func keyOf(u *Unit) stepKey {
	return stepKey{u.Job.ID, u.Occurrence, u.Step, u.Failed, u.CanWait}
}

// Decide places as many units as fit, and stops runs for urgent ones. Work
// that can wait leaves keep cores free where most is free, for urgent work that
// is expected soon.
func Decide(workers []*Worker, units []*Unit, keep float64) Plan {
	p := newPass(workers, keep)
	p.run(units)
	return p.plan
}

func newPass(workers []*Worker, keep float64) *pass {
	p := &pass{keep: keep}
	endTogether(workers)
	for _, w := range workers {
		p.rooms = append(p.rooms, newRoom(w))
	}
	slices.SortFunc(p.rooms, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	racks := make(map[string]int)
	for i, r := range p.rooms {
		n, ok := racks[r.Rack]
		if !ok {
			n = len(racks)
			racks[r.Rack] = n
		}
		r.index, r.rack = i, n
	}
	p.racks = len(racks)
	return p
}

func (p *pass) run(units []*Unit) {
	order(units)
	for _, u := range units {
		p.decide(u)
	}
}

func (p *pass) decide(u *Unit) {
	// A unit like the one before, which found no place, finds none either as long
	// as nothing has changed.
	if !u.CompletesGang && keyOf(u) == p.failed && p.changes == p.failedAt {
		return
	}
	before := p.changes
	p.find(u)
	if p.changes == before {
		p.failed, p.failedAt = keyOf(u), before
	}
}

// find places a unit, or keeps or makes room for it.
func (p *pass) find(u *Unit) {
	sets, spread := p.sets(u)
	if u.CompletesGang {
		p.startIn(u, sets)
		return
	}
	if p.startIn(u, sets) || (u.MustStartNow && p.startIn(u, spread)) {
		return
	}
	// Room is made where the unit runs at its full speed before it is started
	// where it is slow: that takes as long as a stop.
	if u.makesRoom() && (p.reserveIn(u, sets) || p.preemptIn(u, sets)) {
		return
	}
	if spread == nil || p.startIn(u, spread) || !u.makesRoom() {
		return
	}
	if !p.reserveIn(u, spread) {
		p.preemptIn(u, spread)
	}
}

// startIn starts the unit in the first set of workers in which it fits now.
func (p *pass) startIn(u *Unit, sets [][]*room) bool {
	for _, set := range sets {
		if chosen := p.fit(u, set, free); chosen != nil {
			p.start(u, chosen)
			return true
		}
	}
	return false
}

// reserveIn keeps room for the unit in the first set in which it fits soon.
func (p *pass) reserveIn(u *Unit, sets [][]*room) bool {
	for _, set := range sets {
		if chosen := p.fit(u, set, soon); chosen != nil {
			p.reserve(u, chosen)
			return true
		}
	}
	return false
}

func (p *pass) reserve(u *Unit, chosen []*room) {
	p.changes++
	for _, r := range chosen {
		r.take(Demand(u.step()))
		u.TasksByWorker[r.ID]++
	}
}

func (p *pass) start(u *Unit, chosen []*room) {
	p.changes++
	for i, r := range chosen {
		r.place(Demand(u.step()))
		r.idle -= u.step().Shape.MilliCPU
		u.TasksByWorker[r.ID]++
		p.plan.Placements = append(p.plan.Placements, Placement{
			Task:   work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[i]},
			Worker: r.ID, Ticket: u.Tickets[r.ID],
		})
	}
}

func free(r *room) work.Shape { return r.free }

func soon(r *room) work.Shape { return r.soon }

func whole(r *room) work.Shape { return r.Capacity }

// fit chooses a worker for each task of the unit, or returns nil if they do
// not all fit.
func (p *pass) fit(u *Unit, rooms []*room, available func(*room) work.Shape) []*room {
	if !p.fits(u, rooms, available) {
		return nil
	}
	d, s := Demand(u.step()), u.step()
	left := make([]work.Shape, len(rooms))
	beside := make([]int, len(rooms))
	for i, r := range rooms {
		left[i] = available(r)
		if s.MaxPerWorker > 0 {
			beside[i] = u.TasksByWorker[r.ID]
		}
	}
	chosen := make([]*room, 0, len(u.Indexes))
	for range u.Indexes {
		best := -1
		p.examined += len(rooms)
		for i := range rooms {
			if !d.FitsIn(left[i]) || (s.MaxPerWorker > 0 && beside[i] >= s.MaxPerWorker) {
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

// fits reports whether all tasks of the unit fit, without choosing workers.
func (p *pass) fits(u *Unit, rooms []*room, available func(*room) work.Shape) bool {
	d, s := Demand(u.step()), u.step()
	need := int64(len(u.Indexes))
	for _, r := range rooms {
		p.examined++
		n := times(d, available(r), need)
		if s.MaxPerWorker > 0 {
			n = min(n, int64(s.MaxPerWorker-u.TasksByWorker[r.ID]))
		}
		if need -= max(0, n); need <= 0 {
			return true
		}
	}
	return need <= 0
}

// times is how often d fits in what is available, up to most.
func times(d, available work.Shape, most int64) int64 {
	if !d.FitsIn(available) {
		return 0
	}
	n := most
	if d.MilliCPU > 0 {
		n = min(n, available.MilliCPU/d.MilliCPU)
	}
	if d.MemoryMB > 0 {
		n = min(n, available.MemoryMB/d.MemoryMB)
	}
	if d.Accelerators > 0 {
		n = min(n, available.Accelerators/d.Accelerators)
	}
	return n
}

// better reports whether a is a better place than b. A suspect worker comes last. A
// best-effort task gets the most idle processor time; others go where least is
// left, so that whole workers stay free.
func better(s work.Step, a, b *room, leftA, leftB work.Shape) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if s.BestEffort {
		return a.idle > b.idle
	}
	return leftA.Cores() < leftB.Cores()
}
