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
