package placement

import (
	"sort"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// scope is a set of racks in which a gang may be placed: one rack, the racks of
// one failure domain, or all.
type scope struct {
	racks []int
	jobs  []int // placed jobs with a member in the scope, the cheapest to stop first
}

// scopes are all scopes of a fleet, built when first needed.
type scopes struct {
	built          bool
	racks, domains []scope
	all            scope
}

func (d *pass) buildScopes() {
	if d.scopes.built {
		return
	}
	f := d.fleet
	sc := scopes{built: true, racks: make([]scope, len(f.racks)), domains: make([]scope, len(f.domains))}
	sc.all = scope{racks: f.all, jobs: d.cheapest}
	for r := range f.racks {
		sc.racks[r].racks = []int{r}
	}
	for n, racks := range f.domains {
		sc.domains[n].racks = racks
	}
	enter := func(s *scope, i int) {
		if n := len(s.jobs); n == 0 || s.jobs[n-1] != i {
			s.jobs = append(s.jobs, i)
		}
	}
	for _, i := range d.cheapest {
		for _, u := range d.held[i].uses {
			r := f.workers[u.worker].rack
			enter(&sc.racks[r], i)
			enter(&sc.domains[f.racks[r].domain], i)
		}
	}
	d.scopes = sc
}

// of returns the scopes in which a gang may be placed, the narrowest first.
func (s *scopes) of(shape rosemarysill.Shape) []scope {
	if shape.Adjacent {
		return s.racks
	}
	return append(append([]scope(nil), s.domains...), s.all)
}

// victims is a choice of jobs to stop so that a gang fits.
type victims struct {
	at           []share
	jobs         []int
	accelerators int
	unsaved      float64
}

// reclaim looks for the place within the given amounts at which a gang fits
// after stopping the fewest accelerators of work, and the least unsaved work
// among equals. Only jobs that may is true for are stopped.
func (d *pass) reclaim(s rosemarysill.Shape, within rooms, may func(h *holding) bool) (victims, bool) {
	d.buildScopes()
	need := account.MemberOf(s)
	base := make(rooms, len(within))
	for w := range base {
		base[w] = d.fleet.free[w].Add(d.leaving[w], 1)
	}
	var best victims
	found := false
	for _, sc := range d.scopes.of(s) {
		g := gauge{fleet: d.fleet, need: need, limit: s.Members, within: within, room: base, racks: sc.racks}
		g.start()
		var chosen []int
		for _, i := range sc.jobs {
			if g.count >= s.Members {
				break
			}
			if h := &d.held[i]; may(h) && g.change(h.uses, 1) > 0 {
				chosen = append(chosen, i)
			}
		}
		if g.count < s.Members {
			g.reset()
			continue
		}
		v := d.prune(&g, s.Members, chosen)
		if !found || v.accelerators < best.accelerators ||
			v.accelerators == best.accelerators && v.unsaved < best.unsaved {
			at, ok := d.fleet.locateIn(s, g.bounded(), sc.racks, tightest)
			if ok {
				v.at = at
				best, found = v, true
			}
		}
		g.reset()
	}
	return best, found
}

// prune drops jobs that need not be stopped after all, the largest first.
func (d *pass) prune(g *gauge, members int, chosen []int) victims {
	sort.SliceStable(chosen, func(i, j int) bool {
		a, b := &d.held[chosen[i]], &d.held[chosen[j]]
		if x, y := a.job.Spec.Shape.TotalAccelerators(), b.job.Spec.Shape.TotalAccelerators(); x != y {
			return x > y
		}
		return a.unsaved > b.unsaved
	})
	var v victims
	for _, i := range chosen {
		h := &d.held[i]
		g.change(h.uses, -1)
		if g.count >= members {
			continue
		}
		g.change(h.uses, 1)
		v.jobs = append(v.jobs, i)
		v.accelerators += h.job.Spec.Shape.TotalAccelerators()
		v.unsaved += h.unsaved
	}
	return v
}

// stop ends the chosen jobs for the waiting job and counts what they hold as
// leaving.
func (d *pass) stop(jobs []int, waiting rosemarysill.JobSpec, reason string) {
	for _, i := range jobs {
		h := &d.held[i]
		h.leaving = true
		d.free(d.leaving, h)
		d.decision.Reclaim = append(d.decision.Reclaim, rosemarysill.ReclaimDecision{
			Job: h.job.Spec.ID, For: waiting.ID, Reason: reason,
		})
	}
}

// gauge counts the members of a gang that fit in a scope while amounts change.
type gauge struct {
	fleet  *fleet
	need   account.Resources
	limit  int
	within rooms
	room   rooms
	racks  []int
	count  int
	undo   []use
}

func (g *gauge) members(w int) int {
	g.fleet.examined++
	return g.room[w].Min(g.within[w]).Members(g.need, g.limit)
}

func (g *gauge) start() {
	for _, r := range g.racks {
		g.fleet.inScope[r] = true
		for _, w := range g.fleet.racks[r].workers {
			g.count += g.members(w)
		}
	}
}

// change adds the uses n times and returns how many of them are on workers of
// the scope that may hold a member.
func (g *gauge) change(uses []use, n int) int {
	touched := 0
	for _, u := range uses {
		if !g.fleet.inScope[g.fleet.workers[u.worker].rack] || g.within[u.worker].Members(g.need, 1) == 0 {
			continue
		}
		touched++
		g.count -= g.members(u.worker)
		g.room[u.worker] = g.room[u.worker].Add(u.amount, n)
		g.count += g.members(u.worker)
		g.undo = append(g.undo, use{u.worker, account.Resources{}.Add(u.amount, n)})
	}
	return touched
}

// bounded returns the amounts in the scope.
func (g *gauge) bounded() rooms {
	in := make(rooms, len(g.room))
	for _, r := range g.racks {
		for _, w := range g.fleet.racks[r].workers {
			in[w] = g.room[w].Min(g.within[w])
		}
	}
	return in
}

// reset returns the amounts to what they were at the start.
func (g *gauge) reset() {
	for _, u := range g.undo {
		g.room[u.worker] = g.room[u.worker].Sub(u.amount, 1)
	}
	for _, r := range g.racks {
		g.fleet.inScope[r] = false
	}
}
