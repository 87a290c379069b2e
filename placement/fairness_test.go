package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// Guards against an account that gets a larger share of borrowed capacity by
// sending more requests, or the same work in smaller ones. Account d does so,
// while a, b and c always have as much work waiting as fits the cluster.
func TestFairShareProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, placement.New())
		for i := range m.state.Config.Accounts {
			m.state.Config.Accounts[i].Guarantees = nil
		}
		size := rapid.IntRange(1, 2).Draw(t, "size")
		parts := rapid.IntRange(1, size).Draw(t, "parts")
		more := rapid.IntRange(1, 6).Draw(t, "more")
		held := map[string]int{}
		waiting := map[string]int{}
		for range 30 {
			m.now = m.now.Add(time.Second)
			clear(held)
			clear(waiting)
			for _, w := range m.state.Waiting {
				waiting[w.Spec.Account]++
			}
			for _, name := range []string{"d", "a", "b", "c"} {
				backlog := 16
				s := rosemarysill.Shape{Members: 1, Accelerators: size, Processors: 1}
				if name == "d" {
					backlog *= more
					s.Accelerators = max(size/parts, 1)
				}
				for n := waiting[name]; n < backlog; n++ {
					m.submit(name, rosemarysill.Normal, true, s)
				}
			}
			m.decide()
			for _, j := range m.state.Placed {
				held[j.Spec.Account] += j.Spec.Shape.TotalAccelerators()
			}
			for _, name := range []string{"a", "b", "c"} {
				require.LessOrEqual(t, held["d"], held[name]+2*size, "d has a larger share than %s: %v", name, held)
			}
			for range rapid.IntRange(0, 6).Draw(t, "completions") {
				if n := len(m.state.Placed); n > 0 {
					done := rapid.IntRange(0, n-1).Draw(t, "done")
					m.remove(func(i int, _ *rosemarysill.PlacedJob) bool { return i == done }, false)
				}
			}
		}
	})
}

// Guards against an account that keeps a larger share by asking in small jobs
// that fill every gap, so that jobs that need whole workers never fit.
func TestFairShareOfWholeWorkers(t *testing.T) {
	m := newModel(t, placement.New())
	for i := range m.state.Config.Accounts {
		m.state.Config.Accounts[i].Guarantees = nil
	}
	small := rosemarysill.Shape{Members: 1, Accelerators: 1}
	for range 60 {
		m.submit("d", rosemarysill.Normal, true, small)
	}
	m.decide()
	for range 10 {
		m.submit("a", rosemarysill.Normal, true, rosemarysill.Shape{Members: 1, Accelerators: 4})
	}
	for n := range 16 {
		m.now = m.now.Add(time.Minute)
		m.release()
		m.remove(func(_ int, j *rosemarysill.PlacedJob) bool {
			return (int(j.Spec.ID[15])+n)%8 == 0 && j.Spec.Account == "d"
		}, false)
		for len(m.state.Waiting) < 40 {
			m.submit("d", rosemarysill.Normal, true, small)
		}
		m.decide()
	}
	held := map[string]int{}
	for _, j := range m.state.Placed {
		held[j.Spec.Account] += j.Spec.Shape.TotalAccelerators()
	}
	require.GreaterOrEqual(t, held["a"], 12, "%v", held)
}

// Guards against work left behind in a failure domain that is out, against
// trial tasks that go elsewhere or to a worker that already has one, and against
// a retry on the worker that failed.
func TestDecidePlaces(t *testing.T) {
	one := rosemarysill.Shape{Members: 1, Accelerators: 4}
	tests := map[string]struct {
		change    func(m *model)
		placed    string // worker of the first placement, if any
		reclaimed int
	}{
		"probe": {change: func(m *model) {
			m.state.Workers[5].Usable, m.state.Workers[5].Probe = false, true
		}, placed: "w5"},
		"probe under way": {change: func(m *model) {
			m.state.Workers[5].Usable, m.state.Workers[5].Probe = false, true
			m.state.Placed = append(m.state.Placed, rosemarysill.PlacedJob{Spec: job(9, "d", one), Slots: []rosemarysill.Slot{{Worker: "w5", Accelerators: []int{0}}}})
		}, placed: "w4"},
		"failed before": {change: func(m *model) { m.state.Waiting[0].FailedOn = []string{"w0"} }, placed: "w1"},
		"domain is out": {change: func(m *model) {
			m.setDomain(1, true)
			m.state.Placed = append(m.state.Placed,
				rosemarysill.PlacedJob{Spec: job(9, "d", one), Slots: []rosemarysill.Slot{{Worker: "w2", Accelerators: []int{0, 1, 2, 3}}}},
				rosemarysill.PlacedJob{Spec: job(8, "d", one), Slots: []rosemarysill.Slot{{Worker: "w4", Accelerators: []int{0, 1, 2, 3}}}})
		}, placed: "w5", reclaimed: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, placement.New())
			m.submit("d", rosemarysill.Normal, true, one)
			tt.change(m)
			d := m.policy.Decide(m.state, m.now)
			require.Len(t, d.Place, 1)
			require.Equal(t, tt.placed, d.Place[0].Slots[0].Worker)
			require.Len(t, d.Reclaim, tt.reclaimed)
		})
	}
}
