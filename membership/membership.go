package membership

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	rosemarysill "github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// Keys of the store that this package owns.
const (
	ConfigKey     = "config"
	MembersKey    = "members"
	ContactPrefix = "contact/" // followed by the identity of an entry
)

// Membership is the membership of one entry. It implements rosemarysill.Peer
// for the other entries.
type Membership struct {
	opts  rosemarysill.Options
	seeds []netip.AddrPort
	done  chan struct{}
	store chan struct{} // held while list or mark are read and written

	mu       sync.Mutex
	state    *State
	changed  chan struct{} // closed and replaced with each change of state
	markVer  uint64
	pending  *rosemarysill.Members // write of the list whose answer was lost
	inFlight map[netip.AddrPort]bool
	logged   logged
}

// logged is what has last been written to the log.
type logged struct {
	listed, established, contact, authority bool
	revision                                uint64
}

var _ rosemarysill.Peer = (*Membership)(nil)

// New returns the membership of the entry. Seeds are addresses of other
// entries, asked while the list is not known or this entry is not in it.
func New(self rosemarysill.Member, seeds []netip.AddrPort, opts ...rosemarysill.Option) *Membership {
	o := rosemarysill.NewOptions(opts...)
	return &Membership{
		opts: o, seeds: seeds,
		done: make(chan struct{}), store: make(chan struct{}, 1),
		state: NewState(self, o.Timings), changed: make(chan struct{}),
		inFlight: map[netip.AddrPort]bool{},
	}
}

// Run reads the store and asks the other entries until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	defer close(m.done)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		m.every(ctx, ReadEvery(m.opts.Timings), m.cycle)
		return nil
	})
	g.Go(func() error {
		m.every(ctx, m.opts.Timings.ConfirmEvery, func(ctx context.Context) { m.askAll(ctx, g) })
		return nil
	})
	return g.Wait()
}

// every calls f at once and then at each interval, until ctx ends.
func (m *Membership) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// Done is closed when Run has returned.
func (m *Membership) Done() <-chan struct{} { return m.done }

// Authority returns what the entry may rely on now. Its deadlines are checked
// again before each effect.
func (m *Membership) Authority() rosemarysill.Authority {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Authority(m.opts.Now())
}

// Fenced reports whether the entry must not grant a gang lease to the attempt.
func (m *Membership) Fenced(job uuid.UUID, attempt int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Fenced(job, attempt, m.opts.Now())
}

// Confirm answers another entry.
func (m *Membership) Confirm(_ context.Context, r rosemarysill.ConfirmRequest) (rosemarysill.ConfirmReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Confirm(r, m.opts.Now()), nil
}

// Fence acknowledges that the attempt gets no more gang lease from this entry.
func (m *Membership) Fence(_ context.Context, r rosemarysill.FenceRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.state.Fence(r, m.opts.Now())
	if err != nil {
		event.FenceRefused.Log(m.opts.Log).Str("Job", r.Job.String()).Int("Attempt", r.Attempt).Err(err).Send()
	}
	return err
}

// Join acknowledges that another entry joins.
func (m *Membership) Join(_ context.Context, r rosemarysill.JoinRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.AckJoin(r.Member, m.opts.Now())
}

// update changes the state under the lock, logs what has become different and
// wakes those who wait for it.
func (m *Membership) update(f func(s *State, now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	f(m.state, now)
	m.log(now)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Membership) log(now time.Time) {
	a := m.state.Authority(now)
	_, listed := m.state.member(m.state.Self.ID)
	is := logged{listed, a.Established, now.Before(a.StoreDeadline), a.Valid(now), a.Config.Revision}
	was := m.logged
	m.logged = is
	write := func(e event.Event) {
		e.Log(m.opts.Log).Str("Entry", m.state.Self.Name).Uint64("MembersRevision", a.Members.Revision).
			Uint64("Revision", a.Config.Revision).Send()
	}
	toggle := func(was, is bool, gained, lost event.Event) {
		if is && !was {
			write(gained)
		}
		if was && !is {
			write(lost)
		}
	}
	toggle(was.contact, is.contact, event.StoreContactGained, event.StoreContactLost)
	toggle(was.authority, is.authority, event.AuthorityGained, event.AuthorityLost)
	if !m.state.leaving {
		toggle(was.listed, is.listed, event.ListJoined, event.RemovedFromList)
	}
	if is.established && !was.established {
		write(event.EntryEstablished)
	}
	if is.revision != was.revision {
		write(event.ConfigurationAdopted)
	}
}

// askAll sends Confirm, and Join where it is due, to all other entries. A
// request to an address is not repeated while one is under way.
func (m *Membership) askAll(ctx context.Context, g *errgroup.Group) {
	m.mu.Lock()
	targets := map[netip.AddrPort]bool{}
	for _, e := range m.state.Members.Entries {
		if e.ID != m.state.Self.ID {
			targets[e.Address] = true
		}
	}
	if _, listed := m.state.member(m.state.Self.ID); !listed {
		for _, a := range m.seeds {
			if a != m.state.Self.Address {
				targets[a] = true
			}
		}
	}
	for a := range targets {
		if m.inFlight[a] {
			delete(targets, a)
		} else {
			m.inFlight[a] = true
		}
	}
	m.log(m.opts.Now())
	m.mu.Unlock()
	for a := range targets {
		g.Go(func() error {
			m.ask(ctx, a)
			m.mu.Lock()
			delete(m.inFlight, a)
			m.mu.Unlock()
			return nil
		})
	}
}

// ask exchanges one Confirm with the entry at the address, and Join if it has
// yet to acknowledge this entry.
func (m *Membership) ask(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timings.ConfirmFresh)
	defer cancel()
	p, err := m.opts.Peers.Peer(address)
	if err != nil {
		return
	}
	sent := m.opts.Now()
	m.mu.Lock()
	r := m.state.Request(sent)
	m.mu.Unlock()
	reply, err := p.Confirm(ctx, r)
	if err != nil {
		return
	}
	var join int
	var due bool
	m.update(func(s *State, now time.Time) {
		s.Confirmed(reply, sent, now)
		join, due = s.ToJoin(reply.From)
	})
	if !due || p.Join(ctx, rosemarysill.JoinRequest{Member: r.From}) != nil {
		return
	}
	m.update(func(s *State, _ time.Time) { s.JoinAcked(reply.From, join) })
}

// decode reads a document; a missing one is the zero value at version 0.
func (m *Membership) decode(ctx context.Context, key string, into any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timings.StoreFresh)
	defer cancel()
	item, err := m.opts.Store.Get(ctx, key)
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(item.Value, into); err != nil {
		event.MalformedDocument.Log(m.opts.Log).Str("Key", key).Err(err).Send()
		return 0, errors.Wrapf(err, "decode %s", key)
	}
	return item.Version, nil
}

// swap writes a document with a timeout.
func (m *Membership) swap(ctx context.Context, key string, value any, version uint64) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", key)
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timings.StoreFresh)
	defer cancel()
	return m.opts.Store.Swap(ctx, key, raw, version, 0)
}
