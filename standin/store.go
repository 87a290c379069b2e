package standin

import (
	"cmp"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"golang.org/x/time/rate"
)

// StoreOptions are the limits of a stand-in store. A zero field takes the
// default.
type StoreOptions struct {
	Now           func() time.Time // time.Now
	MaxValueBytes int              // 1 MB, the platform's limit
	MaxBytes      int              // of all values: 256 MiB
	PageBytes     int              // of a page of a list: 4 MiB
	LogChanges    int              // changes held for watches: 4096
	LogBytes      int              // values of these changes: 64 MiB
	WritesPerS    float64          // 400; negative is no limit
	ReadsPerS     float64          // 2000; negative is no limit
	MaxWait       time.Duration    // of a watch: 30 s
	MaxTTL        time.Duration    // of a lease: 24 h
}

// StoreFaults are the faults of a stand-in store, switched at run time.
type StoreFaults struct {
	Outage        bool          // every call fails at once without effect
	Delay         time.Duration // before the effect of a call
	AnswerDelay   time.Duration // after the effect of a call
	LoseNext      int           // number of next writes whose answers are lost
	LoseEvery     int           // every n-th write loses its answer; 0 is none
	SilentWatches bool          // watches report nothing
}

// StoreCounters count the calls of each kind, and the failures among them by
// kind of failure.
type StoreCounters struct {
	Calls    map[string]int
	Refusals map[string]int
	Lost     int // answers lost after the effect
}

// Kinds of calls in StoreCounters.
const (
	StoreGet    = "Get"
	StoreList   = "List"
	StoreWatch  = "Watch"
	StoreSwap   = "Swap"
	StoreDelete = "Delete"
	StoreGrant  = "Grant"
	StoreRenew  = "Renew"
	StoreRevoke = "Revoke"
)

type storedItem struct {
	rosemarysill.Item
	lease rosemarysill.LeaseID
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Store is a stand-in of the platform's store. It implements
// rosemarysill.Store for use in-process and http.Handler for use over a socket.
type Store struct {
	opts  StoreOptions
	clock *clock

	mu        sync.Mutex
	items     map[string]storedItem
	bytes     int
	leases    map[rosemarysill.LeaseID]*storeLease
	nextLease rosemarysill.LeaseID
	nextDue   time.Time // no lease lapses earlier
	revision  uint64
	log       []rosemarysill.Change
	logBytes  int
	compacted uint64 // highest revision that is no longer in the log
	faults    StoreFaults
	writes    int // for LoseEvery
	counters  StoreCounters
	writeRate *rate.Limiter
	readRate  *rate.Limiter
}

var _ rosemarysill.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(o StoreOptions) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.MaxValueBytes = cmp.Or(o.MaxValueBytes, 1_000_000)
	o.MaxBytes = cmp.Or(o.MaxBytes, 256<<20)
	o.PageBytes = cmp.Or(o.PageBytes, 4<<20)
	o.LogChanges = cmp.Or(o.LogChanges, 4096)
	o.LogBytes = cmp.Or(o.LogBytes, 64<<20)
	o.WritesPerS = cmp.Or(o.WritesPerS, 400)
	o.ReadsPerS = cmp.Or(o.ReadsPerS, 2000)
	o.MaxWait = cmp.Or(o.MaxWait, 30*time.Second)
	o.MaxTTL = cmp.Or(o.MaxTTL, 24*time.Hour)
	return &Store{
		opts:      o,
		clock:     newClock(o.Now),
		items:     map[string]storedItem{},
		leases:    map[rosemarysill.LeaseID]*storeLease{},
		counters:  StoreCounters{Calls: map[string]int{}, Refusals: map[string]int{}},
		writeRate: newLimiter(o.WritesPerS),
		readRate:  newLimiter(o.ReadsPerS),
	}
}

// newLimiter allows bursts of a quarter of a second's calls.
func newLimiter(perS float64) *rate.Limiter {
	if perS < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), max(1, int(perS/4)))
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.clock.wake()
}

// Counters returns a copy of the counters.
func (s *Store) Counters() StoreCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCounters{maps.Clone(s.counters.Calls), maps.Clone(s.counters.Refusals), s.counters.Lost}
}

// Revision returns the store's revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Tick lets leases lapse that are due by the injected clock. Each call does
// the same; a test calls Tick after it has advanced the clock.
func (s *Store) Tick() {
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	s.clock.wake()
}

// Compact drops all changes held for watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.logBytes, s.compacted = nil, 0, s.revision
}

// remove deletes a key that exists. The caller holds mu.
func (s *Store) remove(key string) {
	it := s.items[key]
	delete(s.items, key)
	s.bytes -= len(it.Value)
	if l := s.leases[it.lease]; l != nil {
		delete(l.keys, key)
	}
	s.revision++
	s.record(rosemarysill.Change{Item: rosemarysill.Item{Key: key, Version: it.Version}, Deleted: true, Revision: s.revision})
}

func (s *Store) get(key string) (rosemarysill.Item, error) {
	it, ok := s.items[key]
	if !ok {
		return rosemarysill.Item{Key: key}, rosemarysill.ErrNotFound
	}
	return it.Item, nil
}

// page returns the items under prefix from a key on, up to PageBytes, and the
// first key of the next page.
func (s *Store) page(prefix, from string) (listReply, error) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key >= from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	reply := listReply{Revision: s.revision}
	size := 0
	for _, key := range keys {
		it := s.items[key].Item
		size += len(it.Key) + len(it.Value)
		if len(reply.Items) > 0 && size > s.opts.PageBytes {
			reply.Next = key
			break
		}
		reply.Items = append(reply.Items, it)
	}
	return reply, nil
}

func (s *Store) swap(r swapRequest) (uint64, error) {
	it := s.items[r.Key]
	switch {
	case r.Key == "":
		return 0, errInvalid
	case len(r.Value) > s.opts.MaxValueBytes || s.bytes+len(r.Value)-len(it.Value) > s.opts.MaxBytes:
		return 0, errTooLarge
	case it.Version != r.Version:
		return 0, rosemarysill.ErrVersion
	case r.Lease != 0 && s.leases[r.Lease] == nil:
		return 0, rosemarysill.ErrLeaseLapsed
	}
	if l := s.leases[it.lease]; l != nil {
		delete(l.keys, r.Key)
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[r.Key] = true
	}
	s.bytes += len(r.Value) - len(it.Value)
	s.revision++
	it = storedItem{rosemarysill.Item{Key: r.Key, Value: r.Value, Version: s.revision}, r.Lease}
	s.items[r.Key] = it
	s.record(rosemarysill.Change{Item: it.Item, Revision: s.revision})
	return it.Version, nil
}

func (s *Store) delete(r deleteRequest) error {
	it, ok := s.items[r.Key]
	switch {
	case !ok:
		return rosemarysill.ErrNotFound
	case it.Version != r.Version:
		return rosemarysill.ErrVersion
	}
	s.remove(r.Key)
	return nil
}
