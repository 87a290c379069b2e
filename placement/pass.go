package placement

import (
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// Bounds of the work of one decision. What exceeds them waits for the next
// decision, DecideEvery later.
const (
	maxSearches     = 16 // searches for capacity to reclaim
	maxChecks       = 4  // checks of a placement against all guaranteed sets
	maxReservations = 1  // large gangs that hold a reservation at a time
)

// holding is a placed job with what it holds.
type holding struct {
	job     *rosemarysill.PlacedJob
	uses    []use
	charged bool // covered by a guarantee
	whole   bool // claims a whole unit
	leaving bool // stopping, or chosen to be stopped by this decision
	unsaved float64
}

// stoppable reports whether the job may be stopped for another account. A job
// that is not idempotent is not: once stopped it could not run again.
func (h *holding) stoppable() bool {
	return !h.charged && !h.leaving && h.job.Spec.Idempotent
}

// pass is one decision in progress.
type pass struct {
	*policy
	state rosemarysill.ClusterState
	now   time.Time
	fleet *fleet
	book  *account.Book
	held  []holding
	// cheapest lists the placed jobs, the cheapest to stop first.
	cheapest []int
	scopes   scopes

	avail   rooms // usable capacity that holds no work that must not be stopped
	sets    sets
	spare   rooms // what is neither kept nor held by work that must not be stopped
	own     attached
	leaving rooms // amounts held by jobs that are stopping
	gap     rooms // free amounts reserved for large gangs
	usable  rooms // whole capacity of usable workers
	largest int   // accelerators of the largest worker
	probes  []int // quarantined workers that are due for a trial
	failed  map[failure]bool

	gapUntil time.Time // earliest deadline of the reservations
	reserved int
	searches int // for capacity to reclaim
	checks   int // of placements against all sets
	decision rosemarysill.Decision
}

func newPass(p *policy, s rosemarysill.ClusterState, now time.Time) *pass {
	n := len(s.Workers)
	d := &pass{
		policy: p, state: s, now: now, fleet: newFleet(s), failed: map[failure]bool{},
		leaving: make(rooms, n), gap: make(rooms, n), usable: make(rooms, n),
	}
	d.held = make([]holding, len(s.Placed))
	for i := range s.Placed {
		j := &s.Placed[i]
		h := &d.held[i]
		h.job, h.leaving = j, j.Stopping
		h.uses = d.fleet.placed[i]
		saved := j.Started
		if j.CheckpointAt.After(saved) {
			saved = j.CheckpointAt
		}
		h.unsaved = now.Sub(saved).Seconds() * float64(max(j.Spec.Shape.TotalAccelerators(), 1))
		if h.leaving {
			d.free(d.leaving, h)
		}
	}
	occupied := make([]bool, n)
	for i := range d.held {
		for _, u := range d.held[i].uses {
			occupied[u.worker] = true
		}
	}
	for i := range d.usable {
		w := &s.Workers[i]
		d.largest = max(d.largest, d.fleet.empty[i].Accelerators)
		if w.Usable {
			d.usable[i] = d.fleet.empty[i]
		} else if w.Probe && !occupied[i] && !s.Config.DomainOut(w.Identity.Domain) {
			d.probes = append(d.probes, i)
		}
	}
	d.cheapest = make([]int, len(d.held))
	for i := range d.cheapest {
		d.cheapest[i] = i
	}
	sort.SliceStable(d.cheapest, func(i, j int) bool {
		a, b := &d.held[d.cheapest[i]], &d.held[d.cheapest[j]]
		if a.unsaved != b.unsaved {
			return a.unsaved < b.unsaved
		}
		return a.job.Started.After(b.job.Started)
	})
	return d
}

// free adds what a job holds on usable workers to the amounts.
func (d *pass) free(to rooms, h *holding) {
	for _, u := range h.uses {
		if d.fleet.workers[u.worker].state.Usable {
			to[u.worker] = to[u.worker].Add(u.amount, 1)
		}
	}
}

// coverage is which placed jobs count as guaranteed.
type coverage int

const (
	wholeGangs   coverage = iota // gangs that were placed as whole units
	placedAs                     // also smaller jobs that were placed as guaranteed
	allCoverable                 // also jobs that a guarantee would cover now
)

// charge enters the placed jobs into the book and finds the guaranteed sets.
// Jobs of an account that its guarantee would cover count as guaranteed even if
// they were placed before, unless a set would be short because of it. When a
// set is short for lack of workers, smaller jobs lose their protection: the
// shapes that were granted come first.
func (d *pass) charge() {
	var best *pass
	for _, c := range []coverage{allCoverable, placedAs, wholeGangs} {
		if d.tryCharge(c); best == nil || len(d.sets.short) < len(best.sets.short) {
			kept := *d
			kept.held = append([]holding(nil), d.held...)
			best = &kept
		}
		if len(best.sets.short) == 0 {
			break
		}
	}
	*d = *best
}

// tryCharge enters the placed jobs into a new book with the given coverage.
func (d *pass) tryCharge(c coverage) {
	d.book = account.NewBook(d.state.Config, d.fleet.total)
	d.own = attached{}
	order := make([]int, 0, len(d.held))
	for i := range d.held {
		d.held[i].charged, d.held[i].whole = false, false
		if !d.held[i].leaving {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(i, j int) bool {
		return d.held[order[i]].job.Started.Before(d.held[order[j]].job.Started)
	})
	d.enter(order, func(j *rosemarysill.PlacedJob, whole bool) bool { return whole && j.Guaranteed })
	if c >= placedAs {
		d.enter(order, func(j *rosemarysill.PlacedJob, whole bool) bool { return !whole && j.Guaranteed })
	}
	d.enter(order, func(j *rosemarysill.PlacedJob, whole bool) bool {
		return whole && (c == allCoverable || !j.Spec.Idempotent)
	})
	if c == allCoverable {
		d.enter(order, func(_ *rosemarysill.PlacedJob, whole bool) bool { return !whole })
	}
	d.avail = append(rooms(nil), d.usable...)
	for _, i := range order {
		h := &d.held[i]
		if !h.charged {
			d.book.Borrow(h.job.Spec)
		}
		if h.charged || !h.job.Spec.Idempotent {
			for _, u := range h.uses {
				d.avail[u.worker] = d.avail[u.worker].Sub(u.amount, 1).Floor()
			}
		}
	}
	d.enterSets(d.fleet.findSets(d.book.Units(), d.avail, d.own))
}

// enter charges the jobs that match is true for, if a unit covers them. It is
// told whether the job would claim the unit whole.
func (d *pass) enter(order []int, match func(j *rosemarysill.PlacedJob, whole bool) bool) {
	for _, i := range order {
		h := &d.held[i]
		if h.charged {
			continue
		}
		unit, whole, ok := d.book.Find(h.job.Spec)
		if !ok || !match(h.job, whole) || !whole && !h.job.Spec.Idempotent {
			continue
		}
		// A unit in which smaller guaranteed jobs run stays open to them.
		if whole && !h.job.Guaranteed && d.book.Units()[unit].Room < h.job.Spec.Shape.Members {
			continue
		}
		h.charged, h.whole = true, whole
		d.book.Charge(h.job.Spec, unit, whole)
		if !whole {
			d.own.add(h.job.Spec.Account, h.uses)
		}
	}
}

// enterSets makes the sets the ones that the decision keeps.
func (d *pass) enterSets(found sets) {
	d.sets = found
	d.spare = append(rooms(nil), d.avail...)
	for _, base := range found.base {
		for _, u := range base {
			d.spare[u.worker] = d.spare[u.worker].Sub(u.amount, 1)
		}
	}
}
