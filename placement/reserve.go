package placement

import (
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// nearest returns the place within the given amounts that lacks the fewest
// members, the one that is expected to be free first among equals, and when that
// is. A place that is reserved only gains free members while others are filled
// again, so that the choice stays the same from decision to decision; expected
// ends are too often wrong for that.
func (d *pass) nearest(s rosemarysill.Shape, within rooms) ([]share, time.Time, bool) {
	d.buildScopes()
	base := make(rooms, len(within))
	for w := range base {
		base[w] = d.fleet.free[w].Add(d.leaving[w], 1)
	}
	var best []share
	var until time.Time
	least := 0
	for _, sc := range d.scopes.of(s) {
		g := gauge{fleet: d.fleet, need: account.MemberOf(s), limit: s.Members, within: within, room: base, racks: sc.racks}
		g.start()
		end := d.now
		missing := s.Members - g.count
		ends := append([]int(nil), sc.jobs...)
		sort.SliceStable(ends, func(i, j int) bool {
			return d.expectedEnd(&d.held[ends[i]]).Before(d.expectedEnd(&d.held[ends[j]]))
		})
		for _, i := range ends {
			if g.count >= s.Members {
				break
			}
			if h := &d.held[i]; !h.leaving && g.change(h.uses, 1) > 0 {
				end = d.expectedEnd(h)
			}
		}
		if g.count >= s.Members && (best == nil || missing < least || missing == least && end.Before(until)) {
			if at, ok := d.fleet.locateIn(s, g.bounded(), sc.racks, tightest); ok {
				best, until, least = at, end, missing
			}
		}
		g.reset()
	}
	return best, until, best != nil
}

// expectedEnd estimates when a placed job ends. Declared run times are
// corrected by the account's learned ratio. A job that has run longer than
// estimated is expected to run as long again.
func (d *pass) expectedEnd(h *holding) time.Time {
	if h.leaving {
		return d.now
	}
	estimate := d.runTime(h.job.Spec)
	ran := d.now.Sub(h.job.Started)
	if estimate > ran {
		return h.job.Started.Add(estimate)
	}
	return d.now.Add(ran)
}

func (d *pass) runTime(spec rosemarysill.JobSpec) time.Duration {
	ratio, ok := d.state.RunRatio[spec.Account]
	if !ok || ratio <= 0 {
		ratio = 1
	}
	return time.Duration(float64(spec.DeclaredSeconds) * ratio * float64(time.Second))
}
