package speed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/speed"
)

// Guards against a restart without evidence that a slow worker is the cause, or of a run
// that is in time, far done, or late in any case.
func TestRestartSpeed(t *testing.T) {
	gang := func(slow, fast speed.Progress) []speed.Progress { return []speed.Progress{slow, fast} }
	slow, fast := speed.Progress{Percent: 20, Rate: 25, Speed: 0.5, Age: 800 * time.Millisecond}, speed.Progress{Percent: 40, Rate: 50, Speed: 1, Age: 800 * time.Millisecond}
	farDone, sound := slow, slow
	farDone.Percent, sound.Speed = 50, 1
	for name, c := range map[string]struct {
		members             []speed.Progress
		left, leftAfterStop time.Duration
		want                float64
	}{
		"late on a slow worker":   {gang(slow, fast), 3 * time.Second, 2200 * time.Millisecond, 1},
		"in time":                 {gang(slow, fast), 4 * time.Second, 3 * time.Second, 0},
		"late anywhere":           {gang(slow, fast), 2 * time.Second, time.Second, 0},
		"no time after the stop":  {gang(slow, fast), 300 * time.Millisecond, -time.Second, 0},
		"half of it is done":      {gang(farDone, fast), time.Second, 2200 * time.Millisecond, 0},
		"worker is not slow":      {gang(sound, fast), 3 * time.Second, 2200 * time.Millisecond, 0},
		"no rate of the slow one": {gang(speed.Progress{Speed: 0.5}, fast), 3 * time.Second, 2200 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, ok := speed.ForecastRun(c.members)
			require.True(t, ok)
			require.InDelta(t, c.want, f.RestartSpeed(c.left, c.leftAfterStop), 0.01)
		})
	}
	_, ok := speed.ForecastRun([]speed.Progress{{Speed: 0.5}})
	require.False(t, ok)
}
