package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against calls for advice about workers that are known already or about too many
// at once, and against tickets that expire before the order arrives.
func TestStepAdvice(t *testing.T) {
	a := newStepAdvice()
	workers := make([]string, 70)
	for i := range workers {
		workers[i] = string(rune('A' + i))
	}
	require.Equal(t, workers[:30], a.nextWorkers(workers, 2, at(0)))
	a.apply(workers[:30], work.Advice{Tickets: map[string]string{"B": "t1", "C": "t2"}, TicketTTL: 3 * time.Second}, at(0))
	require.Empty(t, a.nextWorkers(workers, 2, at(100)), "two tickets are enough for two tasks")
	require.Equal(t, workers[30:60], a.nextWorkers(workers, 3, at(100)))
	require.Len(t, a.validTickets(at(2600)), 2)
	require.Empty(t, a.validTickets(at(2800)), "an order takes time to arrive")
	require.Equal(t, []string{"B", "C"}, a.nextWorkers(workers[:30], 2, at(2800)), "allowed workers stay allowed; only their tickets are requested again")
}

// Guards against best-effort steps that never get a ticket for a worker which has shrunk:
// they reserve no processor time there.
func TestAdviceIsRequestedByDemand(t *testing.T) {
	m := newFleetModel(1)
	w := m.workers[0]
	w.capacity = work.Shape{MilliCPU: 1000, MemoryMB: 1000}
	m.report(w)
	j := &work.Job{ID: "j", Service: "s"}
	for name, c := range map[string]struct {
		step work.Step
		want int
	}{
		"reserves processor time": {work.Step{Shape: work.Shape{MilliCPU: 2000, MemoryMB: 100}}, 0},
		"best effort":             {work.Step{Shape: work.Shape{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true}, 1},
		"too much memory":         {work.Step{Shape: work.Shape{MemoryMB: 2000}, BestEffort: true}, 0},
	} {
		t.Run(name, func(t *testing.T) { require.Len(t, m.term.eligibleWorkers(j, c.step, uptime.Now()), c.want) })
	}
}

// Guards against tickets of an earlier incarnation of a worker, which it refuses until they
// expire: a task that may run nowhere else would not start for that time.
func TestTicketOfEarlierIncarnationIsRequestedAgain(t *testing.T) {
	k := work.RunKey{Task: work.TaskKey{Job: "j0"}, Run: 1}
	for name, tc := range map[string]struct {
		incarnation string
		refused     []control.Refusal
	}{
		"refused":          {"a0/i/1", []control.Refusal{{Key: k, Reason: work.RefusedTicket}}},
		"next incarnation": {"a0/i/2", nil},
	} {
		t.Run(name, func(t *testing.T) {
			m := newFleetModel(0)
			report := func(incarnation string, refused []control.Refusal) {
				require.NoError(t, m.term.report(m.term.newStream(), control.Report{
					Agent: "a0", Stamp: uptime.Now(), Refused: refused,
					Worker: &control.Worker{Incarnation: incarnation, ID: "i", Service: "s", Capacity: accelerators(8)},
				}))
			}
			report("a0/i/1", nil)
			m.submit(2, work.Step{Count: 1, Shape: accelerators(1)})
			a := newStepAdvice()
			a.apply([]string{"i"}, work.Advice{Tickets: map[string]string{"i": "t1"}, TicketTTL: 20 * time.Second}, uptime.Now())
			m.term.advice[stepKey{job: "j0"}] = a
			s := m.term.jobs["j0"]
			require.Equal(t, map[string]string{"a0/i/1": "t1"}, m.term.tickets(s, 0, 0, uptime.Now()))
			s.progress.Place(&s.progress.Tasks[0], "a0/i/1", "t1", 1)
			m.term.workers["a0/i/1"].placedAt[k] = uptime.Now()
			report(tc.incarnation, tc.refused)
			require.Empty(t, m.term.tickets(s, 0, 0, uptime.Now()))
			require.Equal(t, []string{"i"}, a.nextWorkers([]string{"i"}, 1, uptime.Now()))
		})
	}
}

// Guards against large steps that cannot start and are asked about without end, because
// their tickets expire, while a small one that fits is never asked about (KNOWN-RED 18,
// review/10), and against large ones that are never asked about in turn.
func TestAdviceIsRequestedInTurn(t *testing.T) {
	m := newFleetModel(2)
	place := func(w *reportingWorker, accelerators int64) {
		id := m.submitAdvised(1, accelerators)
		s := m.term.jobs[id]
		s.job.Advised = false
		s.progress.Place(&s.progress.Tasks[0], w.id, "", 1)
		m.term.workers[w.id].placedAt[work.RunKey{Task: work.TaskKey{Job: id}, Run: 1}] = uptime.Now()
	}
	for _, w := range m.workers {
		place(w, 4) // a task of 8 accelerators has no room
	}
	var large []string
	for range 9 {
		large = append(large, m.submitAdvised(1, 8))
	}
	small := m.submitAdvised(2, 1)
	urgent := m.submitAdvised(0, 8)
	asked := make(map[string]int)
	var order []string
	for range 25 {
		for _, id := range append(append([]string{}, large...), small, urgent) {
			m.term.tickets(m.term.jobs[id], 0, 0, uptime.Now())
		}
		q, ok := m.term.nextAdviceQuery()
		require.True(t, ok)
		asked[q.key.job]++
		order = append(order, q.key.job)
		if q.key.job == urgent || q.key.job == small {
			m.term.advice[q.key].apply(q.workers, work.Advice{Tickets: map[string]string{q.workers[0]: "t"}, TicketTTL: time.Minute}, uptime.Now())
		}
	}
	require.Equal(t, []string{urgent, small}, order[:2])
	for _, id := range large {
		require.GreaterOrEqual(t, asked[id], 2, id)
	}
}

// submitAdvised submits a job of one advised task and returns its identifier.
func (m *fleetModel) submitAdvised(priority int, n int64) string {
	m.submit(priority, work.Step{Count: 1, Shape: accelerators(n)})
	id := fmt.Sprint("j", m.jobs-1)
	m.term.jobs[id].job.Advised = true
	return id
}

// Guards against a step without room that is never asked about while others with room are
// asked again whenever their tickets expire.
func TestStepWithoutRoomIsAskedAboutEventually(t *testing.T) {
	now := uptime.Now()
	turn := func(waited time.Duration) *adviceTurn { return &adviceTurn{waitsSince: now.Add(-waited)} }
	room, recent, overdue := turn(0), turn(maxAdviceWait/2), turn(maxAdviceWait)
	require.Same(t, room, chooseTurn(room, recent, true, now))
	require.Same(t, overdue, chooseTurn(room, overdue, true, now))
	require.Same(t, room, chooseTurn(room, overdue, false, now), "every second query")
	require.Same(t, recent, chooseTurn(nil, recent, false, now))
	require.Nil(t, chooseTurn(nil, nil, true, now))
}
