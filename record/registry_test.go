package record

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// emptyStore forgets what is written; down makes each exchange fail.
type emptyStore struct {
	rosemarysill.Store
	down  bool
	reads int
}

func (s *emptyStore) Grant(context.Context, time.Duration) (rosemarysill.LeaseID, error) {
	return 1, nil
}

func (s *emptyStore) Get(context.Context, string) (rosemarysill.Item, error) {
	s.reads++
	if s.down {
		return rosemarysill.Item{}, rosemarysill.ErrStoreUnavailable
	}
	return rosemarysill.Item{}, rosemarysill.ErrNotFound
}

func (s *emptyStore) Swap(context.Context, string, []byte, uint64, rosemarysill.LeaseID) (uint64, error) {
	if s.down {
		return 0, rosemarysill.ErrStoreUnavailable
	}
	return 1, nil
}

// TestUnsettledRecordsAreBounded guards against memory and store exchanges that
// grow with an outage, and against looking for a record for ever.
func TestUnsettledRecordsAreBounded(t *testing.T) {
	store := &emptyStore{down: true}
	k := NewRegistry(DefaultLimits(), rosemarysill.NewOptions(rosemarysill.WithStore(store)))
	for n := range 100 {
		k.Finish(t.Context(), &OwnedRecord{key: fmt.Sprint(n)}, rosemarysill.Answer{})
	}
	k.Settle(t.Context())
	require.Equal(t, []int{1, 64, 36}, []int{store.reads, len(k.unsettled), k.Counts().Dropped})
	store.down = false
	for range k.limits.SettleAttempts {
		require.Len(t, k.unsettled, 64)
		k.Settle(t.Context())
	}
	require.Empty(t, k.unsettled)
}

// TestAccountsShareTheWrites guards against an account that cannot record its
// calls because others send as many as they can.
func TestAccountsShareTheWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewRegistry(DefaultLimits(), rosemarysill.NewOptions(rosemarysill.WithStore(&emptyStore{})))
		got := map[string]int{}
		claim := func(account string, n int) {
			if k.Claim(t.Context(), rosemarysill.Call{ID: uuid.UUID{byte(n)}, Account: account}).Owned != nil {
				got[account]++
			}
		}
		for ms := range 10_000 { // 1,000 writes are possible, and 100 saved ones
			claim("many", ms)
			if ms%100 == 0 { // needs 20 writes per second
				claim("few", ms)
			}
			<-time.After(time.Millisecond)
		}
		require.GreaterOrEqual(t, got["few"], 95)
		require.GreaterOrEqual(t, got["many"], 400)
		require.LessOrEqual(t, k.Counts().Writes, 1100/writesPerCall)
	})
}

// TestAccountsShareTheClaims guards against an account that cannot record its
// calls because a slow store keeps those of another in progress.
func TestAccountsShareTheClaims(t *testing.T) {
	s := newShares(8, 100)
	begin := func(account string) bool { return s.begin(account, 2, 100, time.Unix(1, 0)) }
	require.True(t, begin("few"))
	s.end("few")
	for i := range 10 {
		require.Equal(t, i < 4, begin("many"), "claim %d", i)
	}
	require.True(t, begin("few"))
	require.True(t, begin("few"))
	require.False(t, begin("few"))
	s.end("many")
	require.True(t, begin("other"))
}
