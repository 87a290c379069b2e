package kvstore_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startStore starts a stand-in store and a client. Both are stopped after the test.
func startStore(t *testing.T, so standin.StoreOptions, o kvstore.Options) (*standin.Store, *kvstore.Client) {
	t.Helper()
	store, c, _ := startStoppableStore(t, so, o)
	return store, c
}

// startStoppableStore also returns a function that stops the store during the test.
func startStoppableStore(t *testing.T, so standin.StoreOptions, o kvstore.Options) (*standin.Store, *kvstore.Client, func()) {
	t.Helper()
	store := standin.NewStore(so)
	srv, err := standin.Serve(netip.AddrPort{}, store)
	require.NoError(t, err)
	c := kvstore.NewClient(srv.Address(), o)
	stop := func() {
		c.Close()
		srv.Stop()
		<-srv.Done()
	}
	t.Cleanup(stop)
	return store, c, stop
}

// TestWriteWithoutConnectionHasNoEffect guards against reporting a write as
// unresolved that was never sent because there was no connection.
func TestWriteWithoutConnectionHasNoEffect(t *testing.T) {
	_, c, stop := startStoppableStore(t, standin.StoreOptions{}, kvstore.Options{})
	stop()
	_, err := c.Swap(t.Context(), "k", nil, 0, 0)
	require.ErrorIs(t, err, rosemarysill.ErrStoreUnavailable)
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
	r := kvstore.WriteDocument(t.Context(), c, kvstore.Write{Key: "k", Document: document{"mine", firstID}, WriteID: firstID})
	require.Equal(t, kvstore.NoEffect, r.Effect)
}

// TestErrorCodes guards against errors that state a wrong effect of a write.
func TestErrorCodes(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		options kvstore.Options
		limits  standin.StoreOptions
		faults  standin.StoreFaults
		call    func(c *kvstore.Client) error
		want    error
		code    rosemarysill.Code
	}{
		"create over an existing key":  {call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "a", nil, 0, 0); return err }, want: rosemarysill.ErrVersion},
		"swap of a missing key":        {call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "b", nil, 1, 0); return err }, want: rosemarysill.ErrVersion},
		"get of a missing key":         {call: func(c *kvstore.Client) error { _, err := c.Get(ctx, "b"); return err }, want: rosemarysill.ErrNotFound},
		"delete of a missing key":      {call: func(c *kvstore.Client) error { return c.Delete(ctx, "b", 1) }, want: rosemarysill.ErrNotFound},
		"delete of another version":    {call: func(c *kvstore.Client) error { return c.Delete(ctx, "a", 9) }, want: rosemarysill.ErrVersion},
		"renewal of unknown lease":     {call: func(c *kvstore.Client) error { return c.Renew(ctx, 9) }, want: rosemarysill.ErrLeaseLapsed},
		"swap with unknown lease":      {call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "b", nil, 0, 9); return err }, want: rosemarysill.ErrLeaseLapsed},
		"watch from a future revision": {call: func(c *kvstore.Client) error { _, _, err := c.Watch(ctx, "", 99); return err }, want: rosemarysill.ErrCompacted},
		"outage":                       {faults: standin.StoreFaults{Outage: true}, call: func(c *kvstore.Client) error { _, err := c.Get(ctx, "a"); return err }, want: rosemarysill.ErrStoreUnavailable},
		"lost reply":                   {faults: standin.StoreFaults{LoseNext: 1}, call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "b", nil, 0, 0); return err }, want: rosemarysill.ErrStoreUnavailable},
		"slow store":                   {options: kvstore.Options{CallTimeout: 20 * time.Millisecond}, faults: standin.StoreFaults{Delay: time.Hour}, call: func(c *kvstore.Client) error { _, err := c.Get(ctx, "a"); return err }, want: rosemarysill.ErrStoreUnavailable},
		"watch without reply":          {options: kvstore.Options{CallTimeout: 20 * time.Millisecond, WatchWait: 20 * time.Millisecond}, faults: standin.StoreFaults{Delay: time.Hour}, call: func(c *kvstore.Client) error { _, _, err := c.Watch(ctx, "a", 1); return err }, want: rosemarysill.ErrStoreUnavailable},
		"value above the client's limit": {options: kvstore.Options{MaxValueBytes: 4}, call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "b", make([]byte, 5), 0, 0); return err },
			code: rosemarysill.TooLarge},
		"value above the store's limit": {limits: standin.StoreOptions{MaxValueBytes: 4}, call: func(c *kvstore.Client) error { _, err := c.Swap(ctx, "b", make([]byte, 5), 0, 0); return err },
			code: rosemarysill.TooLarge},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store, c := startStore(t, tc.limits, tc.options)
			_, err := store.Swap(ctx, "a", []byte("1"), 0, 0)
			require.NoError(t, err)
			store.SetFaults(tc.faults)
			err = tc.call(c)
			if tc.want != nil {
				require.ErrorIs(t, err, tc.want)
				require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err))
				return
			}
			require.Equal(t, tc.code, rosemarysill.CodeOf(err))
		})
	}
}

// TestLeasesOverHTTP guards against losing the identifier or the TTL of a lease in
// the requests and replies.
func TestLeasesOverHTTP(t *testing.T) {
	var mu sync.Mutex
	now := time.Unix(0, 0)
	advance := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(d)
	}
	_, c := startStore(t, standin.StoreOptions{Now: func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}}, kvstore.Options{})
	ctx := t.Context()
	expiring, err := c.Grant(ctx, 5*time.Second)
	require.NoError(t, err)
	revoked, err := c.Grant(ctx, time.Hour)
	require.NoError(t, err)
	for key, lease := range map[string]rosemarysill.LeaseID{"lapsing": expiring, "revoked": revoked} {
		_, err = c.Swap(ctx, key, nil, 0, lease)
		require.NoError(t, err)
	}
	require.NoError(t, c.Revoke(ctx, revoked))
	_, err = c.Get(ctx, "revoked")
	require.ErrorIs(t, err, rosemarysill.ErrNotFound)
	advance(4 * time.Second)
	require.NoError(t, c.Renew(ctx, expiring))
	advance(5*time.Second - 1)
	_, err = c.Get(ctx, "lapsing")
	require.NoError(t, err)
	advance(1)
	_, err = c.Get(ctx, "lapsing")
	require.ErrorIs(t, err, rosemarysill.ErrNotFound)
	require.ErrorIs(t, c.Renew(ctx, expiring), rosemarysill.ErrLeaseLapsed)
}
