package placement

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// rooms is an amount of resources by worker.
type rooms []account.Resources

// worker is a worker of the fleet with its accelerators by index.
type worker struct {
	state *rosemarysill.WorkerState
	rack  int
	taken []bool // by accelerator index
}

// rack is the set of workers with one rack name in one failure domain.
type rack struct {
	domain  int
	workers []int
}

// fleet is the capacity of all workers, indexed by rack and failure domain.
// The examined count is the cost of the decision that uses it.
type fleet struct {
	workers  []worker
	byName   map[string]int
	racks    []rack
	domains  [][]int // racks by domain
	all      []int   // all racks
	total    account.Resources
	empty    rooms                       // whole capacity, of unusable workers too
	free     rooms                       // zero on unusable workers
	placed   [][]use                     // by placed job
	fits     map[rosemarysill.Shape]bool // shapes that the empty fleet holds or not
	examined int

	counts  []int  // scratch of locate, by rack
	left    rooms  // scratch of locate, by rack
	used    []bool // scratch of cover, by rack
	inScope []bool // scratch of gauge, by rack
}

// newFleet returns the fleet with the slots of all placed jobs taken.
func newFleet(s rosemarysill.ClusterState) *fleet {
	f := &fleet{
		workers: make([]worker, len(s.Workers)),
		byName:  make(map[string]int, len(s.Workers)),
		empty:   make(rooms, len(s.Workers)),
		free:    make(rooms, len(s.Workers)),
		fits:    map[rosemarysill.Shape]bool{},
	}
	type rackKey struct{ domain, rack string }
	racks := map[rackKey]int{}
	domains := map[string]int{}
	for i := range s.Workers {
		w := &s.Workers[i]
		id := &w.Identity
		d, ok := domains[id.Domain]
		if !ok {
			d = len(f.domains)
			domains[id.Domain] = d
			f.domains = append(f.domains, nil)
		}
		key := rackKey{id.Domain, id.Rack}
		r, ok := racks[key]
		if !ok {
			r = len(f.racks)
			racks[key] = r
			f.racks = append(f.racks, rack{domain: d})
			f.domains[d] = append(f.domains[d], r)
			f.all = append(f.all, r)
		}
		f.racks[r].workers = append(f.racks[r].workers, i)
		f.workers[i] = worker{state: w, rack: r, taken: make([]bool, max(id.Accelerators, 0))}
		f.byName[id.Name] = i
		f.empty[i] = account.CapacityOf(*id).Floor()
		f.total = f.total.Add(f.empty[i], 1)
		if w.Usable {
			f.free[i] = f.empty[i]
		}
	}
	f.counts = make([]int, len(f.racks))
	f.left = make(rooms, len(f.racks))
	f.used = make([]bool, len(f.racks))
	f.inScope = make([]bool, len(f.racks))
	f.placed = make([][]use, len(s.Placed))
	for i := range s.Placed {
		f.placed[i] = f.uses(s.Placed[i].Spec.Shape, s.Placed[i].Slots)
		for _, u := range f.placed[i] {
			f.free[u.worker] = f.free[u.worker].Sub(u.amount, 1).Floor()
		}
	}
	return f
}

// use is an amount that one member of a gang holds on a worker.
type use struct {
	worker int
	amount account.Resources
}

// uses marks the accelerators of the slots as taken and returns what the slots
// hold. Accelerators are counted by index, so that a report that names one
// twice or out of range leaves the count and the indexes in agreement.
func (f *fleet) uses(s rosemarysill.Shape, slots []rosemarysill.Slot) []use {
	held := make([]use, 0, len(slots))
	for _, slot := range slots {
		i, ok := f.byName[slot.Worker]
		if !ok {
			continue
		}
		amount := account.MemberOf(s)
		amount.Accelerators = 0
		for _, a := range slot.Accelerators {
			if a >= 0 && a < len(f.workers[i].taken) && !f.workers[i].taken[a] {
				f.workers[i].taken[a] = true
				amount.Accelerators++
			}
		}
		held = append(held, use{i, amount})
	}
	return held
}

// share is a number of members of a gang on one worker.
type share struct {
	worker, members int
}

// slots returns slots for the members of a gang, with the lowest accelerators
// that are not taken, and takes them.
func (f *fleet) slots(s rosemarysill.Shape, at []share) []rosemarysill.Slot {
	slots := make([]rosemarysill.Slot, 0, s.Members)
	for _, sh := range at {
		w := &f.workers[sh.worker]
		next := 0
		for range sh.members {
			slot := rosemarysill.Slot{Worker: w.state.Identity.Name, Boot: w.state.Identity.Boot}
			for ; len(slot.Accelerators) < s.Accelerators && next < len(w.taken); next++ {
				if !w.taken[next] {
					w.taken[next] = true
					slot.Accelerators = append(slot.Accelerators, next)
				}
			}
			slots = append(slots, slot)
		}
		f.free[sh.worker] = f.free[sh.worker].Sub(account.MemberOf(s), sh.members).Floor()
	}
	return slots
}
