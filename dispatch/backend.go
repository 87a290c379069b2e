package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// backend is what an entry knows and has observed of one boot of an upstream.
type backend struct {
	state     rosemarysill.UpstreamState
	beat      uint64 // number of its last report
	sent      int    // in progress from here, sent after the last report
	progress  int    // in progress from here, all
	finished  int    // sent before the last report and finished after it
	taken     int    // free slots that a refusal has shown to be taken by others
	observed  average
	skipUntil time.Time

	failures     int // in a row
	ejected      bool
	ejectedUntil time.Time
	ejections    int // in a row
	probing      bool
}

// free returns the slots that the upstream has for this entry.
func (b *backend) free() int {
	return max(0, min(b.state.FreeSlots-b.sent+b.finished-b.taken, b.state.Identity.Slots-b.progress))
}

// open reports whether the upstream may get calls as far as is known.
func (b *backend) open(now time.Time, l *Limits) bool {
	return now.Sub(b.state.LastHeartbeat) < l.FreshFor && !b.state.Leaving && !b.state.Drained && !b.state.DomainOut &&
		!now.Before(b.skipUntil)
}

// willing reports whether an open upstream is not set aside, or due for a
// probe. When all open ones are set aside, none is.
func (b *backend) willing(now time.Time, allEjected bool) bool {
	return allEjected || !b.ejected || (!b.probing && !now.Before(b.ejectedUntil))
}

func (b *backend) report(u rosemarysill.UpstreamState) {
	if u.LastHeartbeat.After(b.state.LastHeartbeat) {
		b.beat++
		b.sent, b.finished, b.taken = 0, 0, 0
	} else {
		// The same report, or an older one; what operators set may differ.
		u.FreeSlots, u.LastHeartbeat, u.Leaving = b.state.FreeSlots, b.state.LastHeartbeat, b.state.Leaving || u.Leaving
	}
	b.state = u
}

func (b *backend) take(t *ticket) {
	b.sent++
	b.progress++
	t.at, t.beat = b, b.beat
	if b.ejected {
		t.probe, b.probing = true, true
	}
}

func (b *backend) giveBack(t *ticket) {
	b.progress--
	if t.beat == b.beat {
		b.sent--
	} else {
		b.finished++
	}
	if t.probe {
		t.probe, b.probing = false, false
	}
	t.at = nil
}

// average is an exponentially weighted mean.
type average struct {
	mean time.Duration
	last time.Time // of the last observation, zero for none
}

// weight of a new observation: the mean follows the last ten or so.
const weight = 0.2

func (a *average) add(d time.Duration, now time.Time) {
	if a.last.IsZero() {
		a.mean = d
	} else {
		a.mean += time.Duration(weight * float64(d-a.mean))
	}
	a.last = now
}

// recent returns the mean, or 0 if nothing was observed lately. An old value
// must not refuse calls, since without calls it would never be corrected.
func (a *average) recent(now time.Time, forget time.Duration) time.Duration {
	if a.last.IsZero() || now.Sub(a.last) >= forget {
		return 0
	}
	return a.mean
}

// fleet holds the upstreams sorted by name.
type fleet []*backend

// update takes over the reported upstreams. A new boot begins anew; calls in
// progress at an old one keep it until they return.
func (f fleet) update(reported []rosemarysill.UpstreamState) fleet {
	if f.same(reported) {
		for i, b := range f {
			b.report(reported[i])
		}
		return f
	}
	known := make(map[string]*backend, len(f))
	for _, b := range f {
		known[b.state.Identity.Name] = b
	}
	out := make(fleet, 0, len(reported))
	for _, u := range reported {
		b, ok := known[u.Identity.Name]
		if !ok || b.state.Identity.Boot != u.Identity.Boot {
			b = &backend{state: u}
		}
		b.report(u)
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *backend) int {
		return strings.Compare(a.state.Identity.Name, b.state.Identity.Name)
	})
	return out
}

// same reports whether the upstreams are the known ones in the same order, the
// usual case, which needs no new table.
func (f fleet) same(reported []rosemarysill.UpstreamState) bool {
	return slices.EqualFunc(f, reported, func(b *backend, u rosemarysill.UpstreamState) bool {
		return b.state.Identity.Name == u.Identity.Name && b.state.Identity.Boot == u.Identity.Boot
	})
}

// choose returns the upstream for a call: one that it has not tried before,
// then the most free slots, then the shortest observed time, then the name. A
// probe is due before others, since one call at a time is risked.
func (f fleet) choose(t *ticket, now time.Time, l *Limits) *backend {
	var best *backend
	all := f.allEjected(now, l)
	for _, b := range f {
		if b.free() == 0 || !b.open(now, l) || !b.willing(now, all) {
			continue
		}
		if best == nil || f.better(t, b, best) {
			best = b
		}
	}
	return best
}

func (f fleet) better(t *ticket, a, b *backend) bool {
	ta, tb := slices.Contains(t.tried, a.state.Identity.Name), slices.Contains(t.tried, b.state.Identity.Name)
	// A probe may fail; a call that must not run twice could end as unknown.
	pa, pb := a.ejected && t.idempotent, b.ejected && t.idempotent
	na, nb := a.ejected && !t.idempotent, b.ejected && !t.idempotent
	switch {
	case ta != tb:
		return tb
	case na != nb:
		return nb
	case pa != pb:
		return pa
	case a.free() != b.free():
		return a.free() > b.free()
	default:
		return a.observed.mean < b.observed.mean
	}
}

// slots returns the slots of all upstreams that may get calls.
func (f fleet) slots(now time.Time, l *Limits) (slots, free int) {
	all := f.allEjected(now, l)
	for _, b := range f {
		if b.open(now, l) && b.willing(now, all) {
			slots += b.state.Identity.Slots
			free += b.free()
		}
	}
	return slots, free
}

// allEjected reports whether each open upstream is set aside, which happens when
// the others have left since.
func (f fleet) allEjected(now time.Time, l *Limits) bool {
	for _, b := range f {
		if b.open(now, l) && !b.ejected {
			return false
		}
	}
	return true
}

// mayEject reports whether one more open upstream may be set aside: at most
// half of them, so that a fault that all share never stops all work.
func (f fleet) mayEject(now time.Time, l *Limits) bool {
	open, out := 0, 0
	for _, b := range f {
		if b.open(now, l) {
			open++
			if b.ejected {
				out++
			}
		}
	}
	return 2*(out+1) <= open
}
