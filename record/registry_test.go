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

// emptyStore accepts writes but never finds a key. If unavailable is set, reads
// and writes fail.
type emptyStore struct {
	rosemarysill.Store
	unavailable bool
	reads       int
}

func (s *emptyStore) Grant(context.Context, time.Duration) (rosemarysill.LeaseID, error) {
	return 1, nil
}

func (s *emptyStore) Get(context.Context, string) (rosemarysill.Item, error) {
	s.reads++
	if s.unavailable {
		return rosemarysill.Item{}, rosemarysill.ErrStoreUnavailable
	}
	return rosemarysill.Item{}, rosemarysill.ErrNotFound
}

func (s *emptyStore) Swap(context.Context, string, []byte, uint64, rosemarysill.LeaseID) (uint64, error) {
	if s.unavailable {
		return 0, rosemarysill.ErrStoreUnavailable
	}
	return 1, nil
}

// TestUnresolvedWritesAreBounded guards against memory use and store requests that
// grow with the length of an outage, and against endless look-ups of a missing
// record.
func TestUnresolvedWritesAreBounded(t *testing.T) {
	store := &emptyStore{unavailable: true}
	r := NewRegistry(DefaultLimits(), rosemarysill.NewOptions(rosemarysill.WithStore(store)))
	for n := range 100 {
		r.Finish(t.Context(), &OwnedRecord{key: fmt.Sprint(n)}, rosemarysill.Answer{})
	}
	r.Settle(t.Context())
	require.Equal(t, []int{1, 64, 36}, []int{store.reads, len(r.unresolvedWrites), r.Counts().Dropped})
	store.unavailable = false
	for range r.limits.SettleAttempts {
		require.Len(t, r.unresolvedWrites, 64)
		r.Settle(t.Context())
	}
	require.Empty(t, r.unresolvedWrites)
}

// TestWriteLimitIsSharedAmongAccounts guards against an account that cannot record
// its calls because another account uses all store writes.
func TestWriteLimitIsSharedAmongAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(DefaultLimits(), rosemarysill.NewOptions(rosemarysill.WithStore(&emptyStore{})))
		claimed := map[string]int{}
		claim := func(account string, id int) {
			if r.Claim(t.Context(), rosemarysill.Call{ID: uuid.UUID{byte(id)}, Account: account}).Owned != nil {
				claimed[account]++
			}
		}
		for ms := range 10_000 { // the limiter admits 1,000 writes and a burst of 100
			claim("many", ms)
			if ms%100 == 0 { // needs 20 writes per second
				claim("few", ms)
			}
			<-time.After(time.Millisecond)
		}
		require.GreaterOrEqual(t, claimed["few"], 95)
		require.GreaterOrEqual(t, claimed["many"], 400)
		require.LessOrEqual(t, r.Counts().Writes, 1100/writesPerCall)
	})
}

// TestClaimLimitIsSharedAmongAccounts guards against an account that cannot record
// its calls because the store is slow and another account's claims fill the limit.
func TestClaimLimitIsSharedAmongAccounts(t *testing.T) {
	limiter := newAccountLimiter(8, 100)
	acquire := func(account string) bool { return limiter.acquire(account, 2, 100, time.Unix(1, 0)) }
	require.True(t, acquire("few"))
	limiter.release("few")
	for i := range 10 {
		require.Equal(t, i < 4, acquire("many"), "claim %d", i)
	}
	require.True(t, acquire("few"))
	require.True(t, acquire("few"))
	require.False(t, acquire("few"))
	limiter.release("many")
	require.True(t, acquire("other"))
}
