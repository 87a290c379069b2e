package placement

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// FailedWorkers is the number of different workers on which a job may fail
// before it is stopped.
const FailedWorkers = 3

// reject ends a job that can never run. A shape that fits no known worker is
// rejected only after GangPatience, because an entry that has just taken over
// may not have heard from all workers.
func reject(f *fleet, cfg rosemarysill.Configuration, w *rosemarysill.WaitingJob, now time.Time,
	t rosemarysill.Timings) (rosemarysill.RejectDecision, bool) {
	s := w.Spec.Shape
	r := rosemarysill.RejectDecision{Job: w.Spec.ID}
	a, known := cfg.Account(w.Spec.Account)
	switch {
	case !valid(s):
		r.Code, r.Detail = rosemarysill.ImpossibleShape, "the shape needs members and resources"
	case !known:
		r.Code, r.Detail = rosemarysill.UnknownAccount, fmt.Sprintf("account %q is not declared", w.Spec.Account)
	case a.QuotaAccelerators > 0 && s.TotalAccelerators() > a.QuotaAccelerators:
		r.Code = rosemarysill.QuotaExceeded
		r.Detail = fmt.Sprintf("%d accelerators exceed the quota of %d", s.TotalAccelerators(), a.QuotaAccelerators)
	case distinct(w.FailedOn) >= FailedWorkers:
		r.Code = rosemarysill.FailedEverywhere
		r.Detail = fmt.Sprintf("failed on %d workers", distinct(w.FailedOn))
	case now.Sub(w.Submitted) >= t.GangPatience && !f.possible(s):
		r.Code, r.Detail = rosemarysill.ImpossibleShape, "no set of workers can hold the shape"
	default:
		return r, false
	}
	return r, true
}

func valid(s rosemarysill.Shape) bool {
	return s.Members >= 1 && s.Accelerators >= 0 && s.Processors >= 0 && s.MemoryMB >= 0 &&
		account.MemberOf(s) != account.Resources{}
}

// possible reports whether the empty fleet could hold the shape.
func (f *fleet) possible(s rosemarysill.Shape) bool {
	ok, known := f.fits[s]
	if !known {
		_, ok = f.locate(s, f.empty, first)
		f.fits[s] = ok
	}
	return ok
}

func distinct(names []string) int {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		seen[n] = true
	}
	return len(seen)
}
