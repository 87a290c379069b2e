package placement

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// rule is the order in which racks and workers that fit are preferred.
type rule int

const (
	tightest rule = iota // the least room left first
	first                // the order of the workers
)

// locate finds room for a gang within the given amounts: an adjacent gang in
// one rack, any other in as few racks as possible, in one failure domain if it
// fits there.
func (f *fleet) locate(s rosemarysill.Shape, in rooms, by rule) ([]share, bool) {
	f.count(s, in, f.all)
	if s.Adjacent {
		best := f.pick(f.all, s.Members, by)
		if best < 0 {
			return nil, false
		}
		return f.fill(nil, best, account.MemberOf(s), s.Members, in, by), true
	}
	var chosen []int
	for _, racks := range f.domains {
		c := f.cover(racks, s.Members, by)
		if c != nil && (chosen == nil || len(c) < len(chosen) ||
			by == tightest && len(c) == len(chosen) && f.left[c[len(c)-1]].Less(f.left[chosen[len(chosen)-1]])) {
			chosen = c
		}
	}
	if chosen == nil {
		if chosen = f.cover(f.all, s.Members, by); chosen == nil {
			return nil, false
		}
	}
	return f.fillRacks(s, chosen, in, by), true
}

// locateIn finds room in the given racks only.
func (f *fleet) locateIn(s rosemarysill.Shape, in rooms, racks []int, by rule) ([]share, bool) {
	f.count(s, in, racks)
	if s.Adjacent {
		best := f.pick(racks, s.Members, by)
		if best < 0 {
			return nil, false
		}
		return f.fill(nil, best, account.MemberOf(s), s.Members, in, by), true
	}
	chosen := f.cover(racks, s.Members, by)
	if chosen == nil {
		return nil, false
	}
	return f.fillRacks(s, chosen, in, by), true
}

// count sets the members that fit and the amount left of each rack.
func (f *fleet) count(s rosemarysill.Shape, in rooms, racks []int) {
	need := account.MemberOf(s)
	for _, r := range racks {
		n, left := 0, account.Resources{}
		for _, w := range f.racks[r].workers {
			if m := in[w].Members(need, s.Members); m > 0 {
				n += m
			}
			left = left.Add(in[w], 1)
		}
		f.examined += len(f.racks[r].workers)
		f.counts[r], f.left[r] = n, left
	}
}

// pick returns the unused rack that holds n members by the rule, or -1.
func (f *fleet) pick(racks []int, n int, by rule) int {
	best := -1
	for _, r := range racks {
		if f.counts[r] >= n && !f.used[r] && (best < 0 || by == tightest && f.left[r].Less(f.left[best])) {
			best = r
		}
	}
	return best
}

// cover chooses few racks whose counts add up to n: the rack that holds the
// rest by the rule, else the one that holds most. It returns nil when all racks
// together do not hold n.
func (f *fleet) cover(racks []int, n int, by rule) []int {
	sum := 0
	for _, r := range racks {
		sum += f.counts[r]
	}
	if sum < n {
		return nil
	}
	var chosen []int
	for n > 0 {
		r := f.pick(racks, n, by)
		if r < 0 {
			for _, c := range racks {
				if !f.used[c] && (r < 0 || f.counts[c] > f.counts[r]) {
					r = c
				}
			}
		}
		f.used[r] = true
		chosen = append(chosen, r)
		n -= f.counts[r]
	}
	for _, r := range chosen {
		f.used[r] = false
	}
	return chosen
}

// fillRacks distributes a gang over the racks in their order.
func (f *fleet) fillRacks(s rosemarysill.Shape, racks []int, in rooms, by rule) []share {
	var at []share
	rest := s.Members
	for _, r := range racks {
		n := min(rest, f.counts[r])
		at = f.fill(at, r, account.MemberOf(s), n, in, by)
		rest -= n
	}
	return at
}

// fill distributes n members over the workers of a rack: the worker that holds
// the rest by the rule, else the one that holds most.
func (f *fleet) fill(at []share, r int, need account.Resources, n int, in rooms, by rule) []share {
	from := len(at)
	for n > 0 {
		fit, most, mostCount := -1, -1, 0
		for _, w := range f.racks[r].workers {
			if holds(at[from:], w) {
				continue
			}
			f.examined++
			c := in[w].Members(need, n)
			if c == n && (fit < 0 || by == tightest && in[w].Less(in[fit])) {
				fit = w
			}
			if c > mostCount {
				most, mostCount = w, c
			}
		}
		if fit >= 0 {
			return append(at, share{fit, n})
		}
		if most < 0 {
			return at
		}
		at = append(at, share{most, mostCount})
		n -= mostCount
	}
	return at
}

func holds(at []share, worker int) bool {
	for _, sh := range at {
		if sh.worker == worker {
			return true
		}
	}
	return false
}
