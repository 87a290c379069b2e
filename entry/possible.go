package entry

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// possible refuses a shape that the workers known to this entry could not hold
// even if all were empty and in.
func (e *Entry) possible(s rosemarysill.Shape, cfg *rosemarysill.Configuration, now time.Time) error {
	workers := e.table.Workers(cfg, now)
	if len(workers) == 0 || now.Sub(e.started) < 2*e.opts.Timings.MemberFresh {
		return nil // not all workers may have announced themselves yet
	}
	fit := 0
	for _, w := range workers {
		fit += membersOn(w.Identity, s)
	}
	if fit < s.Members {
		return rosemarysill.NewError(rosemarysill.ImpossibleShape, "all workers together hold %d of %d members", fit, s.Members)
	}
	return nil
}

// membersOn returns how many members an empty worker holds.
func membersOn(w rosemarysill.AgentIdentity, s rosemarysill.Shape) int {
	n := s.Members
	for _, r := range [][2]int{{w.Accelerators, s.Accelerators}, {w.Processors, s.Processors}, {w.MemoryMB, s.MemoryMB}} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return n
}
