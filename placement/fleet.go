package placement

import (
	"github.com/rosemarysill/rosemarysill"
)

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
	free     []room  // by worker; zero on unusable workers
	examined int
}

// newFleet returns the fleet with the slots of all placed jobs taken.
func newFleet(s rosemarysill.ClusterState) *fleet {
	f := &fleet{
		workers: make([]worker, len(s.Workers)),
		byName:  make(map[string]int, len(s.Workers)),
		free:    make([]room, len(s.Workers)),
	}
	type rackKey struct{ domain, rack string }
	racks := map[rackKey]int{}
	domains := map[string]int{}
	for i := range s.Workers {
		w := &s.Workers[i]
		id := w.Identity
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
		}
		f.racks[r].workers = append(f.racks[r].workers, i)
		f.workers[i] = worker{state: w, rack: r, taken: make([]bool, max(id.Accelerators, 0))}
		f.byName[id.Name] = i
		if w.Usable {
			f.free[i] = capacity(w)
		}
	}
	for i := range s.Placed {
		f.take(s.Placed[i].Spec.Shape, s.Placed[i].Slots)
	}
	return f
}

func capacity(w *rosemarysill.WorkerState) room {
	return room{w.Identity.Accelerators, w.Identity.Processors, w.Identity.MemoryMB}
}

// take marks the slots of a gang as taken. Accelerators are counted by index, so
// that a report that names one twice or out of range leaves the count and the
// indexes in agreement.
func (f *fleet) take(s rosemarysill.Shape, slots []rosemarysill.Slot) {
	need := memberRoom(s)
	for _, slot := range slots {
		i, ok := f.byName[slot.Worker]
		if !ok {
			continue
		}
		used := need
		used.accelerators = 0
		for _, a := range slot.Accelerators {
			if a >= 0 && a < len(f.workers[i].taken) && !f.workers[i].taken[a] {
				f.workers[i].taken[a] = true
				used.accelerators++
			}
		}
		f.free[i] = f.free[i].sub(used, 1).floor()
	}
}

// share is a number of members of a gang on one worker.
type share struct {
	worker, members int
}

// slots takes accelerators for the members of a gang and returns its slots.
func (f *fleet) slots(s rosemarysill.Shape, at []share) []rosemarysill.Slot {
	slots := make([]rosemarysill.Slot, 0, s.Members)
	for _, sh := range at {
		w := &f.workers[sh.worker]
		next := 0
		for range sh.members {
			slot := rosemarysill.Slot{Worker: w.state.Identity.Name, Boot: w.state.Identity.Boot}
			for ; len(slot.Accelerators) < s.Accelerators; next++ {
				if !w.taken[next] {
					slot.Accelerators = append(slot.Accelerators, next)
				}
			}
			slots = append(slots, slot)
		}
	}
	f.take(s, slots)
	return slots
}
