package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against explanations of decisions that differ from those that are made, and
// against workers that are counted twice or not at all.
func TestExplainMakesTheSameDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		if len(in.units) == 0 {
			return
		}
		job := rapid.SampledFrom(in.units).Draw(t, "explained").Job.ID
		want, got := in.clone(), in.clone()
		plan := Decide(want.workers, want.units, want.urgentReserve)
		explained, steps, ok := Explain(got.workers, got.units, got.urgentReserve, job, func() bool { return false })
		require.True(t, ok)
		require.Equal(t, plan, explained)
		started, excluded := 0, 0
		for _, s := range steps {
			started += s.Started
			taken := make(map[string]bool)
			for _, p := range plan.Placements {
				if p.Task.Job == job && p.Task.Step == s.First.Step && p.Task.Occurrence == s.First.Occurrence {
					taken[p.Worker] = true
				}
			}
			seen := make(map[string]bool)
			for _, e := range s.Excluded {
				require.False(t, seen[e.Worker])
				seen[e.Worker] = true
				excluded++
			}
			for _, w := range got.workers {
				require.True(t, seen[w.ID] || taken[w.ID], w.ID)
			}
		}
		for _, p := range plan.Placements {
			if p.Task.Job == job {
				started--
			}
		}
		require.Zero(t, started)
		require.NotZero(t, excluded+len(plan.Placements))
	})
}

// Guards against an explanation that goes on after its time is up.
func TestExplainStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		_, _, ok := Explain(in.workers, in.units, in.urgentReserve, "x", func() bool { return true })
		require.Equal(t, len(in.units) == 0, ok)
	})
}
