package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against placements that change because speeds are known, although no objective
// needs them.
func TestSpeedsThatThreatenNoObjectiveChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		for _, w := range in.workers {
			w.Slow, w.Unproven = false, false
		}
		for _, u := range in.units {
			u.MinSpeed, u.MinSpeedAfterStop = 0, 0
		}
		unknown := in.clone()
		for _, w := range unknown.workers {
			w.Speed = 0
		}
		require.Equal(t, Decide(unknown.workers, unknown.units, in.urgentReserve), Decide(in.workers, in.units, in.urgentReserve))
	})
}
