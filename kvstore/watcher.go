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

// Update is a step of a watch. A list brings all items under the prefix (Full)
// when they differ from what was followed, and none otherwise; a watch brings
// the changes since the last update. ReadAt is the time at which the request
// was sent, so that a freshness counted from it ends before the store's data
// can be older. A watch that reports nothing proves no freshness, because it
// may be silent, and makes no update.
type Update struct {
	Full     bool
	Items    []rosemarysill.Item   // when Full, sorted by key
	Changes  []rosemarysill.Change // of a watch, in order
	Revision uint64
	ReadAt   time.Time
}

// WatcherOptions are the intervals and hooks of a Watcher. A zero field takes
// the default.
type WatcherOptions struct {
	// ListEvery is the interval at which the prefix is listed again, to notice
	// a silent watch: 10 s.
	ListEvery time.Duration
	// RetryEvery is the pause after a failure: 250 ms.
	RetryEvery time.Duration
	// OnError is called with each failure of the store; it may be nil.
	OnError func(error)
	Now     func() time.Time
	Log     zerolog.Logger
}

// Watcher follows the items under a prefix: it lists them, watches the changes,
// and lists again at an interval, after a compaction and after a failure.
type Watcher struct {
	store  rosemarysill.Store
	prefix string
	handle func(Update)
	opts   WatcherOptions
	done   chan struct{}

	revision uint64
	versions map[string]uint64 // of the items handed on
	listed   bool
	failing  bool
	listAt   time.Time // the next list
}

// NewWatcher returns a watcher that hands updates to handle, one at a time, from
// Run. The handler must not block for long.
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

// Run follows the prefix until ctx ends. It is called once.
//
// A client ends its wait a tenth before the deadline. The list therefore comes
// up to an eighth of the interval early, because a watch for the rest of the
// interval would end after a tenth of it again, and so on.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		var err error
		if !w.listed || !w.opts.Now().Before(w.listAt.Add(-w.opts.ListEvery/8)) {
			err = w.list(ctx)
		} else {
			err = w.follow(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if !w.note(err) {
			continue
		}
		w.listAt = time.Time{}
		if !errors.Is(err, rosemarysill.ErrCompacted) && !sleep(ctx, w.opts.RetryEvery) {
			return
		}
	}
}

// note logs the result of a step and reports whether it failed.
func (w *Watcher) note(err error) bool {
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

// list reads all items and hands them on if they differ from what was followed.
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
	followed, position := w.listed && !w.failing, w.revision
	w.versions, w.revision, w.listed = versions, revision, true
	w.listAt = sent.Add(w.opts.ListEvery)
	w.handle(u)
	if followed && differs {
		w.probe(ctx, position)
	}
	return nil
}

// probe finds out whether the watch is silent after a list has shown changes
// since the position. They may have come between the end of the last wait and
// the list; a sound watch reports these at once.
func (w *Watcher) probe(ctx context.Context, position uint64) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.ListEvery/10)
	defer cancel()
	changes, _, err := w.store.Watch(ctx, w.prefix, position)
	if err == nil && len(changes) == 0 {
		event.WatchSilent.Log(w.opts.Log).Str("Prefix", w.prefix).Uint64("Revision", w.revision).Send()
	}
}

// follow waits for changes until the next list is due.
func (w *Watcher) follow(ctx context.Context) error {
	sent := w.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, w.listAt.Sub(sent))
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

// apply notes a change and reports whether it is news. A list of several pages
// can hold newer items than its revision, whose changes the watch reports
// again.
func (w *Watcher) apply(c rosemarysill.Change) bool {
	known, ok := w.versions[c.Item.Key]
	switch {
	case c.Deleted && (!ok || c.Item.Version < known):
		return false
	case c.Deleted:
		delete(w.versions, c.Item.Key)
	case ok && c.Item.Version <= known:
		return false
	default:
		w.versions[c.Item.Key] = c.Item.Version
	}
	return true
}
