package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

// incarnation names the present life of the worker.
func (l *ledger) incarnation() string { return l.incarnationOf(l.instance) }

func (l *ledger) incarnationOf(a work.Announcement) string {
	return control.Incarnation(l.agent, a.ID+"/"+strconv.FormatInt(a.StartedAtMS, 10))
}

// announce takes a status report of the worker and reports whether it began a
// new incarnation. Reports of earlier incarnations, and reports that were
// overtaken, change nothing.
func (l *ledger) announce(a work.Announcement, now time.Time) bool {
	if l.known && a.StartedAtMS < l.instance.StartedAtMS {
		return false
	}
	if l.presumed != "" && l.presumed == l.incarnationOf(a) {
		l.gone = slices.DeleteFunc(l.gone, func(g string) bool { return g == l.presumed })
		l.presumed = ""
	}
	if slices.Contains(l.gone, l.incarnationOf(a)) {
		return false
	}
	if l.known && a.ID == l.instance.ID && a.StartedAtMS == l.instance.StartedAtMS {
		if a.Sequence > l.instance.Sequence {
			l.instance, l.heard = a, now
		}
		return false
	}
	l.renew(a, now)
	return true
}

// renew begins a new incarnation. The fence rises, so calls meant for the
// earlier one that arrive late have no effect after the first answer.
func (l *ledger) renew(a work.Announcement, now time.Time) {
	if l.known {
		l.end(l.incarnation())
	}
	l.instance, l.heard, l.known, l.answered = a, now, true, false
	l.fence++
	l.fenceSeen, l.fenceListed, l.seen, l.running, l.ended, l.refused = 0, 0, 0, nil, nil, nil
	l.clock, l.clockAt, l.answerAt, l.fails = 0, time.Time{}, now, 0
	// An earlier process of this agent may have leased runs until then.
	l.until = now.Add(control.Lease)
	clear(l.unanswered)
	clear(l.stopped)
	clear(l.started)
	clear(l.paced)
}

func (l *ledger) end(incarnation string) {
	l.gone = append(l.gone, incarnation)
	if len(l.gone) > rememberGone {
		l.gone = l.gone[1:]
	}
}

// leave notes that the worker has gone.
func (l *ledger) leave(id string) {
	if l.known && l.instance.ID == id {
		l.end(l.incarnation())
		l.known, l.answered = false, false
		l.running, l.ended, l.refused = nil, nil, nil
	}
}

// absentAfter is the time in which nothing listens at a worker's address after
// which its process has ended. It is several tries.
const absentAfter = 400 * time.Millisecond

// absent notes that nothing listens at the worker's address and reports
// whether the worker is taken for ended. If it reports again it is back, and
// the leader stops what still runs there.
func (l *ledger) absent(now time.Time) bool {
	if l.refusing.IsZero() {
		l.refusing = now
	}
	if !l.known || now.Sub(l.refusing) < absentAfter {
		return false
	}
	l.refusing, l.presumed = time.Time{}, l.incarnation()
	l.leave(l.instance.ID)
	return true
}
