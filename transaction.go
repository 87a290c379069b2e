package rosemarysill

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStoreRefused reports a call that the store refused before it did
// anything.
var ErrStoreRefused = errors.New("store: refused")

// Guard is a condition of a commit: the key has this version, or does not
// exist if the version is 0.
type Guard struct {
	Key     string
	Version uint64
}

// Write is one key that a commit sets. The key is deleted when the lease
// lapses, unless Lease is 0.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Commit is a change of several keys that takes effect as a whole or not at
// all.
type Commit struct {
	Guards []Guard
	Writes []Write
	Remove []string
}

// TransactionalStore is a key-value service that commits several keys at once.
// Its errors are those of Store, and ErrStoreRefused.
type TransactionalStore interface {
	// Get returns the item under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix and a revision from
	// which a watch reports every change that the list may have missed.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits up to wait for changes under prefix after a revision. It
	// returns them in order with the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit returns the revision of the change. With ErrVersion it returns
	// the present items of the guards instead.
	Commit(ctx context.Context, c Commit) (uint64, []Item, error)
	// Grant makes a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// VersionOf returns the version of the item with the key, 0 if there is none.
func VersionOf(items []Item, key string) uint64 {
	for _, i := range items {
		if i.Key == key {
			return i.Version
		}
	}
	return 0
}
