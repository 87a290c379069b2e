package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// defaultWatchTimeout is how long a watch waits at the store for changes. Each reply
// confirms that the copy is up to date, so the timeout is a third of the age at which a
// copy is too old to be served from.
const defaultWatchTimeout = time.Second

const (
	// defaultBatchInterval is the pause after changes during which further ones are
	// collected, because a watch for each change costs a call to the store for every
	// entry. An operator's change is delayed by up to this time and has to take effect
	// within 2 s.
	defaultBatchInterval = 80 * time.Millisecond
	// recordsBatchInterval is the pause for the records at an entry that is not the
	// leader. Every commit of the leader changes them, and counts of waiting jobs may
	// be 2 s old. Code that needs the current state of a job reads it from the store.
	recordsBatchInterval = time.Second
)

// Follower watches the items under a prefix and passes their changes on, so that its
// owner has a copy of them.
type Follower struct {
	store         rosemarysill.TransactionalStore
	prefix        string
	apply         func(rosemarysill.Change) // called in order, never concurrently
	onFailure     func(error)
	onRecovery    func()
	mu            sync.Mutex
	versions      map[string]uint64 // version of each key that exists
	freshAsOf     time.Time         // the copy holds everything that was in the store at this time
	repliedAt     time.Time         // when the latest reply of the store arrived
	synced        chan struct{}
	healthy       bool
	unbatched     chan struct{} // closed while changes are not batched
	batchEnd      chan struct{} // ends the current batch interval
	batchInterval time.Duration // pause after changes
	watchTimeout  time.Duration // how long a watch waits at the store
	delivery      delivery
}

// NewFollower returns a follower that calls apply for each change. It calls onFailure
// with the first of consecutive failures and each time the store has discarded the
// history, and onRecovery with the first success after failures.
func NewFollower(s rosemarysill.TransactionalStore, prefix string, apply func(rosemarysill.Change), onFailure func(error), onRecovery func()) *Follower {
	return &Follower{
		store: s, prefix: prefix, apply: apply, onFailure: onFailure, onRecovery: onRecovery,
		versions: make(map[string]uint64), synced: make(chan struct{}), healthy: true, unbatched: make(chan struct{}),
		batchEnd: make(chan struct{}, 1), batchInterval: defaultBatchInterval, watchTimeout: defaultWatchTimeout,
	}
}

// Synced returns a channel that is closed when the first list has been applied.
func (f *Follower) Synced() <-chan struct{} { return f.synced }

// HasSynced reports whether the first list has been applied.
func (f *Follower) HasSynced() bool {
	select {
	case <-f.synced:
		return true
	default:
		return false
	}
}

// SetUnbatched selects whether changes are applied without a pause or in batches.
func (f *Follower) SetUnbatched(unbatched bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.unbatched:
		if !unbatched {
			f.unbatched = make(chan struct{})
		}
	default:
		if unbatched {
			close(f.unbatched)
		}
	}
}

// endBatch ends the current batch interval, or the next one if there is none.
func (f *Follower) endBatch() {
	select {
	case f.batchEnd <- struct{}{}:
	default:
	}
}

// waitForBatch waits until the batch interval is over.
func (f *Follower) waitForBatch(ctx context.Context) {
	f.mu.Lock()
	unbatched := f.unbatched
	f.mu.Unlock()
	t := time.NewTimer(f.batchInterval)
	defer t.Stop()
	select {
	case <-unbatched:
	case <-f.batchEnd:
	case <-ctx.Done():
	case <-t.C:
	}
}

// FreshAsOf returns the latest time, by package uptime, as of which the copy is
// known to be complete.
func (f *Follower) FreshAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAsOf
}

// RepliedAt returns the time, by package uptime, at which the latest successful reply of
// the store arrived. While the store replies, it is at most one watch timeout old, whereas
// FreshAsOf goes by the request of that watch and may be two of them old.
func (f *Follower) RepliedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repliedAt
}

// Run watches the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.applyList(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = f.applyNextChanges(ctx, revision)
		}
		if ctx.Err() == nil && !needsList(err) {
			uptime.Sleep(ctx, retryPause)
		}
	}
}

// applyList lists the prefix and applies the items, and the deletion of known keys that
// the list does not have. It returns the revision of the list.
func (f *Follower) applyList(ctx context.Context) (uint64, error) {
	requestedAt := uptime.Now()
	items, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		f.reportFailure(ctx, err)
		return 0, err
	}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		f.applyIfNewer(rosemarysill.Change{Item: i, Revision: i.Version})
	}
	for key := range f.versions {
		if !present[key] {
			f.applyIfNewer(rosemarysill.Change{Item: rosemarysill.Item{Key: key}, Deleted: true, Revision: revision})
		}
	}
	f.delivery.reached(revision)
	f.markFresh(requestedAt)
	select {
	case <-f.synced:
	default:
		close(f.synced)
	}
	return revision, nil
}

// applyNextChanges watches the prefix once, applies the changes after the revision and
// returns the revision to continue from. After a failure this is the same revision,
// unless the store has discarded the history since.
func (f *Follower) applyNextChanges(ctx context.Context, revision uint64) (uint64, error) {
	watchCtx, end := f.delivery.watch(ctx)
	timeout := f.awaitStore(watchCtx)
	requestedAt := uptime.Now()
	changes, next, err := f.store.Watch(watchCtx, f.prefix, revision, timeout)
	if end() && err != nil {
		err = errUndelivered
	}
	if needsList(err) {
		f.onFailure(err)
		return 0, err
	}
	if err != nil {
		f.reportFailure(ctx, err)
		uptime.Sleep(ctx, retryPause)
		return revision, nil
	}
	for _, c := range changes {
		f.applyIfNewer(c)
	}
	f.delivery.reached(next)
	f.markFresh(requestedAt)
	if len(changes) > 0 {
		f.waitForBatch(ctx)
	}
	return next, nil
}

// awaitStore returns how long the next watch waits at the store. After a failure it first
// waits until the store replies, and the watch does not wait, because its reply shows that
// the copy is fresh: until then callers are refused.
func (f *Follower) awaitStore(ctx context.Context) time.Duration {
	f.mu.Lock()
	healthy := f.healthy
	f.mu.Unlock()
	if healthy {
		return f.watchTimeout
	}
	f.probe(ctx)
	return 0
}

// applyIfNewer applies a change unless the copy has the same or a later version.
func (f *Follower) applyIfNewer(c rosemarysill.Change) {
	key := c.Item.Key
	version, ok := f.versions[key]
	if c.Deleted {
		if ok && c.Revision > version {
			delete(f.versions, key)
			f.apply(c)
		}
		return
	}
	if !ok || c.Item.Version > version {
		f.versions[key] = c.Item.Version
		f.apply(c)
	}
}

// markFresh records that the copy is complete as of a request that has succeeded.
func (f *Follower) markFresh(requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshAsOf, f.repliedAt = requestedAt, uptime.Now()
	if !f.healthy {
		f.healthy = true
		f.onRecovery()
	}
}

func (f *Follower) reportFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthy {
		f.healthy = false
		f.onFailure(err)
	}
}
