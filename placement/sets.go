package placement

import (
	"sort"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// searchBudget bounds the workers examined by one backtracking search for the
// guaranteed sets. It is reached only when the greedy orders leave a set short.
const searchBudget = 400_000

// sets are the concrete sets of accelerators kept for the unclaimed units of
// all guarantees. They depend only on capacity that is not held by guaranteed
// work or by work that must not be stopped, so that borrowed work neither moves
// nor shrinks them.
type sets struct {
	at    [][]share // by unit; nil when the unit is claimed or short
	base  [][]use   // by unit: the part of the set that no smaller job of the account holds
	short []int     // units without a set
}

// attached is what smaller jobs of an account hold of its own units. The
// account may stop them for the whole gang, nobody else may.
type attached map[string]map[int]account.Resources

func (a attached) add(name string, held []use) {
	if a[name] == nil {
		a[name] = map[int]account.Resources{}
	}
	for _, u := range held {
		a[name][u.worker] = a[name][u.worker].Add(u.amount, 1)
	}
}

// findSets finds a set for each unclaimed unit within the available amounts.
// It tries greedy orders, then a bounded search, and returns the result with
// the fewest units short.
func (f *fleet) findSets(units []account.Unit, avail rooms, own attached) sets {
	var open []int
	for i := range units {
		if !units[i].Claimed {
			open = append(open, i)
		}
	}
	var best sets
	for n, order := range orders(units, open) {
		for _, by := range []rule{tightest, first} {
			found := f.greedySets(units, order, avail, own, by)
			if n == 0 && by == tightest || len(found.short) < len(best.short) {
				best = found
			}
			if len(best.short) == 0 {
				return best
			}
		}
	}
	if found, ok := f.searchSets(units, orders(units, open)[0], avail, own); ok {
		return found
	}
	return best
}

// orders returns the orders in which units are tried: the ones that are hardest
// to fit first, by different measures.
func orders(units []account.Unit, open []int) [][]int {
	hard := func(s rosemarysill.Shape) [3]int {
		adjacent := 0
		if s.Adjacent {
			adjacent = 1
		}
		return [3]int{adjacent, s.Accelerators, s.Members}
	}
	keys := []func(s rosemarysill.Shape) [3]int{
		hard,
		func(s rosemarysill.Shape) [3]int { return [3]int{s.Accelerators, hard(s)[0], s.Members} },
		func(s rosemarysill.Shape) [3]int { return [3]int{s.TotalAccelerators(), hard(s)[0], s.Accelerators} },
	}
	all := make([][]int, len(keys))
	for n, key := range keys {
		all[n] = append([]int(nil), open...)
		sort.SliceStable(all[n], func(i, j int) bool {
			a, b := key(units[all[n][i]].Shape), key(units[all[n][j]].Shape)
			for k := range a {
				if a[k] != b[k] {
					return a[k] > b[k]
				}
			}
			return false
		})
	}
	return all
}

func (f *fleet) greedySets(units []account.Unit, order []int, avail rooms, own attached, by rule) sets {
	t := f.newTrial(units, avail, own)
	failed := map[rosemarysill.Shape]bool{}
	for _, i := range order {
		shape := units[i].Shape
		if failed[shape] && len(t.own[units[i].Account]) == 0 {
			t.sets.short = append(t.sets.short, i)
			continue
		}
		t.lend(units[i].Account)
		at, ok := f.locateNear(shape, t.room, t.own[units[i].Account], by)
		t.settle(i, at)
		if !ok {
			failed[shape] = true
			t.sets.short = append(t.sets.short, i)
		}
	}
	return t.sets
}

// locateNear prefers racks in which the account's own smaller jobs run.
func (f *fleet) locateNear(s rosemarysill.Shape, in rooms, own map[int]account.Resources, by rule) ([]share, bool) {
	if len(own) > 0 {
		var racks []int
		for w := range own {
			if r := f.workers[w].rack; !f.used[r] {
				f.used[r] = true
				racks = append(racks, r)
			}
		}
		sort.Ints(racks)
		for _, r := range racks {
			f.used[r] = false
		}
		if at, ok := f.locateIn(s, in, racks, by); ok {
			return at, true
		}
	}
	return f.locate(s, in, by)
}

// trial is an assignment of sets in progress.
type trial struct {
	units []account.Unit
	room  rooms
	own   attached
	sets  sets
}

func (f *fleet) newTrial(units []account.Unit, avail rooms, own attached) *trial {
	t := &trial{units: units, room: append(rooms(nil), avail...), own: attached{}}
	for name, held := range own {
		t.own[name] = make(map[int]account.Resources, len(held))
		for w, amount := range held {
			t.own[name][w] = amount
		}
	}
	t.sets.at = make([][]share, len(units))
	t.sets.base = make([][]use, len(units))
	return t
}

// lend adds what the account's smaller jobs hold to the room.
func (t *trial) lend(name string) {
	for w, amount := range t.own[name] {
		t.room[w] = t.room[w].Add(amount, 1)
	}
}

// settle takes the set of a unit, the account's own part first, and withdraws
// the rest of what was lent.
func (t *trial) settle(unit int, at []share) {
	own := t.own[t.units[unit].Account]
	need := account.MemberOf(t.units[unit].Shape)
	for _, sh := range at {
		taken := account.Resources{}.Add(need, sh.members)
		lent := taken.Min(own[sh.worker])
		t.room[sh.worker] = t.room[sh.worker].Sub(taken, 1)
		if own != nil && lent != (account.Resources{}) {
			own[sh.worker] = own[sh.worker].Sub(lent, 1)
		}
		t.sets.base[unit] = append(t.sets.base[unit], use{sh.worker, taken.Sub(lent, 1)})
	}
	t.sets.at[unit] = at
	for w, amount := range own {
		t.room[w] = t.room[w].Sub(amount, 1)
	}
}

// searchSets looks for an assignment without any unit short by backtracking
// over racks, until the budget is spent.
func (f *fleet) searchSets(units []account.Unit, order []int, avail rooms, own attached) (sets, bool) {
	limit := f.examined + searchBudget
	var step func(t *trial, rest []int) (sets, bool)
	step = func(t *trial, rest []int) (sets, bool) {
		if len(rest) == 0 {
			return t.sets, true
		}
		i := rest[0]
		t.lend(units[i].Account)
		options := f.options(units[i].Shape, t.room)
		t.settle(i, nil)
		for _, at := range options {
			if f.examined > limit {
				return sets{}, false
			}
			next := f.newTrial(units, t.room, t.own)
			copy(next.sets.at, t.sets.at)
			copy(next.sets.base, t.sets.base)
			next.lend(units[i].Account)
			next.settle(i, at)
			if found, ok := step(next, rest[1:]); ok {
				return found, true
			}
		}
		return sets{}, false
	}
	return step(f.newTrial(units, avail, own), order)
}

// options returns different places for a gang: one in each rack that holds it,
// and for a gang that is not adjacent also one in each domain and in the whole
// fleet. Racks with the same room left give the same option.
func (f *fleet) options(s rosemarysill.Shape, in rooms) [][]share {
	type key struct {
		count int
		left  account.Resources
	}
	var all [][]share
	seen := map[key]bool{}
	f.count(s, in, f.all)
	counts, left := append([]int(nil), f.counts...), append(rooms(nil), f.left...)
	for r := range f.racks {
		k := key{counts[r], left[r]}
		if counts[r] < s.Members || seen[k] && counts[r] > 1 {
			continue
		}
		seen[k] = true
		all = append(all, f.fill(nil, r, account.MemberOf(s), s.Members, in, tightest))
	}
	sort.SliceStable(all, func(i, j int) bool {
		return left[f.workers[all[i][0].worker].rack].Less(left[f.workers[all[j][0].worker].rack])
	})
	if s.Adjacent || s.Members == 1 {
		return all
	}
	for _, racks := range append(append([][]int(nil), f.domains...), f.all) {
		if at, ok := f.locateIn(s, in, racks, tightest); ok {
			all = append(all, at)
		}
	}
	return all
}
