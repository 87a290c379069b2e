package upstream

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// storeFault is what a fakeStore does with one exchange.
type storeFault int

const (
	works storeFault = iota
	refuses
	losesAnswer // the write takes effect
	loses       // nothing takes effect
	delays      // the write takes effect after the answer was given up
)

// fakeStore is a store in memory that honours leases; leases hold their ends.
type fakeStore struct {
	rosemarysill.Store
	mu     sync.Mutex
	items  map[string]rosemarysill.Item
	under  map[string]rosemarysill.LeaseID
	leases []time.Time
}

// live returns the item under key and drops it when its lease has ended.
func (s *fakeStore) live(key string) rosemarysill.Item {
	if lease := s.under[key]; lease != 0 && !time.Now().Before(s.leases[lease-1]) {
		delete(s.items, key)
	}
	return s.items[key]
}

type storeLink struct {
	*fakeStore
	fault func(op string) storeFault
}

func (l *storeLink) Grant(_ context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	if f := l.fault("Grant"); f != works {
		return 0, rosemarysill.ErrStoreUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases = append(l.leases, time.Now().Add(ttl))
	return rosemarysill.LeaseID(len(l.leases)), nil
}

func (l *storeLink) Get(_ context.Context, key string) (rosemarysill.Item, error) {
	advance(time.Millisecond)
	if f := l.fault("Get"); f != works {
		return rosemarysill.Item{}, rosemarysill.ErrStoreUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.live(key)
	if it.Version == 0 {
		return it, rosemarysill.ErrNotFound
	}
	return it, nil
}

func (l *storeLink) Swap(_ context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	advance(time.Millisecond)
	switch l.fault("Swap") {
	case refuses:
		return 0, rosemarysill.ErrRateLimited
	case loses:
		return 0, rosemarysill.ErrStoreUnavailable
	case losesAnswer:
		_, _ = l.swap(key, value, version, lease)
		return 0, rosemarysill.ErrStoreUnavailable
	case delays:
		time.AfterFunc(100*time.Millisecond, func() { _, _ = l.swap(key, value, version, lease) })
		return 0, rosemarysill.ErrStoreUnavailable
	}
	return l.swap(key, value, version, lease)
}

func (l *storeLink) swap(key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !time.Now().Before(l.leases[lease-1]):
		return 0, rosemarysill.ErrLeaseLapsed
	case l.live(key).Version != version:
		return 0, rosemarysill.ErrVersion
	}
	l.items[key], l.under[key] = rosemarysill.Item{Key: key, Value: value, Version: version + 1}, lease
	return version + 1, nil
}

// forward is the script of an agent for one forward.
type forward func(ctx context.Context, f *fakeFleet, u int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error)

// fakeFleet is the upstreams' agents as one entry reaches them. Executions are
// counted by identifier for all entries together.
type fakeFleet struct {
	mu         sync.Mutex
	executions map[uuid.UUID]int
	forwards   int
	progress   []int
	most       int // in progress at one upstream
	script     forward
}

func (f *fakeFleet) Agent(a netip.AddrPort) (rosemarysill.Agent, error) {
	return &fakeAgent{fleet: f, index: int(a.Port()) - 1}, nil
}

type fakeAgent struct {
	rosemarysill.Agent
	fleet *fakeFleet
	index int
}

func (a *fakeAgent) Forward(ctx context.Context, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	f := a.fleet
	f.mu.Lock()
	f.forwards++
	f.progress[a.index]++
	f.most = max(f.most, f.progress[a.index])
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.progress[a.index]--
	}()
	return f.script(ctx, f, a.index, r)
}

// run executes the call as the upstream would.
func (f *fakeFleet) run(r rosemarysill.ForwardRequest) rosemarysill.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[r.Call.ID]++
	return rosemarysill.Answer{ID: r.Call.ID, Body: fmt.Appendf(nil, "run %d of %s", f.executions[r.Call.ID], r.Call.Body)}
}

func (f *fakeFleet) ran(id uuid.UUID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[id]
}

// Scripts of agents.
func serves(_ context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	a := f.run(r)
	advance(10 * time.Millisecond)
	return a, nil
}

// servesInAnyOrder answers after 5 to 15 ms, so that later calls overtake.
func servesInAnyOrder(_ context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	a := f.run(r)
	advance(5*time.Millisecond + time.Duration(r.Call.ID[15]*37%10)*time.Millisecond)
	return a, nil
}

func losesItsAnswer(_ context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	f.run(r)
	return rosemarysill.Answer{}, fmt.Errorf("connection reset")
}

func refusesAs(code rosemarysill.Code) forward {
	return func(context.Context, *fakeFleet, int, rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		return rosemarysill.Answer{}, rosemarysill.NewError(code, "refused")
	}
}

