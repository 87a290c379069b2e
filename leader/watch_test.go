package leader

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against long or slow runs that count as stalled, and against stalled runs that
// are not detected.
func TestStalled(t *testing.T) {
	for name, tc := range map[string]struct {
		estimate time.Duration
		progress map[int]int // percent by milliseconds
		now      int
		stalls   int // of earlier runs
		want     bool
	}{
		"no progress from the start":      {time.Second, map[int]int{0: 0}, 2000, 0, true},
		"within the estimate":             {time.Minute, map[int]int{0: 0}, 5000, 0, false},
		"stalled after progress":          {time.Second, map[int]int{0: 0, 500: 50, 900: 50}, 2100, 0, true},
		"moves":                           {time.Second, map[int]int{0: 0, 500: 50, 900: 90}, 1500, 0, false},
		"run of hours at its usual speed": {3 * time.Hour, map[int]int{0: 0, 100_000: 1}, 300_000, 0, false},
		"run of hours, stalled":           {3 * time.Hour, map[int]int{0: 0, 100_000: 1}, 1_000_000, 0, true},
		"slower than estimated":           {time.Second, map[int]int{0: 0, 2000: 1, 4000: 2}, 7000, 0, false},
		"no estimate":                     {0, map[int]int{0: 0}, 6000, 0, false},
		"no estimate, stalled":            {0, map[int]int{0: 0}, 10_000, 0, true},
		"stopped before":                  {time.Second, map[int]int{0: 0}, 5900, 2, false},
		"stopped before, stalled again":   {time.Second, map[int]int{0: 0}, 6000, 2, true},
		"stopped before, then progress":   {time.Second, map[int]int{0: 0, 500: 50}, 2100, 2, true},
		"estimate beyond any duration":    {math.MaxInt64, map[int]int{0: 0}, 10_000, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &tracker{stalls: tc.stalls}
			for ms := 0; ms <= tc.now; ms += 100 {
				if percent, ok := tc.progress[ms]; ok {
					p.observe(percent, at(ms))
				}
			}
			require.Equal(t, tc.want, p.stalledFor(tc.estimate, at(tc.now)) > 0)
		})
	}
}

// Guards against a gang that is stopped because a member has finished and waits for
// slower ones. On a large site that caused most of the lost work and excluded healthy
// workers.
func TestFinishedGangMemberIsNotStalled(t *testing.T) {
	p := &tracker{}
	p.observe(0, at(0))
	p.observe(100, at(8000))
	require.Zero(t, p.stalledFor(3*time.Second, at(20_000)))
}

// Guards against wrong estimates of the remaining time of runs on a draining worker.
func TestRemainingTime(t *testing.T) {
	p := &tracker{}
	p.observe(20, at(0)) // resumed from a checkpoint
	require.Equal(t, 4*time.Second, p.remaining(5*time.Second, at(1000)))
	p.observe(40, at(1000))
	require.Equal(t, 3*time.Second, p.remaining(time.Minute, at(1000)))
	require.False(t, p.endsWithin(2*time.Second, time.Minute, at(1000)))
	require.True(t, p.endsWithin(3*time.Second, time.Minute, at(1000)))
	p.observe(42, at(3900))
	require.True(t, p.endsWithin(3*time.Second, time.Minute, at(3900)))
	require.False(t, p.endsWithin(3*time.Second, time.Minute, at(4100)), "the forecast has passed")
}
