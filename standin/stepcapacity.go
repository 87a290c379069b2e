package standin

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// ShrinkNotice is how long after the first status report that shows it a smaller
// capacity counts.
const ShrinkNotice = 4500 * time.Millisecond

// stepCapacity is the capacity of a worker, which may change while it runs.
type stepCapacity struct {
	limited  bool // without a capacity nothing is checked
	now      work.Shape
	version  int // number of changes
	replaced []replacedCapacity
}

// replacedCapacity is an earlier capacity that starts may still use.
type replacedCapacity struct {
	shape   work.Shape
	version int
	until   time.Time // zero before a report has shown a later capacity
}

// Needs returns the word of a specification that declares the demand of a run.
func Needs(s work.Shape) string {
	return fmt.Sprintf("%s%dc/%dm/%da", SpecNeeds, s.MilliCPU, s.MemoryMB, s.Accelerators)
}

// needs returns the demand of a run: that of its start or, as a start that has come
// over the network has none, that of its specification.
func (r *stepRun) needs() work.Shape {
	s := r.demand
	if s != (work.Shape{}) {
		return s
	}
	_, _ = fmt.Sscanf(r.word(SpecNeeds), "%dc/%dm/%da", &s.MilliCPU, &s.MemoryMB, &s.Accelerators) // without the word it needs nothing
	return s
}

// SetCapacity sets the capacity that starts must not exceed from now on; zero sets no
// limit. The worker accepts those that do and notes them as breaches.
func (w *StepWorker) SetCapacity(s work.Shape) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.capacity = stepCapacity{limited: s != (work.Shape{}), now: s, version: w.capacity.version + 1}
}

// Resize changes the capacity of the worker. A smaller one counts ShrinkNotice after a
// report has shown it, also in a new incarnation: a start can reach that one before its
// first report.
func (w *StepWorker) Resize(s work.Shape) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	c := &w.capacity
	if c.limited {
		c.replaced = append(c.replaced, replacedCapacity{shape: c.now, version: c.version})
	}
	c.limited, c.now, c.version = true, s, c.version+1
}

// StepReport is what a worker says of itself.
type StepReport struct {
	ID       string
	Born     int64 // start of the incarnation, in Unix milliseconds
	Capacity work.Shape

	version int // of the capacity
}

// Report returns a status report of the worker. It returns false while the worker is
// down.
func (w *StepWorker) Report() (StepReport, bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	return StepReport{ID: w.id, Born: w.born.UnixMilli(), Capacity: w.capacity.now, version: w.capacity.version}, !w.down
}

// Reported notes that a report has arrived.
func (w *StepWorker) Reported(r StepReport) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	if r.Born != w.born.UnixMilli() {
		return
	}
	for i, o := range w.capacity.replaced {
		if o.version < r.version && o.until.IsZero() {
			w.capacity.replaced[i].until = time.Now().Add(ShrinkNotice)
		}
	}
}

// checkCapacity notes a start that brings the worker over its capacity. Runs that are
// being stopped still use it. Of an order that is carried out late, the capacity at
// its arrival counts, and none in a later incarnation.
func (w *StepWorker) checkCapacity(k work.RunKey, r *stepRun, arrived time.Time) {
	c := w.capacity
	demand := r.needs()
	if !c.limited || arrived.Before(w.born) || demand == (work.Shape{}) {
		return
	}
	used := demand
	for _, o := range w.runs {
		used = used.Add(o.needs())
	}
	if used.FitsIn(c.now) {
		return
	}
	for _, o := range c.replaced {
		if (o.until.IsZero() || arrived.Before(o.until)) && used.FitsIn(o.shape) {
			return
		}
	}
	w.set.breach("LIMIT: job %s: run %v of %+v starts at %s: %d runs then use %+v of %+v", k.Task.Job, k, demand, w.id, len(w.runs)+1, used, c.now)
}