// bench is a store, upstreams and entries of one test.
type bench struct {
	t       *testing.T
	store   *fakeStore
	fleet   *fakeFleet
	mu      sync.Mutex
	ups     []rosemarysill.UpstreamState
	auth    rosemarysill.Authority
	faults  map[string][]storeFault // of the next exchanges by operation
	entries []*Router
	ids     uint64
	tick    time.Duration
	// observed has a line for each answered call.
	observed []string
}

// inBubble runs a test on a virtual clock with entries over the given number
// of upstreams of two slots each.
func inBubble(t *testing.T, entries, upstreams int, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{t: t, tick: DefaultLimits().TickEvery, store: &fakeStore{items: map[string]rosemarysill.Item{}, under: map[string]rosemarysill.LeaseID{}}, faults: map[string][]storeFault{},
			fleet: &fakeFleet{executions: map[uuid.UUID]int{}, progress: make([]int, upstreams), script: serves}}
		b.auth = rosemarysill.Authority{
			Until: time.Now().Add(24 * time.Hour), StoreContact: true, StoreDeadline: time.Now().Add(24 * time.Hour),
			Config: rosemarysill.Configuration{
				Accounts: []rosemarysill.Account{{Name: "Sfax"}, {Name: "Sousse"}},
				Domains:  []rosemarysill.Domain{{Name: "Tunis"}, {Name: "Nabeul"}},
			},
		}
		for i := range upstreams {
			b.ups = append(b.ups, rosemarysill.UpstreamState{FreeSlots: 2, LastHeartbeat: time.Now(), Identity: rosemarysill.AgentIdentity{
				Name: fmt.Sprintf("u%d", i), Slots: 2, Domain: []string{"Tunis", "Nabeul"}[i%2],
				Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			}})
		}
		for range entries {
			b.entries = append(b.entries, b.entry(ctx, 0))
		}
		defer func() {
			cancel()
			for _, r := range b.entries {
				<-r.Done()
				require.Zero(t, r.Waiting()+r.InProgress(), "a slot or a place in the queue was not given back")
			}
		}()
		test(b)
	})
}

func (b *bench) entry(ctx context.Context, behind time.Duration) *Router {
	limits := DefaultLimits()
	limits.Dispatch.FreshFor, limits.TickEvery = 24*time.Hour, b.tick
	r := NewRouter(Sources{
		Limits: &limits,
		Observe: func(c rosemarysill.Call, code rosemarysill.Code, queued, took time.Duration) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.observed = append(b.observed, fmt.Sprint(c.Account, " ", code, " ", queued, " ", took))
		},
		Upstreams: func() []rosemarysill.UpstreamState {
			b.mu.Lock()
			defer b.mu.Unlock()
			return append([]rosemarysill.UpstreamState(nil), b.ups...)
		},
		Authority: func() rosemarysill.Authority {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.auth
		},
	}, rosemarysill.WithStore(&storeLink{b.store, b.nextFault}), rosemarysill.WithAgents(b.fleet),
		rosemarysill.WithNow(func() time.Time { return time.Now().Add(-behind) }))
	go func() { _ = r.Run(ctx) }()
	return r
}

func (b *bench) nextFault(op string) storeFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.faults[op]
	if len(queue) == 0 {
		return works
	}
	b.faults[op] = queue[1:]
	return queue[0]
}

// change edits what the entries see.
func (b *bench) change(edit func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	edit()
}

// call returns a new call that must run at most once.
func (b *bench) call() rosemarysill.Call {
	b.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|b.ids)
	return rosemarysill.Call{ID: id, Account: "Sfax", Class: rosemarysill.Normal, Deadline: time.Now().Add(10 * time.Second), Body: []byte("coil")}
}

// start sends n calls, one each time that every has passed, each changed by
// edit. The returned function waits for the answers and counts their codes; an
// answer with another call's content counts as InternalError.
func (b *bench) start(r *Router, n int, every time.Duration, edit func(i int, c *rosemarysill.Call)) func() map[rosemarysill.Code]int {
	answers := make(chan rosemarysill.Code, n)
	for i := range n {
		call := b.call()
		call.Body = fmt.Appendf(nil, "suit %d", i)
		edit(i, &call)
		go func() {
			advance(time.Duration(i) * every)
			a := r.Call(context.Background(), call)
			if a.ID != call.ID || (a.Code == rosemarysill.Done && !strings.HasSuffix(string(a.Body), " of "+string(call.Body))) {
				a.Code = rosemarysill.InternalError
			}
			answers <- a.Code
		}()
	}
	return func() map[rosemarysill.Code]int {
		codes := map[rosemarysill.Code]int{}
		for range n {
			codes[<-answers]++
		}
		return codes
	}
}

func unchanged(int, *rosemarysill.Call) {}

// seeded returns a random source with a fixed seed.
func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// advance lets the virtual clock of the bubble run.
func advance(d time.Duration) { <-time.After(d) }
