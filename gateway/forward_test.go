package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/relay"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// newForwardingRelay returns the relay of the entry g, which forwards calls to other.
func newForwardingRelay(t *testing.T, g, other *Gateway) *relay.Relay {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	relay.Register(server, other, nil)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }() // returns after Stop
	t.Cleanup(func() { server.Stop(); <-done })
	r := relay.New(relay.Config{Name: "this", Local: g, Log: zerolog.Nop(), Peers: func() []relay.Peer {
		return []relay.Peer{{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
	}})
	t.Cleanup(r.Close)
	return r
}

// lateAfter is a store that carries out commits late, and without a reply, once it has
// refused one because of its guards.
type lateAfter struct {
	rosemarysill.TransactionalStore
	store *standin.Transactions
	view  string
}

func (s *lateAfter) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	version, items, err := s.TransactionalStore.Commit(ctx, c)
	if err != nil {
		s.store.SetFault(s.view, standin.Late)
	}
	return version, items, err
}

// Guards against a job that runs after it was refused, because the write of the entry that
// has forwarded the call has the mark as its guard that the refusal was derived from, and
// against a refusal of a job that could be accepted.
func TestForwardedCallDoesNotRefuseItsOwnMark(t *testing.T) {
	s := standin.NewTransactions()
	s.LateBy = 1500 * time.Millisecond
	g, _ := markedEntry(s)
	other := New(g.cfg)
	other.cfg.Store = s.View("other")
	r := newForwardingRelay(t, g, other)
	refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
	require.ErrorIs(t, g.refuseMarked(t.Context(), testCall(nil), testJobID, refusal), refusal)
	g.cfg.Store = &lateAfter{g.cfg.Store, s, "entry"}

	err := r.Submit(t.Context(), testCall(nil), func() (*work.Job, error) { return testJob(), nil })
	require.NoError(t, err, "the mark is that of an earlier try of the caller")
	require.Len(t, s.Keys(jobstore.JobKey("")), 1)
	require.Empty(t, s.Keys(jobstore.MarkKey("")))
	item, err := s.View("operator").Get(t.Context(), jobstore.JobKey(testJobID))
	require.NoError(t, err)
	time.Sleep(s.LateBy) // the late writes are executed
	again, err := s.View("operator").Get(t.Context(), jobstore.JobKey(testJobID))
	require.NoError(t, err)
	require.Equal(t, item.Version, again.Version, "the job is written twice")
}

// Guards against a refusal of a job that a write without a reply still accepts: the write
// has replaced the mark that the refusal has found.
func TestRefusalBehindMarkStopsLateWrite(t *testing.T) {
	for name, tc := range map[string]struct {
		meanwhile bool // the mark is left while the try that is refused is in progress
	}{
		"mark of an earlier try": {},
		"mark of a later try":    {meanwhile: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			s.LateBy = 300 * time.Millisecond
			g, cfg := markedEntry(s)
			other := New(g.cfg)
			other.cfg.Store = s.View("other")
			ctx := t.Context()
			lateWrite := func() { sendLateWrite(t, s, g, cfg, true) }
			var marked bool
			c := testCall(&marked)
			if tc.meanwhile {
				other.cfg.Store = &markedMeanwhile{other.cfg.Store, lateWrite}
			} else {
				lateWrite()
				c.Repeated = true
			}
			err := other.Submit(ctx, c, func() (*work.Job, error) { return testJob(), nil })
			require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err))
			require.True(t, marked)
			time.Sleep(2 * s.LateBy) // the late write is executed
			require.Empty(t, s.Keys(jobstore.JobKey("")), "the refused job is on record")
		})
	}
}

// Guards against a refusal that claims to be confirmed although the store has not confirmed
// that the late write fails.
func TestRefusalBehindMarkIsConfirmed(t *testing.T) {
	s := standin.NewTransactions()
	g, _ := markedEntry(s)
	other := New(g.cfg)
	other.cfg.Store = s.View("other")
	refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
	require.ErrorIs(t, other.refuseMarked(t.Context(), testCall(nil), testJobID, refusal), refusal)
	g.cfg.Store = &lateAfter{g.cfg.Store, s, "entry"}
	var marked bool
	c := testCall(&marked)
	c.Repeated, c.Deadline = true, time.Now().Add(300*time.Millisecond)
	err := g.Submit(t.Context(), c, func() (*work.Job, error) { return testJob(), nil })
	require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err))
	require.False(t, marked)
}
