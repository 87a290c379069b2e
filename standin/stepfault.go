package standin

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// StartFault is what a worker does with a start.
type StartFault int

// Faults of starts.
const (
	StartAnswered  StartFault = iota
	StartLost                 // it is carried out, and not answered
	StartDropped              // it is neither carried out nor answered
	StartUnhealthy            // it is refused because the worker is unhealthy
	StartHeld                 // it is not answered, and carried out late, in the next incarnation if need be
)

// SetStartFaults makes the n-th start of each run have the n-th fault of the plan;
// the starts after these are answered. A held start is carried out after the delay.
func (w *StepWorker) SetStartFaults(held time.Duration, plan ...StartFault) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.held, w.plan, w.tries = held, plan, make(map[work.RunKey]int)
}

// startFault returns the fault of the next start of a run.
func (w *StepWorker) startFault(k work.RunKey) StartFault {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	fault := StartAnswered
	if n := w.tries[k]; w.deaf {
		fault = StartDropped
	} else if n < len(w.plan) {
		fault = w.plan[n]
		w.tries[k]++
	}
	w.observe(StartCalled, k, fmt.Sprintf("fault=%d", fault))
	return fault
}

// SetDark makes the worker answer nothing. Its runs go on until their leases
// lapse.
func (w *StepWorker) SetDark(dark bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.dark = dark
}

// SetClosed makes the worker refuse connections. Its runs go on until their leases lapse.
func (w *StepWorker) SetClosed(closed bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.closed = closed
}

// SetSpeed changes the speed of the worker for runs that start from then on. A gang ends
// with its slowest member.
func (w *StepWorker) SetSpeed(v float64) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.speed = v
}

// SetDeaf makes the worker leave starts unanswered and not carry them out, while
// it answers all other calls.
func (w *StepWorker) SetDeaf(deaf bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.deaf = deaf
}

// SetLate makes the worker leave calls unanswered and carry them out after a
// delay; 0 ends that.
func (w *StepWorker) SetLate(by time.Duration) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.mute, w.late = by > 0, by
}

// carryLate carries a call out after a delay. A held call may be carried out by the
// next incarnation, unless the earlier one has seen a higher fence: no scheduler can
// rule that out, because the next incarnation knows no fence. The caller holds the
// lock.
func (w *StepWorker) carryLate(by time.Duration, fence int64, held bool, carry func()) {
	born := w.born
	time.AfterFunc(by, func() {
		w.set.mu.Lock()
		defer w.set.mu.Unlock()
		later := !w.born.Equal(born)
		switch {
		case w.dark || later && (!held || fence < w.highest):
		case w.down && held:
			w.waiting = append(w.waiting, carry)
		case !w.down:
			carry()
		}
	})
}
