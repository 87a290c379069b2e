package worker

import (
	"cmp"
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "100")
}

// model is what the promises allow, kept apart from the ledger's own state.
type model struct {
	now          time.Time
	epoch        uint64
	revision     uint64
	fresh        time.Time
	out, leaving bool
	attempt      map[byte]int
	reserved     map[rosemarysill.RuntimeTask]time.Time // deadline of the first accepted reservation
	epochOf      map[rosemarysill.RuntimeTask]uint64    // of the accepted commit
	stopped      map[rosemarysill.RuntimeTask]bool
	started      map[rosemarysill.RuntimeTask]bool
	lease        map[rosemarysill.RuntimeTask]time.Time
	live         map[rosemarysill.RuntimeTask][]int     // accelerators of tasks that may run
	failed       map[rosemarysill.RuntimeTask]time.Time // last failed effect
	inFlight     []Effect
}

// TestLedgerModel guards the promises that rest on the ledger: no accelerator
// is given twice; no start after the reservation lapsed, after a stop, with a
// lower epoch or attempt, with stale configuration, in a domain that is out or
// while leaving; a member whose lease lapses is stopped. Messages repeat, come
// late and in any order; effects fail or take long; the process pauses.
func TestLedgerModel(t *testing.T) {
	starts, stops := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLedger()
		m := &model{
			now: start, attempt: map[byte]int{},
			reserved: map[rosemarysill.RuntimeTask]time.Time{}, epochOf: map[rosemarysill.RuntimeTask]uint64{},
			stopped: map[rosemarysill.RuntimeTask]bool{}, started: map[rosemarysill.RuntimeTask]bool{},
			lease: map[rosemarysill.RuntimeTask]time.Time{}, live: map[rosemarysill.RuntimeTask][]int{},
			failed: map[rosemarysill.RuntimeTask]time.Time{},
		}
		small := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
		rarely := func(label string) bool { return small(label, 0, 9) == 9 }
		// pick draws a message that mostly belongs to the present, so that
		// members get to run, and sometimes comes late or early.
		pick := func() (byte, int, uint64) {
			n := byte(small("job", 1, 3))
			attempt, epoch := max(m.attempt[n], 1), max(m.epoch, 1)
			if rarely("other attempt") {
				attempt = small("attempt", 1, attempt+1)
			}
			if rarely("other epoch") {
				epoch = uint64(small("epoch", 1, int(epoch)+1))
			}
			return n, attempt, epoch
		}
		sent := func() time.Time { return m.now.Add(-time.Duration(small("late", 0, 4)) * time.Second) }
		reserveOne := func() {
			n, attempt, epoch := pick()
			if _, ok := m.reserved[task(n, attempt)]; ok && small("again", 0, 2) > 0 {
				attempt = m.attempt[n] + 1
			}
			first := small("accelerator", 0, 2)
			r := reserve(n, attempt, epoch, first, first+1)
			r.Revision = m.revision
			if rarely("other revision") {
				r.Revision = uint64(small("revision", 0, 3))
			}
			if l.Reserve(r, m.now) == nil {
				if _, ok := m.reserved[task(n, attempt)]; !ok {
					m.reserved[task(n, attempt)] = m.now.Add(3 * time.Second)
				}
				m.saw(n, attempt, epoch)
			}
		}
		commitOne := func() {
			n, attempt, epoch := pick()
			if l.Commit(commit(n, attempt, epoch), m.now) != nil {
				return
			}
			m.epoch = max(m.epoch, epoch)
			if _, ok := m.epochOf[task(n, attempt)]; !ok {
				m.epochOf[task(n, attempt)] = epoch
				m.lease[task(n, attempt)] = m.now.Add(15 * time.Second)
			}
		}
		orderOne := func(fresh time.Duration, at time.Time) {
			n, attempt, epoch := pick()
			o := rosemarysill.AgentOrders{
				Revision: max(m.revision, 1), Epoch: epoch, FreshFor: fresh,
				Leases: []rosemarysill.LeaseGrant{{Job: job(n), Attempt: attempt, Duration: 15 * time.Second}},
			}
			if rarely("other revision") {
				o.Revision = uint64(small("revision", 1, int(m.revision)+1))
			}
			o.DomainOut = o.Revision%4 == 2
			l.Obey(o, at, m.now)
			m.obey(o, at)
		}
		t.Repeat(map[string]func(*rapid.T){
			"Reserve": func(*rapid.T) { reserveOne() },
			"Commit":  func(*rapid.T) { commitOne() },
			"Gang": func(*rapid.T) {
				reserveOne()
				commitOne()
			},
			"Stop": func(*rapid.T) {
				n, attempt, epoch := pick()
				reply, err := l.Stop(stop(n, attempt, epoch), m.now)
				if err != nil {
					return
				}
				m.saw(n, attempt, epoch)
				m.stopped[task(n, attempt)] = true
				if _, ok := m.live[task(n, attempt)]; ok && reply.Stopped {
					t.Fatalf("stopped is claimed of a task that may run")
				}
				if reply.NeverStarted && m.started[task(n, attempt)] {
					t.Fatalf("never started is claimed of a task that started")
				}
			},
			"Orders": func(*rapid.T) { orderOne(time.Duration(small("fresh", 0, 9))*time.Second, sent()) },
			"Renew":  func(*rapid.T) { orderOne(5*time.Second, m.now) },
			"Leave": func(*rapid.T) {
				if rarely("leave") && small("indeed", 0, 3) == 3 {
					m.leaving = true
					l.Leave()
				}
			},
			"Pass": func(*rapid.T) { m.now = m.now.Add(time.Duration(small("ms", 1, 1500)) * time.Millisecond) },
			"Pause": func(*rapid.T) {
				if rarely("pause") {
					m.now = m.now.Add(time.Duration(small("s", 4, 40)) * time.Second)
				}
			},
			"Due": func(*rapid.T) {
				for _, e := range l.Due(m.now) {
					if e.Kind == StartTask {
						m.check(t, e)
						starts++
					}
					m.inFlight = append(m.inFlight, e)
				}
				m.checkLapsed(t)
			},
			"Done": func(*rapid.T) {
				if len(m.inFlight) == 0 {
					return
				}
				i := small("effect", 0, len(m.inFlight)-1)
				e := m.inFlight[i]
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
				var err error
				if small("fails", 0, 3) == 0 {
					err = errors.New("runtime")
					m.failed[e.Task] = m.now
				}
				if e.Kind == StopTask && err == nil {
					delete(m.live, e.Task)
					stops++
				}
				l.Did(e, "c", err, m.now)
			},
			"Poll": func(*rapid.T) {
				if len(m.inFlight) > 0 {
					return
				}
				var list []rosemarysill.TaskStatus
				for _, task := range m.sorted() {
					state := rosemarysill.TaskRunning
					if small("ends", 0, 3) == 0 {
						state = rosemarysill.TaskDone
						delete(m.live, task)
					}
					list = append(list, rosemarysill.TaskStatus{Task: task, State: state})
				}
				l.Observe(list, m.now, m.now)
				_, digest := l.Report(m.now)
				l.Acknowledge(digest, m.now)
			},
		})
	})
	t.Logf("%d starts, %d stops", starts, stops)
	if starts < 500 || stops < 200 {
		t.Fatalf("the model reached only %d starts and %d stops", starts, stops)
	}
}

