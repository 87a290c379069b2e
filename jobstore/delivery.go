package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// errUndelivered is the error of a watch that was ended because the store has a change
// that it did not deliver.
var errUndelivered = errors.New("the watch has not delivered a change that the store has")

// needsList reports whether the prefix has to be listed at once after a failed watch.
func needsList(err error) bool {
	return errors.Is(err, rosemarysill.ErrCompacted) || errors.Is(err, errUndelivered)
}

// minInterruptInterval is the shortest time between two interruptions of a watch. It
// bounds the lists that a slow store has to answer because its watches are late.
const minInterruptInterval = time.Second

// delivery checks that the watch of a follower delivers changes that are known from other
// calls. A store that has discarded its history, or a connection that no longer carries
// data, may keep a watch waiting until its timeout.
type delivery struct {
	mu            sync.Mutex
	position      uint64             // revision up to which changes have been delivered
	expecting     bool               // a check is pending
	interrupt     context.CancelFunc // ends the current watch; nil between watches
	interrupted   bool               // the current watch has been ended
	interruptedAt time.Time
}

// Expect tells the follower that the store has a change under its prefix with the given
// revision. If the watch has not delivered it at the given time, by package uptime, the
// prefix is listed instead.
func (f *Follower) Expect(revision uint64, by time.Time) { f.delivery.expect(revision, by) }

func (d *delivery) expect(revision uint64, by time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.position || d.expecting {
		return
	}
	d.expecting = true
	time.AfterFunc(by.Sub(uptime.Now()), func() { d.check(revision) })
}

// check ends the current watch if it has not delivered the revision.
func (d *delivery) check(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expecting = false
	now := uptime.Now()
	if revision <= d.position || d.interrupt == nil || now.Sub(d.interruptedAt) < minInterruptInterval {
		return
	}
	d.interrupted, d.interruptedAt = true, now
	d.interrupt()
}

// Position returns the revision up to which the copy has all changes. While a list is
// being applied, the copy has some newer items already.
func (f *Follower) Position() uint64 {
	f.delivery.mu.Lock()
	defer f.delivery.mu.Unlock()
	return f.delivery.position
}

// reached records that all changes up to the revision have been delivered.
func (d *delivery) reached(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.position = revision
}

// watch returns the context of a watch, and a function to call at its end, which reports
// whether the watch was interrupted.
func (d *delivery) watch(ctx context.Context) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interrupt, d.interrupted = cancel, false
	return ctx, func() bool {
		cancel()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.interrupt = nil
		return d.interrupted
	}
}
