package leader

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against best-effort runs that keep a serving task above its latency target, and
// against a speed that oscillates.
func TestThrottle(t *testing.T) {
	s := throttle{percent: fullSpeedPercent, changedAt: at(0)}
	ms := 0
	for s.percent > 0 {
		ms += 600
		s = s.adjust(1.5, at(ms))
		require.Less(t, ms, 4000, "the overload must end within 4 s")
	}
	require.Equal(t, s, s.adjust(0.9, at(ms+600)), "no change between the thresholds")
	for ms += 600; s.percent < fullSpeedPercent; ms += 600 {
		s = s.adjust(0.5, at(ms))
	}
	require.Equal(t, s, s.adjust(1.5, at(ms-500)), "no change before reports can show the effect of the last one")
}
