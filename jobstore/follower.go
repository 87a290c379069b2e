package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// watchWait is how long a watch waits at the store. Its answer confirms the
// copy, so it is a third of the age at which the copy is too old to serve from.
const watchWait = time.Second

const (
	// gatherFor is the pause after changes in which a follower lets further ones
	// gather: else each change costs a call to the store for each entry. An
	// operator's change is in force later by at most this, of 2 s.
	gatherFor = 80 * time.Millisecond
	// recordsGatherFor is that pause for the records at an entry that does not
	// lead. Each commit of the leader changes them, and counts of waiting jobs may
	// be 2 s old. Whoever needs the present state of a job reads it.
	recordsGatherFor = time.Second
)

// Follower keeps a copy of the items under a prefix.
type Follower struct {
	store      rosemarysill.TransactionalStore
	prefix     string
	apply      func(rosemarysill.Change) // called in order, never at the same time
	failed     func(error)
	regain     func()
	mu         sync.Mutex
	known      map[string]uint64 // version of each present key
	fresh      time.Time         // the copy holds all that was in the store then
	listed     chan struct{}
	healthy    bool
	prompt     chan struct{} // closed while changes are taken at once
	pauseEnded chan struct{} // ends the present pause
	pause      time.Duration // in which changes gather
	wait       time.Duration // of a watch at the store
}

// NewFollower returns a follower that gives each change to apply. It tells the
// first failure in a row to failed, and the end of failures to regain.
func NewFollower(s rosemarysill.TransactionalStore, prefix string, apply func(rosemarysill.Change), failed func(error), regain func()) *Follower {
	return &Follower{
		store: s, prefix: prefix, apply: apply, failed: failed, regain: regain,
		known: make(map[string]uint64), listed: make(chan struct{}), healthy: true, prompt: make(chan struct{}),
		pauseEnded: make(chan struct{}, 1), pause: gatherFor, wait: watchWait,
	}
}

// Synced is closed when the first list has been applied.
func (f *Follower) Synced() <-chan struct{} { return f.listed }

// HasSynced reports whether the first list has been applied.
func (f *Follower) HasSynced() bool {
	select {
	case <-f.listed:
		return true
	default:
		return false
	}
}

// SetUnbatched makes the follower take changes one by one, or let them gather.
func (f *Follower) SetUnbatched(prompt bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.prompt:
		if !prompt {
			f.prompt = make(chan struct{})
		}
	default:
		if prompt {
			close(f.prompt)
		}
	}
}

// endPause ends the present pause, or the next one.
func (f *Follower) endPause() {
	select {
	case f.pauseEnded <- struct{}{}:
	default:
	}
}

// gather waits for further changes.
func (f *Follower) gather(ctx context.Context) {
	f.mu.Lock()
	prompt := f.prompt
	f.mu.Unlock()
	t := time.NewTimer(f.pause)
	defer t.Stop()
	select {
	case <-prompt:
	case <-f.pauseEnded:
	case <-ctx.Done():
	case <-t.C:
	}
}

// FreshAsOf returns the latest time, by package uptime, as of which the copy is
// known to be complete.
func (f *Follower) FreshAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = f.watch(ctx, revision)
		}
		if ctx.Err() == nil && !errors.Is(err, rosemarysill.ErrCompacted) {
			uptime.Sleep(ctx, retryPause)
		}
	}
}

// list applies a whole list, and the deletions that it shows.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	asked := uptime.Now()
	items, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		f.fail(ctx, err)
		return 0, err
	}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		f.change(rosemarysill.Change{Item: i, Revision: i.Version})
	}
	for key := range f.known {
		if !present[key] {
			f.change(rosemarysill.Change{Item: rosemarysill.Item{Key: key}, Deleted: true, Revision: revision})
		}
	}
	f.confirm(asked)
	select {
	case <-f.listed:
	default:
		close(f.listed)
	}
	return revision, nil
}

// watch applies the next changes. A watch that fails is tried again from the
// same revision, unless the store has discarded the history.
func (f *Follower) watch(ctx context.Context, revision uint64) (uint64, error) {
	asked := uptime.Now()
	changes, next, err := f.store.Watch(ctx, f.prefix, revision, f.wait)
	if errors.Is(err, rosemarysill.ErrCompacted) {
		f.failed(err)
		return 0, err
	}
	if err != nil {
		f.fail(ctx, err)
		uptime.Sleep(ctx, retryPause)
		return revision, nil
	}
	for _, c := range changes {
		f.change(c)
	}
	f.confirm(asked)
	if len(changes) > 0 {
		f.gather(ctx)
	}
	return next, nil
}

// change passes a change on unless the copy has it already.
func (f *Follower) change(c rosemarysill.Change) {
	key := c.Item.Key
	have, ok := f.known[key]
	if c.Deleted {
		if ok && c.Revision > have {
			delete(f.known, key)
			f.apply(c)
		}
		return
	}
	if !ok || c.Item.Version > have {
		f.known[key] = c.Item.Version
		f.apply(c)
	}
}

func (f *Follower) confirm(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh = asked
	if !f.healthy {
		f.healthy = true
		f.regain()
	}
}

func (f *Follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthy {
		f.healthy = false
		f.failed(err)
	}
}
