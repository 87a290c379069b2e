package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/work"
)

// indexEnds sets ends of the worker.
func (p *pass) indexEnds(w *workerState) {
	if w.endsIndexed {
		return
	}
	w.endsIndexed = true
	p.examined += len(w.Runs)
	for i := range w.Runs {
		if w.Runs[i].EndsIn > 0 {
			w.ends = append(w.ends, &w.Runs[i])
		}
	}
	slices.SortStableFunc(w.ends, func(a, b *Run) int { return cmp.Compare(a.EndsIn, b.EndsIn) })
}

// keepsCapacity reports whether the run takes part of what projectedFree leaves out: it neither
// ends soon nor is being stopped.
func (r *Run) keepsCapacity() bool { return !r.Stopping && !r.EndsSoon }

// capacityAfter returns the capacity of the worker that is expected to be free after the
// wait, less all reservations.
func (w *workerState) capacityAfter(wait time.Duration) work.Shape {
	free := w.projectedFree
	for _, run := range w.ends {
		if run.EndsIn > wait {
			break
		}
		if run.keepsCapacity() {
			free = free.Add(run.Demand)
		}
	}
	return free
}

// soonestFit returns after which wait the unit is expected to fit in one of the sets
// without a stop, and the workers there. Of equal waits the first set counts. The wait is
// delay.Forever if the unit is not expected to fit.
func (p *pass) soonestFit(u *Unit, sets [][]*workerState) (time.Duration, []*workerState) {
	best, bestSet := delay.Forever, []*workerState(nil)
	for _, set := range sets {
		for _, w := range set {
			p.indexEnds(w)
		}
		fitsAfter := func(wait time.Duration) bool {
			return p.fits(u, set, func(w *workerState) work.Shape { return w.capacityAfter(wait) })
		}
		if best == 0 || !fitsAfter(best-1) {
			continue
		}
		waits := []time.Duration{0}
		for _, w := range set {
			for _, run := range w.ends {
				if run.EndsIn < best && run.keepsCapacity() {
					waits = append(waits, run.EndsIn)
				}
			}
		}
		slices.Sort(waits)
		i, _ := slices.BinarySearchFunc(waits, true, func(wait time.Duration, _ bool) int {
			if fitsAfter(wait) {
				return 1
			}
			return -1
		})
		best, bestSet = waits[i], set
	}
	if bestSet == nil {
		return delay.Forever, nil
	}
	return best, p.selectWorkers(u, bestSet, func(w *workerState) work.Shape { return w.capacityAfter(best) })
}
