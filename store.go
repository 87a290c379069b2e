package rosemarysill

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Item is a value in the store. Version is 0 for a key that does not exist and
// rises with each write of the key.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
}

// LeaseID names a lease of the store; 0 is no lease.
type LeaseID uint64

// Change is a write or a deletion that a watch reports. Revision is the store's
// revision after it.
type Change struct {
	Item     Item
	Deleted  bool
	Revision uint64
}

// Errors of a Store. Any other error, ErrStoreUnavailable included, leaves
// open whether a write took effect; the writer reads back to find out.
var (
	// ErrVersion reports that a compare-and-swap found another version: the
	// write did not take effect.
	ErrVersion = errors.New("store: version differs")
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrLeaseLapsed reports a lease that does not exist any more.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
	// ErrStoreUnavailable reports an outage, a timeout or a lost answer.
	ErrStoreUnavailable = errors.New("store: unavailable")
	// ErrRateLimited reports that the store refused the call because of its
	// rate; the call had no effect.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrCompacted reports a watch position that the store no longer holds;
	// the watcher lists again.
	ErrCompacted = errors.New("store: watch position is too old")
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns the item under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, sorted by key, and
	// the store's revision at which they were read.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Swap writes value under key if the key has the given version (0: does
	// not exist) and returns the new version. The key is deleted when lease
	// lapses, unless lease is 0.
	Swap(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error)
	// Delete deletes the key if it has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// Grant makes a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until keys under prefix change after the given revision and
	// returns the changes in order with the revision to continue from. It
	// returns no changes when ctx ends or the wait of the store is over.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}
