package kvstore

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rs/zerolog"
)

// Update is the result of one list or watch call. A list yields all items under
// the prefix (Full) if they differ from those known to the watcher, and no items
// otherwise. A watch yields the changes since the last update. ReadAt is the time
// at which the request was sent, so a freshness period that is counted from it ends
// before the data can be older. A watch without changes yields no update: it does
// not prove that the data is current, because a broken watch reports no changes
// either.
type Update struct {
	Full     bool
	Items    []rosemarysill.Item   // if Full, sorted by key
	Changes  []rosemarysill.Change // of a watch, in order of revision
	Revision uint64
	ReadAt   time.Time
}

// WatcherOptions are the intervals and hooks of a Watcher. A zero field takes
// the default.
type WatcherOptions struct {
	// ListEvery is the interval of lists, which detect a watch that reports no
	// changes. The default is 10 s.
	ListEvery time.Duration
	// RetryEvery is the pause after a failed call. The default is 250 ms.
	RetryEvery time.Duration
	// OnError is called with the error of each failed call. It may be nil.
	OnError func(error)
	Now     func() time.Time
	Log     zerolog.Logger
}

// Watcher reports the items under a prefix and their changes. It lists the items,
// watches for changes, and lists again at an interval, after a compaction and
// after a failed call.
type Watcher struct {
	store  rosemarysill.Store
	prefix string
	handle func(Update)
	opts   WatcherOptions
	done   chan struct{}

	revision uint64
	versions map[string]uint64 // by key, of the items passed to handle
	listed   bool              // a list has succeeded
	failing  bool              // the last call failed
	nextList time.Time         // when the next list is due
}

// NewWatcher returns a watcher whose Run passes updates to handle, one at a time.
// handle must return soon, because the next call to the store waits for it.
func NewWatcher(s rosemarysill.Store, prefix string, handle func(Update), o WatcherOptions) *Watcher {
	o.ListEvery = cmp.Or(o.ListEvery, 10*time.Second)
	o.RetryEvery = cmp.Or(o.RetryEvery, 250*time.Millisecond)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	return &Watcher{store: s, prefix: prefix, handle: handle, opts: o, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run watches the prefix until ctx ends. It must be called only once.
//
// A Client ends a watch when 9/10 of the time to its deadline have passed. Run
// therefore lists up to 1/8 of the interval early. Otherwise the remaining tenth
// would be spent on a series of ever shorter watches.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		var err error
		if !w.listed || !w.opts.Now().Before(w.nextList.Add(-w.opts.ListEvery/8)) {
			err = w.list(ctx)
		} else {
			err = w.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if !w.logResult(err) {
			continue
		}
		w.nextList = time.Time{}
		if !errors.Is(err, rosemarysill.ErrCompacted) && !sleep(ctx, w.opts.RetryEvery) {
			return
		}
	}
}

// logResult logs the result of a list or watch call and reports whether it failed.
func (w *Watcher) logResult(err error) bool {
	switch {
	case err == nil && w.failing:
		w.failing = false
		event.WatchRecovered.Log(w.opts.Log).Str("Prefix", w.prefix).Send()
	case err == nil:
	case errors.Is(err, rosemarysill.ErrCompacted):
		event.WatchCompacted.Log(w.opts.Log).Str("Prefix", w.prefix).Uint64("Revision", w.revision).Send()
	case !w.failing:
		w.failing = true
		event.WatchFailed.Log(w.opts.Log).Str("Prefix", w.prefix).Err(err).Send()
	}
	if err != nil {
		w.opts.OnError(err)
	}
	return err != nil
}

// list reads all items and passes them to the handler if they differ from the known ones.
func (w *Watcher) list(ctx context.Context) error {
	sent := w.opts.Now()
	items, revision, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	versions := make(map[string]uint64, len(items))
	differs := len(items) != len(w.versions)
	for _, it := range items {
		versions[it.Key] = it.Version
		differs = differs || w.versions[it.Key] != it.Version
	}
	u := Update{Revision: revision, ReadAt: sent}
	if !w.listed || differs {
		u.Full, u.Items = true, items
	}
	watching, position := w.listed && !w.failing, w.revision
	w.versions, w.revision, w.listed = versions, revision, true
	w.nextList = sent.Add(w.opts.ListEvery)
	w.handle(u)
	if watching && differs {
		w.checkWatch(ctx, position)
	}
	return nil
}

// checkWatch checks whether the watch still reports changes, after a list has shown
// changes since the revision position. The changes may have been made between the
// last watch and the list; a working watch reports them immediately.
func (w *Watcher) checkWatch(ctx context.Context, position uint64) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.ListEvery/10)
	defer cancel()
	changes, _, err := w.store.Watch(ctx, w.prefix, position)
	if err == nil && len(changes) == 0 {
		event.WatchSilent.Log(w.opts.Log).Str("Prefix", w.prefix).Uint64("Revision", w.revision).Send()
	}
}

// watch waits for changes until the next list is due and passes them to the handler.
func (w *Watcher) watch(ctx context.Context) error {
	sent := w.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, w.nextList.Sub(sent))
	defer cancel()
	changes, revision, err := w.store.Watch(ctx, w.prefix, w.revision)
	if err != nil {
		return err
	}
	w.revision = max(revision, w.revision)
	u := Update{Revision: w.revision, ReadAt: sent}
	for _, c := range changes {
		if w.apply(c) {
			u.Changes = append(u.Changes, c)
		}
	}
	if len(u.Changes) > 0 {
		w.handle(u)
	}
	return nil
}

// apply records the version of a changed item and reports whether the change is
// newer than the known version. A list of several pages can contain items newer
// than its revision, whose changes the watch reports again.
func (w *Watcher) apply(c rosemarysill.Change) bool {
	current, ok := w.versions[c.Item.Key]
	switch {
	case c.Deleted && (!ok || c.Item.Version < current):
		return false
	case c.Deleted:
		delete(w.versions, c.Item.Key)
	case ok && c.Item.Version <= current:
		return false
	default:
		w.versions[c.Item.Key] = c.Item.Version
	}
	return true
}