func (m *model) saw(n byte, attempt int, epoch uint64) {
	m.attempt[n] = max(m.attempt[n], attempt)
	m.epoch = max(m.epoch, epoch)
}

func (m *model) obey(o rosemarysill.AgentOrders, sent time.Time) {
	m.epoch = max(m.epoch, o.Epoch)
	if o.Revision >= m.revision {
		m.revision, m.out = o.Revision, o.DomainOut
		if until := sent.Add(min(o.FreshFor, 5*time.Second)); until.After(m.fresh) {
			m.fresh = until
		}
	}
	for task, until := range m.lease {
		for _, g := range o.Leases {
			// A lease that has lapsed stays lapsed.
			if extended := sent.Add(g.Duration); task.Job == g.Job && task.Attempt == g.Attempt && m.now.Before(until) && extended.After(until) {
				m.lease[task] = extended
			}
		}
	}
}

// check fails the test if the start breaks a promise.
func (m *model) check(t *rapid.T, e Effect) {
	for other, accelerators := range m.live {
		for _, a := range accelerators {
			for _, b := range e.Start.Accelerators {
				if a == b {
					t.Fatalf("accelerator %d of %v given to %v", a, other, e.Task)
				}
			}
		}
	}
	deadline, ok := m.reserved[e.Task]
	switch {
	case !ok || !m.now.Before(deadline):
		t.Fatalf("start after the reservation lapsed")
	case m.started[e.Task]:
		t.Fatalf("second start")
	case m.stopped[e.Task]:
		t.Fatalf("start after stop")
	case m.epochOf[e.Task] < m.epoch:
		t.Fatalf("start with epoch %d after %d", m.epochOf[e.Task], m.epoch)
	case e.Task.Attempt < m.attempt[e.Task.Job[15]]:
		t.Fatalf("start of an older attempt")
	case !m.now.Before(m.fresh):
		t.Fatalf("start with stale configuration")
	case m.out:
		t.Fatalf("start in a domain that is out")
	case m.leaving:
		t.Fatalf("start while leaving")
	}
	m.started[e.Task] = true
	m.live[e.Task] = e.Start.Accelerators
}

// checkLapsed fails the test if a task whose lease has lapsed is not being
// stopped. A failed stop is tried again after RetryAfter; a start in flight
// comes first.
func (m *model) checkLapsed(t *rapid.T) {
	for task := range m.live {
		if m.now.Before(m.lease[task]) || m.now.Before(m.failed[task].Add(time.Second)) {
			continue
		}
		attended := false
		for _, e := range m.inFlight {
			attended = attended || e.Task == task && (e.Kind == StopTask || e.Kind == StartTask)
		}
		if !attended {
			t.Fatalf("%v runs %s after its lease", task, m.now.Sub(m.lease[task]))
		}
	}
}

func (m *model) sorted() []rosemarysill.RuntimeTask {
	return slices.SortedFunc(maps.Keys(m.live), func(a, b rosemarysill.RuntimeTask) int {
		return cmp.Or(cmp.Compare(a.Job[15], b.Job[15]), cmp.Compare(a.Attempt, b.Attempt))
	})
}
