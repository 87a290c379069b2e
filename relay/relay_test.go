package relay_test

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
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/relay"
	"github.com/rosemarysill/rosemarysill/work"
)

// stub answers submissions and cancellations with a fixed code.
type stub struct {
	queue.Jobs
	code rosemarysill.Code
}

func (s stub) err() error {
	if s.code == rosemarysill.Done {
		return nil
	}
	return rosemarysill.NewError(s.code, "test")
}

func (s stub) Submit(context.Context, queue.Call, func() (*work.Job, error)) error { return s.err() }

func (s stub) Cancel(context.Context, queue.Call) error { return s.err() }

func (s stub) StoreReachable() bool { return true }

// Guards against an answer that claims that a request had no effect although the
// first entry's write took effect and only its answer was lost. The next entry may
// refuse the same request, for instance because it does not know the key.
func TestUncertainSubmissionIsNotRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		local, peer            rosemarysill.Code
		wantSubmit, wantCancel rosemarysill.Code
	}{
		"refused by the peer":       {rosemarysill.OutcomeUnknown, rosemarysill.UnknownAccount, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"queue unknown to the peer": {rosemarysill.OutcomeUnknown, rosemarysill.UnknownQueue, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"done by the peer":          {rosemarysill.OutcomeUnknown, rosemarysill.Done, rosemarysill.Done, rosemarysill.Done},
		"job unknown to the peer":   {rosemarysill.OutcomeUnknown, rosemarysill.UnknownJob, rosemarysill.UnknownJob, rosemarysill.UnknownJob},
		"not run at either":         {rosemarysill.StoreUnavailable, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"outcome unknown at both":   {rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"decided by this entry":     {rosemarysill.UnknownAccount, rosemarysill.Done, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"store unavailable at both": {rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			server := grpc.NewServer()
			relay.Register(server, stub{code: tc.peer})
			done := make(chan struct{})
			go func() { defer close(done); _ = server.Serve(l) }() // returns after Stop
			defer func() { server.Stop(); <-done }()
			r := relay.New(relay.Config{
				Local: stub{code: tc.local}, Log: zerolog.Nop(),
				Peers: func() []relay.Peer {
					return []relay.Peer{{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
				},
			})
			defer r.Close()
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			err = r.Submit(context.Background(), call, func() (*work.Job, error) { return &work.Job{}, nil })
			require.Equal(t, tc.wantSubmit, rosemarysill.CodeOf(err))
			require.Equal(t, tc.wantCancel, rosemarysill.CodeOf(r.Cancel(context.Background(), call)))
		})
	}
}
