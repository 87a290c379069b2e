package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/admission"
)

// Guards against callers that use up their four further tries during an outage of several
// seconds, and against pauses that outlive the value of the jobs.
func TestOutagePauseGrowsWithOutage(t *testing.T) {
	for name, tc := range map[string]struct {
		outage           time.Duration
		wantMin, wantMax time.Duration
	}{
		"no outage":        {0, time.Second, 2 * time.Second},
		"clock error":      {-time.Hour, time.Second, 2 * time.Second},
		"short outage":     {1800 * time.Millisecond, time.Second, 2 * time.Second},
		"six seconds":      {6 * time.Second, 3 * time.Second, 6 * time.Second},
		"long outage":      {time.Hour, 4 * time.Second, 8 * time.Second},
		"never in contact": {math.MaxInt64, 4 * time.Second, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.wantMin, admission.OutagePause(tc.outage, 0))
			require.Equal(t, tc.wantMax, admission.OutagePause(tc.outage, 1))
		})
	}
	// Four more tries, with the least spread, of a caller that is refused after 3 s.
	at := 3 * time.Second
	for range 4 {
		at += admission.OutagePause(at, 0)
	}
	require.Greater(t, at, 10*time.Second, "with a pause of 1 s the last try would be after 7 s")
}

// Guards against pauses that the header cannot carry, and against refused callers that
// return together.
func TestPausesAreWholeSecondsAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64().Draw(t, "duration"))
		spread := rapid.Float64().Draw(t, "spread")
		for _, p := range []time.Duration{admission.OutagePause(d, spread), admission.DrainPause(d, spread)} {
			require.GreaterOrEqual(t, p, time.Second)
			require.LessOrEqual(t, p, 30*time.Second)
			require.Zero(t, p%time.Second)
		}
	})
	for _, f := range []func(time.Duration, float64) time.Duration{admission.OutagePause, admission.DrainPause} {
		seen := make(map[time.Duration]bool)
		for i := range 100 {
			seen[f(8*time.Second, float64(i)/100)] = true
		}
		require.GreaterOrEqual(t, len(seen), 4)
	}
}
