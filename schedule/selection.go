package schedule

import "github.com/rosemarysill/rosemarysill/work"

// freeCapacity returns the capacity of a worker that is free for the unit.
func (u *Unit) freeCapacity(w *workerState) work.Shape { return w.freeFor(u) }

func projectedFreeCapacity(w *workerState) work.Shape { return w.projectedFree }

func releasableCapacity(w *workerState) work.Shape { return w.releasable }

// selectWorkers selects a worker for each task of the unit, or returns nil if not
// all of them fit.
func (p *pass) selectWorkers(u *Unit, workers []*workerState, available func(*workerState) work.Shape) []*workerState {
	if !p.fits(u, workers, available) {
		return nil
	}
	d, s := Demand(u.step()), u.step()
	remaining := make([]work.Shape, len(workers))
	stepTasks := make([]int, len(workers))
	for i, w := range workers {
		remaining[i] = available(w)
		if s.MaxPerWorker > 0 {
			stepTasks[i] = u.TasksByWorker[w.ID]
		}
	}
	hasTask := make([]bool, len(workers))
	chosen := make([]*workerState, 0, len(u.Indexes))
	for n := range u.Indexes {
		best, lowest := -1, 0.0
		p.examined += len(workers)
		for i := range workers {
			if !d.FitsIn(remaining[i]) || (s.MaxPerWorker > 0 && stepTasks[i] >= s.MaxPerWorker) {
				continue
			}
			risk := 0.0
			if u.Careful && !u.Isolated {
				risk = u.addedRisk(workers[i], hasTask[i], remaining[i], stepTasks[i], len(u.Indexes)-n)
			}
			if best < 0 || risk < lowest || (risk == lowest && u.betterFit(workers[i], workers[best], remaining[i], remaining[best])) {
				best, lowest = i, risk
			}
		}
		if best < 0 {
			return nil
		}
		remaining[best] = remaining[best].Sub(d)
		stepTasks[best]++
		hasTask[best] = true
		chosen = append(chosen, workers[best])
	}
	return chosen
}

// fits reports whether all tasks of the unit fit, without selecting workers.
func (p *pass) fits(u *Unit, workers []*workerState, available func(*workerState) work.Shape) bool {
	d, s := Demand(u.step()), u.step()
	unplaced := int64(len(u.Indexes))
	for _, w := range workers {
		p.examined++
		n := maxCopies(d, available(w), unplaced)
		if s.MaxPerWorker > 0 {
			n = min(n, int64(s.MaxPerWorker-u.TasksByWorker[w.ID]))
		}
		if unplaced -= max(0, n); unplaced <= 0 {
			return true
		}
	}
	return unplaced <= 0
}

// maxCopies returns how many times d fits in the available capacity, up to limit.
func maxCopies(d, available work.Shape, limit int64) int64 {
	if !d.FitsIn(available) {
		return 0
	}
	n := limit
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

// betterFit reports whether worker a is preferred to b. An isolated unit goes where the
// loss of the worker costs least. Suspect workers come last. Single
// tasks that need no speed try the workers whose speed is not known, which shows it, and
// other work avoids those. Slow workers come before others. A best-effort task goes to
// the worker with the most idle processor time. Other tasks go where the least capacity
// remains (best fit), so that whole workers stay free.
func (u *Unit) betterFit(a, b *workerState, remainingA, remainingB work.Shape) bool {
	if u.Isolated && a.lossCost != b.lossCost {
		return a.lossCost < b.lossCost
	}
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if u.MinSpeed > 0 && a.Unproven != b.Unproven {
		return b.Unproven
	}
	if x := a.needsTrial(); u.MinSpeed == 0 && len(u.Indexes) == 1 && x != b.needsTrial() {
		return x
	}
	if a.Slow != b.Slow {
		return a.Slow
	}
	if u.step().BestEffort {
		return a.idleMilliCPU > b.idleMilliCPU
	}
	return remainingA.Cores() < remainingB.Cores()
}
