package membership

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// fakeStore is a store in memory that counts its calls. fault, if set, decides
// what happens to a call of an entry.
type fakeStore struct {
	rosemarysill.Store
	mu     sync.Mutex
	items  map[string]rosemarysill.Item
	calls  map[string]int
	bytes  int
	record func(key string, value []byte)
}

// fault is what happens to one store call.
type fault int

const (
	none fault = iota
	down       // no effect, no answer
	lost       // takes effect, the answer is lost
	late       // takes effect 10 s later, the answer is lost
)

// link is a store as one entry reaches it.
type link struct {
	*fakeStore
	fault func(op, key string) fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]rosemarysill.Item{}, calls: map[string]int{}}
}

func (l *link) do(ctx context.Context, op, key string, f func() error) error {
	l.mu.Lock()
	l.calls[op]++
	decide := l.fault
	l.mu.Unlock()
	how := none
	if decide != nil {
		how = decide(op, key)
	}
	run := func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		return f()
	}
	switch how {
	case down:
		<-ctx.Done()
		return rosemarysill.ErrStoreUnavailable
	case lost:
		_ = run()
		return rosemarysill.ErrStoreUnavailable
	case late:
		time.AfterFunc(10*time.Second, func() { _ = run() })
		<-ctx.Done()
		return rosemarysill.ErrStoreUnavailable
	}
	return run()
}

func (l *link) Get(ctx context.Context, key string) (item rosemarysill.Item, err error) {
	err = l.do(ctx, "Get", key, func() error {
		var ok bool
		if item, ok = l.items[key]; !ok {
			return rosemarysill.ErrNotFound
		}
		l.bytes += len(item.Value)
		return nil
	})
	return item, err
}

func (l *link) List(ctx context.Context, prefix string) (items []rosemarysill.Item, _ uint64, err error) {
	err = l.do(ctx, "List", prefix, func() error {
		for k, item := range l.items {
			if strings.HasPrefix(k, prefix) {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return nil
	})
	return items, 0, err
}

func (l *link) Swap(ctx context.Context, key string, value []byte, version uint64, _ rosemarysill.LeaseID) (written uint64, err error) {
	err = l.do(ctx, "Swap", key, func() error {
		if l.items[key].Version != version {
			return rosemarysill.ErrVersion
		}
		l.items[key] = rosemarysill.Item{Key: key, Value: value, Version: version + 1}
		written = version + 1
		if l.record != nil {
			l.record(key, value)
		}
		return nil
	})
	return written, err
}

func (l *link) Delete(ctx context.Context, key string, version uint64) error {
	return l.do(ctx, "Delete", key, func() error {
		if l.items[key].Version != version {
			return rosemarysill.ErrVersion
		}
		delete(l.items, key)
		return nil
	})
}

// fleet is several entries in one process. cut breaks the direction from one
// entry to another; a broken request is neither delivered nor answered.
type fleet struct {
	t       *testing.T
	store   *fakeStore
	mu      sync.Mutex
	entries map[netip.AddrPort]*node
	cut     map[[2]string]bool
}

type node struct {
	*Membership
	link *link
	self rosemarysill.Member
	stop context.CancelFunc
	skip atomic.Int64 // lead of the entry's clock after a pause, in ns
}

func (n *node) now() time.Time { return time.Now().Add(time.Duration(n.skip.Load())) }

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: newFakeStore(), entries: map[netip.AddrPort]*node{}, cut: map[[2]string]bool{}}
}

type peerLink struct {
	f        *fleet
	from, to string
	rosemarysill.Peer
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// setCut breaks or mends the direction from one entry to another.
func (f *fleet) setCut(from, to string, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = broken
}

func (p *peerLink) deliver(ctx context.Context, f func() error) error {
	if p.f.isCut(p.from, p.to) {
		<-ctx.Done()
		return ctx.Err()
	}
	err := f()
	if p.f.isCut(p.to+" answers", p.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (p *peerLink) Confirm(ctx context.Context, r rosemarysill.ConfirmRequest) (reply rosemarysill.ConfirmReply, err error) {
	err = p.deliver(ctx, func() (e error) { reply, e = p.Peer.Confirm(ctx, r); return e })
	return reply, err
}

func (p *peerLink) Fence(ctx context.Context, r rosemarysill.FenceRequest) error {
	return p.deliver(ctx, func() error { return p.Peer.Fence(ctx, r) })
}

func (p *peerLink) Join(ctx context.Context, r rosemarysill.JoinRequest) error {
	return p.deliver(ctx, func() error { return p.Peer.Join(ctx, r) })
}

type peersOf struct {
	f    *fleet
	from string
}

func (p peersOf) Peer(a netip.AddrPort) (rosemarysill.Peer, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	n, ok := p.f.entries[a]
	if !ok {
		return nil, rosemarysill.NewError(rosemarysill.Unreachable, "no entry at %s", a)
	}
	return &peerLink{f: p.f, from: p.from, to: n.self.Name, Peer: n}, nil
}

// start starts entry number i under a new identity.
func (f *fleet) start(i int) *node {
	name := fmt.Sprintf("e%d", i)
	self := rosemarysill.Member{ID: uuid.New(), Name: name, Address: address(i)}
	n := &node{self: self, link: &link{fakeStore: f.store}}
	n.Membership = New(self, []netip.AddrPort{address(0), address(1), address(2)},
		rosemarysill.WithStore(n.link), rosemarysill.WithPeers(peersOf{f, name}), rosemarysill.WithNow(n.now))
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	f.mu.Lock()
	f.entries[self.Address] = n
	f.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
	return n
}

// kill ends an entry without a graceful departure.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	if f.entries[n.self.Address] == n {
		delete(f.entries, n.self.Address)
	}
	f.mu.Unlock()
	n.stop()
	<-n.Done()
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
}

// setFault decides what happens to the store calls of the entries.
func setFault(decide func(op, key string) fault, nodes ...*node) {
	for _, n := range nodes {
		n.link.mu.Lock()
		n.link.fault = decide
		n.link.mu.Unlock()
	}
}

func allDown(string, string) fault { return down }

// after lets the fake clock run and the entries settle.
func after(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// established starts n entries and waits until they are established.
func (f *fleet) established(n int) []*node {
	var nodes []*node
	for i := range n {
		nodes = append(nodes, f.start(i))
		after(10 * time.Second)
	}
	for _, e := range nodes {
		require.True(f.t, e.Authority().Established, e.self.Name)
		require.True(f.t, e.Authority().ByStore(time.Now()), e.self.Name)
	}
	return nodes
}
