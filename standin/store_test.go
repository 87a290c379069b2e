package standin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/stretchr/testify/require"
)

// TestStoreLeases guards against a lease that outlives its time or takes the
// keys of another lease with it.
func TestStoreLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		now := time.Unix(0, 0)
		s := standin.NewStore(standin.StoreOptions{Now: func() time.Time { return now }})
		grant := func(ttl time.Duration) rosemarysill.LeaseID {
			id, err := s.Grant(ctx, ttl)
			require.NoError(t, err)
			return id
		}
		put := func(key string, version uint64, lease rosemarysill.LeaseID) uint64 {
			v, err := s.Swap(ctx, key, nil, version, lease)
			require.NoError(t, err)
			return v
		}
		a, b, c := grant(5*time.Second), grant(9*time.Second), grant(time.Hour)
		put("moved", put("moved", 0, a), b)
		put("dropped", 0, a)
		put("revoked", 0, c)
		require.NoError(t, s.Revoke(ctx, c))
		require.ErrorIs(t, s.Renew(ctx, c), rosemarysill.ErrLeaseLapsed)
		_, err := s.Get(ctx, "revoked")
		require.ErrorIs(t, err, rosemarysill.ErrNotFound)

		now = now.Add(3 * time.Second)
		require.NoError(t, s.Renew(ctx, a))
		now = now.Add(5*time.Second - 1) // a lapses at 8 s
		_, err = s.Get(ctx, "dropped")
		require.NoError(t, err)

		// A waiting watch reports what a lapsed lease deletes.
		reported := make(chan []rosemarysill.Change, 1)
		go func() {
			changes, _, _ := s.Watch(ctx, "", s.Revision())
			reported <- changes
		}()
		synctest.Wait()
		now = now.Add(1)
		s.Tick()
		changes := <-reported
		require.Len(t, changes, 1)
		require.True(t, changes[0].Deleted)
		require.Equal(t, "dropped", changes[0].Item.Key)
		require.ErrorIs(t, s.Renew(ctx, a), rosemarysill.ErrLeaseLapsed)
		_, err = s.Get(ctx, "moved")
		require.NoError(t, err, "moved to another lease")
	})
}

// TestStoreRates guards against a stand-in that hides a fleet too large for
// the store. A waiting watch costs one read.
func TestStoreRates(t *testing.T) {
	now := time.Unix(0, 0)
	s := standin.NewStore(standin.StoreOptions{Now: func() time.Time { return now }, WritesPerS: 40, ReadsPerS: 80})
	allowed := func(calls int, call func() error) int {
		n := 0
		for range calls {
			if err := call(); err == nil {
				n++
			} else {
				require.ErrorIs(t, err, rosemarysill.ErrRateLimited)
			}
		}
		return n
	}
	write := func() error {
		_, err := s.Swap(t.Context(), strconv.Itoa(s.Counters().Calls[standin.StoreSwap]), nil, 0, 0)
		return err
	}
	list := func() error {
		_, _, err := s.List(t.Context(), "x")
		return err
	}
	require.Equal(t, 10, allowed(50, write), "a burst of a quarter of a second")
	require.Equal(t, 20, allowed(50, list))
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, 4, allowed(50, write))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	watch := func() error {
		_, _, err := s.Watch(ended, "x", s.Revision())
		return err
	}
	require.Equal(t, 8, allowed(50, watch))
	require.Equal(t, map[string]int{"RateLimited": 200 - 42}, s.Counters().Refusals)
}

// TestStoreLogIsBounded guards against a change log that grows with the values
// written, and against a watch that skips what the log has dropped.
func TestStoreLogIsBounded(t *testing.T) {
	s := standin.NewStore(standin.StoreOptions{LogBytes: 100, WritesPerS: -1})
	for i := range 10 {
		_, err := s.Swap(t.Context(), strconv.Itoa(i), make([]byte, 30), 0, 0)
		require.NoError(t, err)
	}
	_, _, err := s.Watch(t.Context(), "", 6)
	require.ErrorIs(t, err, rosemarysill.ErrCompacted)
	changes, revision, err := s.Watch(t.Context(), "", 7)
	require.NoError(t, err)
	require.Len(t, changes, 3)
	require.EqualValues(t, 10, revision)
}

// hasty gives up each call after 15 ms, while the store goes on with it.
type hasty struct{ rosemarysill.Store }

func (h hasty) Swap(ctx context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Millisecond)
	defer cancel()
	return h.Store.Swap(ctx, key, value, version, lease)
}

func (h hasty) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Millisecond)
	defer cancel()
	return h.Store.Get(ctx, key)
}

// TestWriteDocumentTellsTheTruth guards against a writer that reports a write
// wrongly when several write one key at a store that loses every third answer,
// answers late and has outages. The store's change log is the judge.
func TestWriteDocumentTellsTheTruth(t *testing.T) {
	type document struct{ WriteID uuid.UUID }
	told := map[kvstore.Effect]int{}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStore(standin.StoreOptions{WritesPerS: -1, ReadsPerS: -1})
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			results := map[uuid.UUID]kvstore.WriteResult{}
			var wg sync.WaitGroup
			for writer := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(writer)+2))
					for n := range 25 {
						it, _ := s.Get(t.Context(), "k")
						id := uuid.MustParse(fmt.Sprintf("00000000-0000-7000-8000-%06x%06x", writer+1, n))
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(10+rng.IntN(400))*time.Millisecond)
						r := kvstore.WriteDocument(ctx, hasty{s}, kvstore.Write{Key: "k", Document: document{id}, WriteID: id, Version: it.Version})
						cancel()
						mu.Lock()
						results[id] = r
						mu.Unlock()
						<-time.After(time.Duration(rng.IntN(100)) * time.Millisecond)
					}
				})
			}
			for range 20 {
				s.SetFaults(standin.StoreFaults{LoseEvery: 3, Delay: time.Duration(rng.IntN(40)) * time.Millisecond, Outage: rng.IntN(5) == 0})
				<-time.After(100 * time.Millisecond)
			}
			s.SetFaults(standin.StoreFaults{})
			wg.Wait()
			<-time.After(time.Hour) // pending writes take effect
			changes, _, err := s.Watch(t.Context(), "", 0)
			require.NoError(t, err)
			effects := map[uuid.UUID]uint64{}
			for _, c := range changes {
				id := uuid.MustParse(string(c.Item.Value[len(`{"WriteID":"`) : len(c.Item.Value)-2]))
				require.Zero(t, effects[id], "seed %d: write %s took effect twice", seed, id)
				effects[id] = c.Item.Version
			}
			require.Len(t, results, 100)
			for id, r := range results {
				told[r.Effect]++
				if r.Effect != kvstore.Unresolved {
					require.Equal(t, r.Version, effects[id], "seed %d: write %s: %s: %v", seed, id, r.Effect, r.Err)
				}
			}
		})
	}
	t.Log(told)
	for _, e := range []kvstore.Effect{kvstore.TookEffect, kvstore.NoEffect, kvstore.Unresolved} {
		require.Positive(t, told[e])
	}
}
