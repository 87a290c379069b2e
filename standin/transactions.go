package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
)

// Fault is what a Transactions store does with a call.
type Fault int

// Faults of a store.
const (
	Healthy Fault = iota
	Refusing
	Silent // nothing is done, and the call gets no answer
	Losing // commits are done and not answered
	Late   // commits are done after LateBy if their guards still hold, and not answered
)

// maxTransaction is the number of entries of a commit.
const maxTransaction = 32

// Transactions is a rosemarysill.TransactionalStore in memory. Faults are set
// for all callers, or for those that use a view with a name.
type Transactions struct {
	LateBy time.Duration // delay of late commits

	mu       sync.Mutex
	items    map[string]txItem
	history  []rosemarysill.Change
	oldest   uint64 // history after this revision is held
	revision uint64
	leases   map[rosemarysill.LeaseID]*txLease
	nextID   rosemarysill.LeaseID
	faults   map[string]Fault
	changed  chan struct{}
	calls    int

	suspended bool // an outage: no call gets an answer, and no lease expires
}

type txItem struct {
	rosemarysill.Item
	lease rosemarysill.LeaseID
}

type txLease struct {
	ttl   time.Duration
	until time.Time
}

var _ rosemarysill.TransactionalStore = (*View)(nil)

// NewTransactions returns an empty store.
func NewTransactions() *Transactions {
	return &Transactions{
		items: make(map[string]txItem), leases: make(map[rosemarysill.LeaseID]*txLease), faults: make(map[string]Fault),
		revision: 1, oldest: 1, changed: make(chan struct{}),
	}
}

// Everyone sets the fault of all views that have none of their own.
const Everyone = ""

// SetFault sets what the store does with the calls of a view.
func (s *Transactions) SetFault(view string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[view] = f
	s.broadcast() // waiting watches see the fault
}

// Suspend begins an outage for all views, in which leases do not expire.
func (s *Transactions) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = true
	s.broadcast()
}

// Resume ends the outage. No lease expires before the given time has passed, unless it is
// renewed or revoked.
func (s *Transactions) Resume(extension time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = false
	for _, l := range s.leases {
		l.until = time.Now().Add(extension)
	}
	s.broadcast()
}

// Calls returns the number of calls so far.
func (s *Transactions) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact discards the history.
func (s *Transactions) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.broadcast()
}

// Put writes a key without conditions, as operators do.
func (s *Transactions) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(rosemarysill.Write{Key: key, Value: value})
	s.broadcast()
	return s.revision
}

// Remove deletes a key without conditions.
func (s *Transactions) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.broadcast()
}

// Keys returns the present keys under a prefix.
func (s *Transactions) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// View returns a client's view of the store. Its name selects its faults.
func (s *Transactions) View(name string) *View { return &View{s, name} }

func (s *Transactions) write(w rosemarysill.Write) {
	i := txItem{rosemarysill.Item{Key: w.Key, Value: w.Value, Version: s.revision}, w.Lease}
	s.items[w.Key] = i
	s.history = append(s.history, rosemarysill.Change{Item: i.Item, Revision: s.revision})
}

func (s *Transactions) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, rosemarysill.Change{Item: rosemarysill.Item{Key: key}, Deleted: true, Revision: s.revision})
	}
}

func (s *Transactions) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have lapsed.
func (s *Transactions) expire(now time.Time) {
	if s.suspended {
		return
	}
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Transactions) endLease(id rosemarysill.LeaseID) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.lease == id {
			s.revision++
			s.remove(key)
			s.broadcast()
		}
	}
}

// View is a client's view of a store.
type View struct {
	s    *Transactions
	name string
}

// enter counts a call and applies its fault. The caller holds the lock after
// it unless it returns an error.
func (v *View) enter(ctx context.Context) (Fault, error) {
	s := v.s
	s.mu.Lock()
	s.calls++
	s.expire(time.Now())
	f := v.fault()
	switch f {
	case Refusing:
		s.mu.Unlock()
		return f, rosemarysill.ErrStoreRefused
	case Silent:
		s.mu.Unlock()
		<-ctx.Done()
		return f, errors.Mark(ctx.Err(), rosemarysill.ErrStoreUnavailable)
	}
	return f, nil
}

func (v *View) fault() Fault {
	if v.s.suspended {
		return Silent
	}
	if f, ok := v.s.faults[v.name]; ok {
		return f
	}
	return v.s.faults[Everyone]
}

// silence ends a call after the usual limit, as a client of the network does.
func silence(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 500*time.Millisecond)
}

// Get implements rosemarysill.TransactionalStore.
func (v *View) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	ctx, cancel := silence(ctx)
	defer cancel()
	if _, err := v.enter(ctx); err != nil {
		return rosemarysill.Item{}, err
	}
	defer v.s.mu.Unlock()
	i, ok := v.s.items[key]
	if !ok {
		return rosemarysill.Item{}, rosemarysill.ErrNotFound
	}
	return i.Item, nil
}

