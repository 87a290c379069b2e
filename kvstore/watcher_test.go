package kvstore_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// itemCopy is a copy of the store's items, kept current by updates.
type itemCopy struct {
	items        map[string]string
	fullUpdates  int
	timedUpdates int // updates with a ReadAt, which prove that the items are current
	revision     uint64
}

func (f *itemCopy) handle(u kvstore.Update) {
	if u.Full {
		f.items = map[string]string{}
		f.fullUpdates++
	}
	if !u.ReadAt.IsZero() {
		f.timedUpdates++
	}
	for _, it := range u.Items {
		f.items[it.Key] = string(it.Value)
	}
	for _, c := range u.Changes {
		if c.Deleted {
			delete(f.items, c.Item.Key)
		} else {
			f.items[c.Item.Key] = string(c.Item.Value)
		}
	}
	f.revision = u.Revision
}

// TestWatcherFollowsStore guards against an entry that keeps an old
// configuration because its watch reports neither changes nor errors.
func TestWatcherFollowsStore(t *testing.T) {
	swap := func(t *testing.T, s *standin.Store, key, value string, version uint64) {
		_, err := s.Swap(t.Context(), key, []byte(value), version, 0)
		require.NoError(t, err)
	}
	cases := map[string]struct {
		limits      standin.StoreOptions
		act         func(t *testing.T, s *standin.Store)
		want        map[string]string
		fullUpdates int
		events      string // names of the events logged, in order
	}{
		"changes are reported": {act: func(t *testing.T, s *standin.Store) {
			swap(t, s, "p/b", "2", 0)
			require.NoError(t, s.Delete(t.Context(), "p/a", 1))
			swap(t, s, "q", "other prefix", 0)
		}, want: map[string]string{"p/b": "2"}, fullUpdates: 1},
		"key deleted and written again": {act: func(t *testing.T, s *standin.Store) {
			require.NoError(t, s.Delete(t.Context(), "p/a", 1))
			swap(t, s, "p/a", "2", 0)
		}, want: map[string]string{"p/a": "2"}, fullUpdates: 1},
		"watch position compacted": {limits: standin.StoreOptions{LogChanges: 1}, act: func(t *testing.T, s *standin.Store) {
			s.SetFaults(standin.StoreFaults{SilentWatches: true})
			swap(t, s, "p/b", "2", 0)
			swap(t, s, "p/c", "3", 0)
			s.SetFaults(standin.StoreFaults{})
		}, want: map[string]string{"p/a": "1", "p/b": "2", "p/c": "3"}, fullUpdates: 2, events: "WatchCompacted"},
		"watch reports no changes": {act: func(t *testing.T, s *standin.Store) {
			s.SetFaults(standin.StoreFaults{SilentWatches: true})
			swap(t, s, "p/b", "2", 0)
		}, want: map[string]string{"p/a": "1", "p/b": "2"}, fullUpdates: 2, events: "WatchSilent"},
		"outage": {act: func(t *testing.T, s *standin.Store) {
			s.SetFaults(standin.StoreFaults{Outage: true})
			advance(t, 2*time.Second)
			s.SetFaults(standin.StoreFaults{})
			swap(t, s, "p/a", "2", 1)
		}, want: map[string]string{"p/a": "2"}, fullUpdates: 2, events: "WatchFailed WatchRecovered"},
		"lease expires": {act: func(t *testing.T, s *standin.Store) {
			lease, err := s.Grant(t.Context(), time.Second)
			require.NoError(t, err)
			_, err = s.Swap(t.Context(), "p/b", nil, 0, lease)
			require.NoError(t, err)
		}, want: map[string]string{"p/a": "1"}, fullUpdates: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore(tc.limits)
				swap(t, s, "p/a", "1", 0)
				var log bytes.Buffer
				f := &itemCopy{items: map[string]string{}}
				ctx, cancel := context.WithCancel(t.Context())
				w := kvstore.NewWatcher(s, "p/", f.handle, kvstore.WatcherOptions{Log: zerolog.New(&log)})
				go w.Run(ctx)
				synctest.Wait()
				tc.act(t, s)
				advance(t, 15*time.Second)
				cancel()
				<-w.Done()
				require.Equal(t, tc.want, f.items)
				require.Equal(t, tc.fullUpdates, f.fullUpdates)
				require.GreaterOrEqual(t, f.timedUpdates, 2)
				require.Equal(t, tc.events, eventNames(log.String()))
			})
		})
	}
}

// shortWatchStore ends a watch after 9/10 of the time to its deadline, as Client does.
type shortWatchStore struct{ *standin.Store }

func (s shortWatchStore) Watch(ctx context.Context, prefix string, after uint64) ([]rosemarysill.Change, uint64, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)*9/10)
	defer cancel()
	return s.Store.Watch(ctx, prefix, after)
}

// TestIdleWatcherCallRate guards against a watcher that uses up the store's rate
// limit of reads while nothing changes.
func TestIdleWatcherCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(standin.StoreOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		w := kvstore.NewWatcher(shortWatchStore{s}, "p/", func(kvstore.Update) {}, kvstore.WatcherOptions{ListEvery: 10 * time.Second})
		go w.Run(ctx)
		advance(t, 10*time.Minute)
		cancel()
		<-w.Done()
		calls := s.Counters().Calls
		require.LessOrEqual(t, calls[standin.StoreList], 67, "at most one list every 9 s")
		require.LessOrEqual(t, calls[standin.StoreWatch], 67, "at most one watch for each list")
	})
}

