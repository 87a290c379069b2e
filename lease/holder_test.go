package lease

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
)

// testClock is a clock that tests move.
type testClock struct{ t time.Time }

func (c *testClock) now() time.Time { return c.t }

func (c *testClock) advance(d time.Duration, s *standin.Store) {
	c.t = c.t.Add(d)
	s.Tick()
}

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newHolders(clock *testClock, n int) (*standin.Store, []*Holder) {
	store := standin.NewStore(standin.StoreOptions{Now: clock.now})
	var out []*Holder
	for range n {
		out = append(out, NewHolder(store, uuid.New(), 5*time.Second, clock.now))
	}
	return store, out
}

// TestHolder guards against two placing entries in one epoch, and against an
// epoch that goes back.
func TestHolder(t *testing.T) {
	ctx := context.Background()
	clock := &testClock{testStart}
	store, h := newHolders(clock, 2)
	a, b := h[0], h[1]

	holds, taken := a.Keep(ctx)
	require.True(t, holds && taken)
	holds, _ = b.Keep(ctx)
	require.False(t, holds, "the lease is taken")

	clock.advance(4*time.Second, store)
	holds, taken = a.Keep(ctx)
	require.True(t, holds && !taken, "renewed")

	clock.advance(6*time.Second, store) // a was paused past its lease
	_, held := a.Held()
	require.False(t, held)
	holds, _ = b.Keep(ctx)
	require.True(t, holds)
	first, second := a.epoch, b.epoch
	require.Greater(t, second, first)
	holds, _ = a.Keep(ctx)
	require.False(t, holds)

	b.Release(ctx)
	holds, _ = a.Keep(ctx)
	require.True(t, holds, "released, so there is no wait")
	require.Greater(t, a.epoch, second)
}

// TestHolderUnderStoreFaults guards against a lease that is believed held
// although the store has given it up, and against an epoch used twice after a
// lost answer.
func TestHolderUnderStoreFaults(t *testing.T) {
	ctx := context.Background()
	cases := map[string]standin.StoreFaults{
		"first answer lost":    {LoseNext: 1},
		"two answers lost":     {LoseNext: 2},
		"three answers lost":   {LoseNext: 3},
		"every second is lost": {LoseEvery: 2},
		"store is out":         {Outage: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{testStart}
			store, h := newHolders(clock, 2)
			epochs := map[uint64]bool{}
			store.SetFaults(faults)
			for i := range 40 {
				if i == 20 {
					store.SetFaults(standin.StoreFaults{})
				}
				who := h[i%2]
				if _, taken := who.Keep(ctx); taken {
					require.False(t, epochs[who.epoch], "epoch %d is used twice", who.epoch)
					epochs[who.epoch] = true
				}
				_, first := h[0].Held()
				_, second := h[1].Held()
				require.False(t, first && second, "two holders at once")
				clock.advance(time.Second, store)
			}
			require.NotEmpty(t, epochs, "the lease is taken once the store is well")
		})
	}
}

// TestHolderOutage guards against placing on a lease that lapsed during an
// outage of the store.
func TestHolderOutage(t *testing.T) {
	ctx := context.Background()
	clock := &testClock{testStart}
	store, h := newHolders(clock, 1)
	holds, _ := h[0].Keep(ctx)
	require.True(t, holds)
	store.SetFaults(standin.StoreFaults{Outage: true})
	clock.advance(3*time.Second, store)
	holds, _ = h[0].Keep(ctx)
	require.True(t, holds, "not lapsed yet")
	clock.advance(2*time.Second, store)
	holds, _ = h[0].Keep(ctx)
	require.False(t, holds)
}
