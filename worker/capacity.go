package worker

import (
	"github.com/rosemarysill/rosemarysill"
)

// checkReserve returns what is wrong with the request by itself.
func (l *Ledger) checkReserve(r rosemarysill.ReserveRequest) error {
	shape, id := r.Spec.Shape, l.cfg.Identity
	switch {
	case r.Attempt < 1 || r.Member < 0 || r.Member >= shape.Members:
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "member %d of %d in attempt %d", r.Member, shape.Members, r.Attempt)
	case shape.Accelerators < 0 || shape.Processors < 0 || shape.MemoryMB < 0:
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "shape with a negative size")
	case len(r.Slot.Accelerators) != shape.Accelerators:
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "%d accelerators for a shape of %d", len(r.Slot.Accelerators), shape.Accelerators)
	case r.Slot.Worker != id.Name:
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "slot of worker %q", r.Slot.Worker)
	case r.Slot.Boot != id.Boot:
		return rosemarysill.NewError(rosemarysill.NoCapacity, "slot of boot %s; this is boot %s", r.Slot.Boot, id.Boot)
	}
	seen := map[int]bool{}
	for _, a := range r.Slot.Accelerators {
		if a < 0 || a >= id.Accelerators || seen[a] {
			return rosemarysill.NewError(rosemarysill.InvalidRequest, "accelerators %v of %d", r.Slot.Accelerators, id.Accelerators)
		}
		seen[a] = true
	}
	return nil
}

// checkCapacity refuses what does not fit beside the members that hold
// capacity.
func (l *Ledger) checkCapacity(r rosemarysill.ReserveRequest) error {
	id := l.cfg.Identity
	processors, memory, active := r.Spec.Shape.Processors, r.Spec.Shape.MemoryMB, 0
	taken := map[int]bool{}
	for _, m := range l.members {
		if !m.active() {
			continue
		}
		active++
		processors += m.request.Spec.Shape.Processors
		memory += m.request.Spec.Shape.MemoryMB
		for _, a := range m.request.Slot.Accelerators {
			taken[a] = true
		}
	}
	for _, a := range r.Slot.Accelerators {
		if taken[a] {
			return rosemarysill.NewError(rosemarysill.NoCapacity, "accelerator %d is taken", a)
		}
	}
	if processors > id.Processors || memory > id.MemoryMB {
		return rosemarysill.NewError(rosemarysill.NoCapacity, "%d processors of %d and %d MB of %d would be taken",
			processors, id.Processors, memory, id.MemoryMB)
	}
	if active >= l.cfg.Members {
		return rosemarysill.NewError(rosemarysill.NoCapacity, "%d members hold capacity", active)
	}
	if unacked := l.unacknowledged(); unacked >= l.cfg.Finished {
		return rosemarysill.NewError(rosemarysill.NoCapacity, "%d outcomes are not acknowledged by any entry", unacked)
	}
	return nil
}

// FreeAccelerators returns the accelerators that no member holds.
func (l *Ledger) FreeAccelerators() int {
	free := l.cfg.Identity.Accelerators
	for _, m := range l.members {
		if m.active() {
			free -= len(m.request.Slot.Accelerators)
		}
	}
	return free
}
