package placement

import "github.com/rosemarysill/rosemarysill"

// locate finds room for a gang within the given amounts by worker: an adjacent
// gang in one rack, any other in as few racks as possible, in one failure
// domain if it fits there.
func (f *fleet) locate(s rosemarysill.Shape, rooms []room) ([]share, bool) {
	need := memberRoom(s)
	counts := make([]int, len(f.racks))
	left := make([]room, len(f.racks))
	for r := range f.racks {
		for _, w := range f.racks[r].workers {
			f.examined++
			counts[r] += rooms[w].members(need, s.Members)
			left[r] = left[r].add(rooms[w], 1)
		}
	}
	if s.Adjacent {
		best := -1
		for r := range f.racks {
			if counts[r] >= s.Members && (best < 0 || smaller(left[r], left[best])) {
				best = r
			}
		}
		if best < 0 {
			return nil, false
		}
		return f.fill(nil, best, need, s.Members, rooms), true
	}
	var chosen []int
	for _, racks := range f.domains {
		if c := cover(racks, counts, left, s.Members); c != nil && (chosen == nil || len(c) < len(chosen) ||
			len(c) == len(chosen) && smaller(left[c[len(c)-1]], left[chosen[len(chosen)-1]])) {
			chosen = c
		}
	}
	if chosen == nil {
		all := make([]int, len(f.racks))
		for r := range all {
			all[r] = r
		}
		if chosen = cover(all, counts, left, s.Members); chosen == nil {
			return nil, false
		}
	}
	var at []share
	rest := s.Members
	for _, r := range chosen {
		n := min(rest, counts[r])
		at = f.fill(at, r, need, n, rooms)
		rest -= n
	}
	return at, true
}

// smaller reports whether a rack with room a is a tighter fit than one with b.
func smaller(a, b room) bool {
	if a.accelerators != b.accelerators {
		return a.accelerators < b.accelerators
	}
	return a.processors < b.processors
}

// cover chooses the fewest racks whose counts add up to n: the tightest rack
// that holds the rest, else the one that holds most. It returns nil when all
// racks together do not hold n.
func cover(racks, counts []int, left []room, n int) []int {
	var chosen []int
	used := make(map[int]bool, 4)
	for n > 0 {
		tight, most := -1, -1
		for _, r := range racks {
			if counts[r] == 0 || used[r] {
				continue
			}
			if counts[r] >= n && (tight < 0 || smaller(left[r], left[tight])) {
				tight = r
			}
			if most < 0 || counts[r] > counts[most] {
				most = r
			}
		}
		if tight >= 0 {
			return append(chosen, tight)
		}
		if most < 0 {
			return nil
		}
		chosen = append(chosen, most)
		used[most] = true
		n -= counts[most]
	}
	return chosen
}

// fill distributes n members over the workers of a rack: the tightest worker
// that holds the rest, else the one that holds most.
func (f *fleet) fill(at []share, r int, need room, n int, rooms []room) []share {
	used := make(map[int]bool, 4)
	for n > 0 {
		tight, most, mostCount := -1, -1, 0
		for _, w := range f.racks[r].workers {
			if used[w] {
				continue
			}
			f.examined++
			c := rooms[w].members(need, n)
			if c == n && (tight < 0 || smaller(rooms[w], rooms[tight])) {
				tight = w
			}
			if c > mostCount {
				most, mostCount = w, c
			}
		}
		if tight >= 0 {
			return append(at, share{tight, n})
		}
		if most < 0 {
			return at
		}
		at = append(at, share{most, mostCount})
		used[most] = true
		n -= mostCount
	}
	return at
}
