package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against runs that are taken for stalled because they are long or
// slow, and stalled ones that are not noticed.
func TestStalled(t *testing.T) {
	for name, tc := range map[string]struct {
		estimate time.Duration
		progress map[int]int // percent by milliseconds
		now      int
		want     bool
	}{
		"no progress at first":         {time.Second, map[int]int{0: 0}, 2000, true},
		"within the estimate":          {time.Minute, map[int]int{0: 0}, 5000, false},
		"stands still after progress":  {time.Second, map[int]int{0: 0, 500: 50, 900: 50}, 2100, true},
		"moves":                        {time.Second, map[int]int{0: 0, 500: 50, 900: 90}, 1500, false},
		"a run of hours at its speed":  {3 * time.Hour, map[int]int{0: 0, 100_000: 1}, 300_000, false},
		"a run of hours stands still":  {3 * time.Hour, map[int]int{0: 0, 100_000: 1}, 1_000_000, true},
		"slower than it was estimated": {time.Second, map[int]int{0: 0, 2000: 1, 4000: 2}, 7000, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &tracker{}
			for ms := 0; ms <= tc.now; ms += 100 {
				if percent, ok := tc.progress[ms]; ok {
					p.observe(percent, at(ms))
				}
			}
			require.Equal(t, tc.want, p.stalled(tc.estimate, at(tc.now)) > 0)
		})
	}
}

// Guards against a gang that is stopped because a member has done its part and
// waits for slower ones: on fjordtork-grown that threw most of the lost work
// away, and kept sound workers from being used.
func TestMemberThatHasFinishedIsNotStalled(t *testing.T) {
	p := &tracker{}
	p.observe(0, at(0))
	p.observe(100, at(8000))
	require.Zero(t, p.stalled(3*time.Second, at(20_000)))
}

// Guards against runs on a leaving worker whose remaining time is misjudged.
func TestTimeLeft(t *testing.T) {
	p := &tracker{}
	p.observe(20, at(0)) // resumed from a checkpoint
	require.Equal(t, 4*time.Second, p.left(5*time.Second, at(1000)))
	p.observe(40, at(1000))
	require.Equal(t, 3*time.Second, p.left(time.Minute, at(1000)))
	require.False(t, p.endsWithin(2*time.Second, time.Minute, at(1000)))
	require.True(t, p.endsWithin(3*time.Second, time.Minute, at(1000)))
	p.observe(42, at(3900))
	require.True(t, p.endsWithin(3*time.Second, time.Minute, at(3900)))
	require.False(t, p.endsWithin(3*time.Second, time.Minute, at(4100)), "the forecast has passed")
}

// Guards against best-effort runs that keep a serving task over its target, and
// against a speed that swings.
func TestPace(t *testing.T) {
	s := speed{percent: fullPace, changed: at(0)}
	ms := 0
	for s.percent > 0 {
		ms += 600
		s = s.adjust(1.5, at(ms))
		require.Less(t, ms, 4000, "harm lasts shorter than the bound of 4 s")
	}
	require.Equal(t, s, s.adjust(0.9, at(ms+600)), "between the thresholds nothing changes")
	for ms += 600; s.percent < fullPace; ms += 600 {
		s = s.adjust(0.5, at(ms))
	}
	require.Equal(t, s, s.adjust(1.5, at(ms-500)), "not before the figures can show the last change")
}

// Guards against calls for advice about workers that are known, about too many
// at once, and against tickets that lapse before the order arrives.
func TestAdvised(t *testing.T) {
	a := newAdvised()
	many := make([]string, 70)
	for i := range many {
		many[i] = string(rune('A' + i))
	}
	require.Equal(t, many[:30], a.next(many, 2, at(0)))
	a.take(many[:30], work.Advice{Tickets: map[string]string{"B": "t1", "C": "t2"}, TicketTTL: 3 * time.Second}, at(0))
	require.Empty(t, a.next(many, 2, at(100)), "two tickets are enough for two tasks")
	require.Equal(t, many[30:60], a.next(many, 3, at(100)))
	require.Len(t, a.valid(at(2600)), 2)
	require.Empty(t, a.valid(at(2800)), "an order takes time to arrive")
	require.Equal(t, []string{"B", "C"}, a.next(many[:30], 2, at(2800)), "what is good stays good; only tickets are asked for again")
}
