package record

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// fakeStore is a store in memory that honours leases. down makes each exchange
// fail.
type fakeStore struct {
	rosemarysill.Store
	items  map[string]rosemarysill.Item
	leases map[rosemarysill.LeaseID]time.Time
	under  map[string]rosemarysill.LeaseID
	down   bool
	reads  int
}

func newStore() *fakeStore {
	return &fakeStore{
		items: map[string]rosemarysill.Item{}, leases: map[rosemarysill.LeaseID]time.Time{}, under: map[string]rosemarysill.LeaseID{},
	}
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	if f.down {
		return 0, rosemarysill.ErrStoreUnavailable
	}
	id := rosemarysill.LeaseID(len(f.leases) + 1)
	f.leases[id] = time.Now().Add(ttl)
	return id, nil
}

func (f *fakeStore) lapse() {
	for key, lease := range f.under {
		if !time.Now().Before(f.leases[lease]) {
			delete(f.items, key)
		}
	}
}

func (f *fakeStore) Get(_ context.Context, key string) (rosemarysill.Item, error) {
	f.lapse()
	f.reads++
	it, ok := f.items[key]
	switch {
	case f.down:
		return it, rosemarysill.ErrStoreUnavailable
	case !ok:
		return it, rosemarysill.ErrNotFound
	}
	return it, nil
}

func (f *fakeStore) Swap(_ context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	f.lapse()
	switch {
	case f.down:
		return 0, rosemarysill.ErrStoreUnavailable
	case !time.Now().Before(f.leases[lease]):
		return 0, rosemarysill.ErrLeaseLapsed
	case f.items[key].Version != version:
		return 0, rosemarysill.ErrVersion
	}
	f.items[key], f.under[key] = rosemarysill.Item{Key: key, Value: value, Version: version + 1}, lease
	return version + 1, nil
}

func newKeeper(f *fakeStore) *Keeper {
	limits := DefaultLimits()
	limits.WritesPerSecond = 1000
	return NewKeeper(limits, rosemarysill.NewOptions(rosemarysill.WithStore(f)))
}

// callMadeAt returns a call whose identifier has the timestamp.
func callMadeAt(t time.Time, n uint64) rosemarysill.Call {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|n)
	return rosemarysill.Call{ID: id, Account: "Sfax", Class: rosemarysill.Urgent}
}

// TestRecordOutlivesItsIdentifier guards against a late retry that finds no
// record and runs again, also when the record hangs on a lease that was granted
// for an earlier one and when the clocks of two entries differ.
func TestRecordOutlivesItsIdentifier(t *testing.T) {
	for name, leaseAge := range map[string]time.Duration{"new lease": 0, "lease of an earlier record": DefaultLimits().LeaseShare - time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const memory, slow = time.Hour, 50 * time.Second // the second entry's clock is behind
				f := newStore()
				first, second := newKeeper(f), newKeeper(f)
				first.Claim(t.Context(), callMadeAt(time.Now(), 1))
				<-time.After(leaseAge)
				call := callMadeAt(time.Now().Add(memory/2), 2) // as early as it is honoured
				require.Empty(t, IdentifierFault(call.ID, time.Now(), memory))
				require.NotNil(t, first.Claim(t.Context(), call).Held)
				honoured := 0
				for begin := time.Now(); time.Since(begin) <= memory+slow; <-time.After(10 * time.Second) {
					if IdentifierFault(call.ID, time.Now().Add(-slow), memory) == "" {
						require.Equal(t, rosemarysill.OutcomeUnknown, second.Claim(t.Context(), call).Answer.Code)
						honoured++
					}
				}
				require.Equal(t, 361, honoured)
				<-time.After(5 * time.Minute)
				_, err := f.Get(t.Context(), Key(call))
				require.ErrorIs(t, err, rosemarysill.ErrNotFound, "the record is never deleted")
			})
		})
	}
}

// TestUnsettledRecordsAreBounded guards against memory and store exchanges that
// grow with an outage, and against records that stay wrong after it.
func TestUnsettledRecordsAreBounded(t *testing.T) {
	f := newStore()
	k := newKeeper(f)
	var held []*Held
	for n := range uint64(100) {
		held = append(held, k.Claim(t.Context(), callMadeAt(time.Now(), n)).Held)
	}
	f.down = true
	for _, h := range held {
		k.Finish(t.Context(), h, rosemarysill.Answer{Body: []byte("done")})
	}
	k.Settle(t.Context())
	require.Equal(t, 1, f.reads, "reads while the store is down")
	require.Len(t, k.unsettled, 64)
	require.Equal(t, 36, k.Counts().Dropped)
	f.down = false
	k.Settle(t.Context())
	require.Empty(t, k.unsettled)
	states := map[State]int{}
	for _, it := range f.items {
		rec, err := parse(it.Value)
		require.NoError(t, err)
		states[rec.State]++
	}
	require.Equal(t, map[State]int{Done: 64, Started: 36}, states)
	for range 20 { // a record that was never created is given up
		k.settleLater(&Held{key: "call/none", rec: Record{WriteID: uuid.New()}}, Record{})
		k.Settle(t.Context())
	}
	require.Len(t, k.unsettled, k.limits.SettleAttempts-1)
}

// TestUnusableRecordAndLease guards against a call that runs although its record
// cannot be understood, and against a router that stops recording when a lease
// is gone.
func TestUnusableRecordAndLease(t *testing.T) {
	f := newStore()
	k := newKeeper(f)
	call := callMadeAt(time.Now(), 1)
	f.items[Key(call)] = rosemarysill.Item{Value: []byte("{"), Version: 4}
	require.Equal(t, rosemarysill.OutcomeUnknown, k.Claim(t.Context(), call).Answer.Code)
	clear(f.leases)
	f.leases[7] = time.Time{} // the next one has another number
	claim := k.Claim(t.Context(), callMadeAt(time.Now(), 2))
	require.NotNil(t, claim.Held, claim.Answer.Detail)
	require.Equal(t, 2, k.Counts().Grants)
}

// TestAccountsShareTheWrites guards against an account that cannot record its
// calls because others send as many as they can.
func TestAccountsShareTheWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKeeper(DefaultLimits(), rosemarysill.NewOptions(rosemarysill.WithStore(newStore())))
		got := map[string]int{}
		claim := func(account string, n int) {
			call := callMadeAt(time.Now(), uint64(n))
			call.Account = account
			if k.Claim(t.Context(), call).Held != nil {
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
