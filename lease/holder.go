// Package lease keeps the placement lease: at most one entry places jobs, each
// under an epoch of its own.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
)

// Store keys of the placement lease. The epoch is a key of its own, because the
// holder's key is deleted with its lease and the epoch must never go back.
const (
	holderKey = "placer"
	epochKey  = "epoch"
)

// holderRecord is the value of holderKey.
type holderRecord struct {
	Entry uuid.UUID
}

// epochRecord is the value of epochKey.
type epochRecord struct {
	Epoch   uint64
	WriteID uuid.UUID
}

// Holder takes and keeps the placement lease for one entry.
type Holder struct {
	store rosemarysill.Store
	self  uuid.UUID
	ttl   time.Duration
	now   func() time.Time

	mu    sync.Mutex
	lease rosemarysill.LeaseID
	until time.Time // by this entry's clock, counted from before each renewal
	epoch uint64
}

// NewHolder returns the holder of the entry self; the lease lasts ttl.
func NewHolder(store rosemarysill.Store, self uuid.UUID, ttl time.Duration, now func() time.Time) *Holder {
	return &Holder{store: store, self: self, ttl: ttl, now: now}
}

// Held returns the epoch while the lease is held by this entry's clock.
func (h *Holder) Held() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.lease != 0 && h.now().Before(h.until)
}

// Deadline returns the end of the lease by this entry's clock.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == 0 {
		return time.Time{}
	}
	return h.until
}

// Keep renews the lease, or tries to take it. It returns whether the entry
// holds the lease afterwards and whether it has just taken it.
func (h *Holder) Keep(ctx context.Context) (holds, taken bool) {
	if _, ok := h.Held(); ok {
		return h.renew(ctx), false
	}
	ok := h.take(ctx)
	return ok, ok
}

func (h *Holder) renew(ctx context.Context) bool {
	sent := h.now()
	err := h.store.Renew(ctx, h.currentLease())
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.until = sent.Add(h.ttl)
	case errors.Is(err, rosemarysill.ErrLeaseLapsed):
		h.lease = 0
	}
	return h.lease != 0 && h.now().Before(h.until)
}

func (h *Holder) currentLease() rosemarysill.LeaseID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease
}

// take creates the holder's key under a new lease and raises the epoch. If any
// step fails, the lease is given back; were that lost too, it lapses.
func (h *Holder) take(ctx context.Context) bool {
	if item, err := h.store.Get(ctx, holderKey); err == nil && item.Version != 0 {
		return false
	} else if err != nil && !errors.Is(err, rosemarysill.ErrNotFound) {
		return false
	}
	sent := h.now()
	lease, err := h.store.Grant(ctx, h.ttl)
	if err != nil {
		return false
	}
	value, err := json.Marshal(holderRecord{Entry: h.self})
	if err != nil {
		return false
	}
	if _, err := h.store.Swap(ctx, holderKey, value, 0, lease); err != nil {
		h.giveBack(ctx, lease)
		return false
	}
	epoch, err := h.raiseEpoch(ctx)
	if err != nil {
		h.giveBack(ctx, lease)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.until, h.epoch = lease, sent.Add(h.ttl), epoch
	return h.now().Before(h.until)
}

// raiseEpoch increments the stored epoch. A lost answer leaves a gap in the
// epochs, which does no harm: the next attempt increments again.
func (h *Holder) raiseEpoch(ctx context.Context) (uint64, error) {
	var rec epochRecord
	item, err := h.store.Get(ctx, epochKey)
	if err != nil && !errors.Is(err, rosemarysill.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			return 0, errors.Wrap(err, "epoch record")
		}
	}
	rec.Epoch++
	rec.WriteID = uuid.New()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	if _, err := h.store.Swap(ctx, epochKey, value, item.Version, 0); err != nil {
		return 0, err
	}
	return rec.Epoch, nil
}

// Release gives the lease back, so that another entry can take over at once.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	lease := h.lease
	h.lease = 0
	h.mu.Unlock()
	if lease != 0 {
		h.giveBack(ctx, lease)
	}
}

// giveBack revokes a lease; a failure is harmless, because the lease lapses.
func (h *Holder) giveBack(ctx context.Context, lease rosemarysill.LeaseID) {
	_ = h.store.Revoke(ctx, lease)
}