// pagedStore returns a list whose later pages are newer than its revision, and
// then a watch with the changes since this revision.
type pagedStore struct {
	rosemarysill.Store
	watched bool
}

func (s *pagedStore) List(context.Context, string) ([]rosemarysill.Item, uint64, error) {
	return []rosemarysill.Item{{Key: "p/a", Value: []byte("old"), Version: 3}, {Key: "p/z", Value: []byte("newest"), Version: 6}}, 3, nil
}

func (s *pagedStore) Watch(ctx context.Context, _ string, after uint64) ([]rosemarysill.Change, uint64, error) {
	if s.watched {
		<-ctx.Done()
		return nil, after, nil
	}
	s.watched = true
	return []rosemarysill.Change{
		{Item: rosemarysill.Item{Key: "p/z", Version: 2}, Deleted: true, Revision: 4},
		{Item: rosemarysill.Item{Key: "p/z", Value: []byte("older"), Version: 5}, Revision: 5},
		{Item: rosemarysill.Item{Key: "p/z", Value: []byte("newest"), Version: 6}, Revision: 6},
		{Item: rosemarysill.Item{Key: "p/b", Version: 1}, Deleted: true, Revision: 7},
		{Item: rosemarysill.Item{Key: "p/a", Value: []byte("new"), Version: 8}, Revision: 8},
	}, 8, nil
}

// TestWatcherIgnoresChangesOlderThanList guards against replacing an item by an
// older value if a list of several pages contains changes that the watch reports
// again.
func TestWatcherIgnoresChangesOlderThanList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var updates []kvstore.Update
		ctx, cancel := context.WithCancel(t.Context())
		w := kvstore.NewWatcher(&pagedStore{}, "p/", func(u kvstore.Update) { updates = append(updates, u) }, kvstore.WatcherOptions{})
		go w.Run(ctx)
		synctest.Wait()
		cancel()
		<-w.Done()
		require.Len(t, updates, 2)
		require.True(t, updates[0].Full)
		require.Equal(t, []rosemarysill.Change{{Item: rosemarysill.Item{Key: "p/a", Value: []byte("new"), Version: 8}, Revision: 8}}, updates[1].Changes)
		require.EqualValues(t, 8, updates[1].Revision)
	})
}

// advance advances the virtual time by d.
func advance(t *testing.T, d time.Duration) {
	t.Helper()
	<-time.After(d)
	synctest.Wait()
}

func eventNames(log string) string {
	var names []string
	for _, line := range strings.Split(log, "\n") {
		if _, rest, ok := strings.Cut(line, `"Name":"`); ok {
			name, _, _ := strings.Cut(rest, `"`)
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// TestListSpansPages guards against a list that returns only the first page.
func TestListSpansPages(t *testing.T) {
	store, c := startStore(t, standin.StoreOptions{PageBytes: 10}, kvstore.Options{})
	want := []rosemarysill.Item{}
	for i, key := range []string{"p/a", "p/b", "p/c"} {
		v, err := store.Swap(t.Context(), key, []byte("12345"), 0, 0)
		require.NoError(t, err)
		want = append(want, rosemarysill.Item{Key: key, Value: []byte("12345"), Version: v})
		require.EqualValues(t, i+1, v)
	}
	got, revision, err := c.List(t.Context(), "p/")
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.EqualValues(t, 3, revision)
	require.Equal(t, 3, store.Counters().Calls[standin.StoreList])
}

// TestWatchOverHTTP guards against a watch that reports a change only at the
// end of its wait, and against one that continues after its context has ended.
func TestWatchOverHTTP(t *testing.T) {
	store, c := startStore(t, standin.StoreOptions{}, kvstore.Options{WatchWait: 30 * time.Second})
	got := make(chan []rosemarysill.Change, 1)
	go func() {
		changes, _, _ := c.Watch(t.Context(), "p/", 0)
		got <- changes
	}()
	require.Eventually(t, func() bool { return store.Counters().Calls[standin.StoreWatch] == 1 }, 10*time.Second, time.Millisecond)
	_, err := store.Swap(t.Context(), "p/a", []byte("1"), 0, 0)
	require.NoError(t, err)
	require.Equal(t, []rosemarysill.Change{{Item: rosemarysill.Item{Key: "p/a", Value: []byte("1"), Version: 1}, Revision: 1}}, <-got)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	changes, revision, err := c.Watch(ctx, "p/", 1)
	require.NoError(t, err)
	require.Empty(t, changes)
	require.EqualValues(t, 1, revision)
}

// TestClientRateLimit guards against one entry that uses up the store's rate
// limit for all entries: the client must reject the call without sending it.
func TestClientRateLimit(t *testing.T) {
	store, c := startStore(t, standin.StoreOptions{}, kvstore.Options{WritesPerS: 0.001, ReadsPerS: 0.001})
	_, err := c.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	_, err = c.Grant(t.Context(), time.Minute)
	require.ErrorIs(t, err, rosemarysill.ErrRateLimited)
	_, _, err = c.List(t.Context(), "")
	require.NoError(t, err)
	_, err = c.Get(t.Context(), "a")
	require.ErrorIs(t, err, rosemarysill.ErrRateLimited)
	require.Equal(t, map[string]int{standin.StoreGrant: 1, standin.StoreList: 1}, store.Counters().Calls)
}
