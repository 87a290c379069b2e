package kvstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/stretchr/testify/require"
)

var (
	firstID  = uuid.MustParse("00000000-0000-7000-8000-000000000001")
	secondID = uuid.MustParse("00000000-0000-7000-8000-000000000002")
)

type document struct {
	Text    string
	WriteID uuid.UUID
}

// delayedWriteStore reports the first write as failed and applies it after the next
// read of the key.
type delayedWriteStore struct {
	rosemarysill.Store
	delayedWrite func() error
	written      bool
}

func (s *delayedWriteStore) Swap(ctx context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	if s.written {
		return s.Store.Swap(ctx, key, value, version, lease)
	}
	s.written = true
	s.delayedWrite = func() error {
		_, err := s.Store.Swap(ctx, key, value, version, lease)
		return err
	}
	return 0, rosemarysill.ErrStoreUnavailable
}

func (s *delayedWriteStore) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	it, err := s.Store.Get(ctx, key)
	if s.delayedWrite != nil {
		if err := s.delayedWrite(); err != nil {
			return it, err
		}
		s.delayedWrite = nil
	}
	return it, err
}

// TestWriteDocumentResolvesLostReplies guards against reporting a write as without
// effect if its reply was lost or the write may still arrive.
func TestWriteDocumentResolvesLostReplies(t *testing.T) {
	write := kvstore.Write{Key: "k", Document: document{"mine", firstID}, WriteID: firstID}
	cases := map[string]struct {
		write     kvstore.Write
		limits    standin.StoreOptions
		faults    standin.StoreFaults
		prepare   func(s *standin.Store) rosemarysill.Store
		during    func(s *standin.Store) // called 30 ms after the write was sent
		want      kvstore.Effect
		code      rosemarysill.Code
		swaps     int // number of swaps that reached the store
		revisions uint64
	}{
		"write succeeds": {write: write, want: kvstore.TookEffect, swaps: 1, revisions: 1},
		"reply lost":     {write: write, faults: standin.StoreFaults{LoseNext: 1}, want: kvstore.TookEffect, swaps: 1, revisions: 1},
		"reply lost, key overwritten": {write: write, faults: standin.StoreFaults{LoseNext: 1},
			prepare: func(s *standin.Store) rosemarysill.Store {
				return overwritingStore{s}
			}, want: kvstore.Unresolved, swaps: 2, revisions: 2},
		"write arrives after the key was read": {write: write, prepare: func(s *standin.Store) rosemarysill.Store {
			return &delayedWriteStore{Store: s}
		}, want: kvstore.TookEffect, swaps: 2, revisions: 1},
		"version conflict": {write: kvstore.Write{Key: "k", Document: document{"mine", firstID}, WriteID: firstID, Version: 7},
			want: kvstore.NoEffect, swaps: 1},
		"expired lease": {write: kvstore.Write{Key: "k", Document: document{"mine", firstID}, WriteID: firstID, Lease: 7},
			want: kvstore.NoEffect, swaps: 1},
		"oversized value": {write: write, limits: standin.StoreOptions{MaxValueBytes: 8}, want: kvstore.NoEffect, code: rosemarysill.TooLarge, swaps: 1},
		"rate limited":    {write: write, limits: standin.StoreOptions{WritesPerS: 0.001}, prepare: exhaustWriteRate, want: kvstore.NoEffect, swaps: 2, revisions: 1},
		"outage":          {write: write, faults: standin.StoreFaults{Outage: true}, want: kvstore.Unresolved, swaps: 1},
		"outage ends": {write: write, faults: standin.StoreFaults{Outage: true},
			during: func(s *standin.Store) { s.SetFaults(standin.StoreFaults{}) }, want: kvstore.TookEffect, swaps: 2, revisions: 1},
		"slow store":       {write: write, faults: standin.StoreFaults{Delay: time.Hour}, want: kvstore.Unresolved, swaps: 1, revisions: 1},
		"other WriteID":    {write: kvstore.Write{Key: "k", Document: document{"mine", firstID}, WriteID: secondID}, want: kvstore.NoEffect},
		"nil WriteID":      {write: kvstore.Write{Key: "k", Document: document{"mine", uuid.Nil}}, want: kvstore.NoEffect},
		"not a JSON value": {write: kvstore.Write{Key: "k", Document: func() {}, WriteID: firstID}, want: kvstore.NoEffect},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore(tc.limits)
				var store rosemarysill.Store = s
				if tc.prepare != nil {
					store = tc.prepare(s)
				}
				s.SetFaults(tc.faults)
				if tc.during != nil {
					time.AfterFunc(30*time.Millisecond, func() { tc.during(s) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				got := kvstore.WriteDocument(ctx, store, tc.write)
				require.Equal(t, tc.want, got.Effect, "%v", got.Err)
				require.Equal(t, tc.want == kvstore.TookEffect, got.Err == nil)
				if tc.code != 0 {
					require.Equal(t, tc.code, rosemarysill.CodeOf(got.Err))
				}
				s.SetFaults(standin.StoreFaults{})
				advance(t, 2*time.Hour) // long enough for the delayed write to take effect
				require.Equal(t, tc.swaps, s.Counters().Calls[standin.StoreSwap])
				require.Equal(t, tc.revisions, s.Revision())
				if it, err := s.Get(t.Context(), "k"); got.Effect == kvstore.TookEffect {
					require.NoError(t, err)
					require.Equal(t, it.Version, got.Version)
				}
			})
		})
	}
}

// overwritingStore simulates another writer that replaces each value before it is read.
type overwritingStore struct{ *standin.Store }

func (s overwritingStore) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	it, err := s.Store.Get(ctx, key)
	if err != nil {
		return it, err
	}
	if _, err := s.Store.Swap(ctx, key, []byte(`{"WriteID":"`+secondID.String()+`"}`), it.Version, 0); err != nil {
		return it, err
	}
	return s.Store.Get(ctx, key)
}

// exhaustWriteRate makes the one write that the store's rate limit allows.
func exhaustWriteRate(s *standin.Store) rosemarysill.Store {
	_, _ = s.Swap(context.Background(), "other", nil, 0, 0)
	return s
}
