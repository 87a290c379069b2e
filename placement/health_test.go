package placement_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/placement"
)

// Guards against workers that fail every task and get ever more of them, and
// against a worker blamed for a job that fails everywhere.
func TestHealthQuarantine(t *testing.T) {
	a, b := uuid.UUID{1}, uuid.UUID{2}
	tests := map[string]struct {
		events      string // a, b: failure of the job; s: success; A: acquit a; f: forget
		quarantined bool
	}{
		"two jobs, three failures":  {events: "aba", quarantined: true},
		"one job only":              {events: "aaaaa"},
		"one job, then another":     {events: "aaaab", quarantined: true},
		"two failures":              {events: "ab"},
		"success between":           {events: "absab"},
		"success ends":              {events: "abas"},
		"acquitted":                 {events: "abaA"},
		"another job keeps failing": {events: "abbA"},
		"replaced":                  {events: "abaf"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := placement.NewHealth()
			for _, e := range tt.events {
				switch e {
				case 'a':
					h.Failed("w", a, start)
				case 'b':
					h.Failed("w", b, start)
				case 's':
					h.Succeeded("w")
				case 'A':
					h.Acquit(a)
				case 'f':
					h.Forget("w")
				}
			}
			require.Equal(t, tt.quarantined, h.Quarantined("w"))
		})
	}
}

// Guards against a faulty worker that is tried too often.
func TestHealthDelays(t *testing.T) {
	h := placement.NewHealth()
	now := start
	for n := range 3 {
		h.Failed("w", uuid.UUID{byte(n)}, now)
	}
	for _, delay := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute,
		8 * time.Minute, 16 * time.Minute, 32 * time.Minute, time.Hour, time.Hour} {
		require.False(t, h.ProbeDue("w", now.Add(delay-1)))
		now = now.Add(delay)
		require.True(t, h.ProbeDue("w", now))
		h.Failed("w", uuid.UUID{9}, now)
	}
}

// Guards against estimates that one late or absurd report spoils.
func TestRatios(t *testing.T) {
	r := placement.NewRatios()
	r.Observe("a", time.Minute, 10*time.Minute)
	r.Observe("a", 0, time.Minute)
	r.Observe("b", time.Second, 100*time.Hour)
	require.InDelta(t, 10, r.Map()["a"], 1e-9)
	require.InDelta(t, 100, r.Map()["b"], 1e-9)
	for range 20 {
		r.Observe("a", time.Minute, time.Minute)
	}
	require.InDelta(t, 1, r.Map()["a"], 0.05)
}