// List implements rosemarysill.TransactionalStore.
func (v *View) List(ctx context.Context, prefix string) ([]rosemarysill.Item, uint64, error) {
	ctx, cancel := silence(ctx)
	defer cancel()
	if _, err := v.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer v.s.mu.Unlock()
	var items []rosemarysill.Item
	for k, i := range v.s.items {
		if strings.HasPrefix(k, prefix) {
			items = append(items, i.Item)
		}
	}
	slices.SortFunc(items, func(a, b rosemarysill.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, v.s.revision, nil
}

// Watch implements rosemarysill.TransactionalStore.
func (v *View) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]rosemarysill.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()
	until := time.NewTimer(wait)
	defer until.Stop()
	for over := false; ; {
		if _, err := v.enter(ctx); err != nil {
			return nil, after, err
		}
		if after < v.s.oldest {
			v.s.mu.Unlock()
			return nil, after, rosemarysill.ErrCompacted
		}
		var changes []rosemarysill.Change
		for _, c := range v.s.history {
			if c.Revision > after && strings.HasPrefix(c.Item.Key, prefix) {
				changes = append(changes, c)
			}
		}
		revision, changed := v.s.revision, v.s.changed
		v.s.mu.Unlock()
		if len(changes) > 0 || over {
			return changes, revision, nil
		}
		tick := time.NewTimer(50 * time.Millisecond) // leases lapse without a change
		select {
		case <-ctx.Done():
		case <-changed:
		case <-tick.C:
		case <-until.C:
			over = true
		}
		tick.Stop()
		if ctx.Err() != nil {
			return nil, after, errors.Mark(ctx.Err(), rosemarysill.ErrStoreUnavailable)
		}
	}
}

// Commit implements rosemarysill.TransactionalStore.
func (v *View) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	ctx, cancel := silence(ctx)
	defer cancel()
	f, err := v.enter(ctx)
	if err != nil {
		return 0, nil, err
	}
	defer v.s.mu.Unlock()
	if len(c.Guards)+len(c.Writes)+len(c.Remove) > maxTransaction {
		return 0, nil, errors.Wrap(rosemarysill.ErrStoreRefused, "too many entries")
	}
	if f == Late {
		c.Guards = slices.Clone(c.Guards) // the caller may use its own again
		time.AfterFunc(v.s.LateBy, func() {
			v.s.mu.Lock()
			defer v.s.mu.Unlock()
			_, _, _ = v.s.commit(c) // a late commit answers nobody
		})
		return 0, nil, rosemarysill.ErrStoreUnavailable
	}
	revision, items, err := v.s.commit(c)
	if f == Losing {
		return 0, nil, rosemarysill.ErrStoreUnavailable
	}
	return revision, items, err
}

// commit applies a commit if its guards hold. The caller holds the lock.
func (s *Transactions) commit(c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	held := true
	var items []rosemarysill.Item
	for _, g := range c.Guards {
		i, ok := s.items[g.Key]
		held = held && i.Version == g.Version
		if ok {
			items = append(items, i.Item)
		}
	}
	if !held {
		return 0, items, rosemarysill.ErrVersion
	}
	for _, w := range c.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, nil, rosemarysill.ErrLeaseLapsed
		}
	}
	s.revision++
	for _, w := range c.Writes {
		s.write(w)
	}
	for _, k := range c.Remove {
		s.remove(k)
	}
	s.broadcast()
	return s.revision, nil, nil
}

// Grant implements rosemarysill.TransactionalStore.
func (v *View) Grant(ctx context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	ctx, cancel := silence(ctx)
	defer cancel()
	if _, err := v.enter(ctx); err != nil {
		return 0, err
	}
	defer v.s.mu.Unlock()
	v.s.nextID++
	v.s.leases[v.s.nextID] = &txLease{ttl, time.Now().Add(ttl)}
	return v.s.nextID, nil
}

// Renew implements rosemarysill.TransactionalStore.
func (v *View) Renew(ctx context.Context, lease rosemarysill.LeaseID) error {
	ctx, cancel := silence(ctx)
	defer cancel()
	if _, err := v.enter(ctx); err != nil {
		return err
	}
	defer v.s.mu.Unlock()
	l, ok := v.s.leases[lease]
	if !ok {
		return rosemarysill.ErrLeaseLapsed
	}
	l.until = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements rosemarysill.TransactionalStore.
func (v *View) Revoke(ctx context.Context, lease rosemarysill.LeaseID) error {
	ctx, cancel := silence(ctx)
	defer cancel()
	if _, err := v.enter(ctx); err != nil {
		return err
	}
	defer v.s.mu.Unlock()
	if _, ok := v.s.leases[lease]; !ok {
		return rosemarysill.ErrLeaseLapsed
	}
	v.s.endLease(lease)
	return nil
}
