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

// entry answers submissions and cancellations with a code.
type entry struct {
	queue.Jobs
	code rosemarysill.Code
}

func (e entry) err() error {
	if e.code == rosemarysill.Done {
		return nil
	}
	return rosemarysill.NewError(e.code, "test")
}

func (e entry) Submit(context.Context, queue.Call, func() (*work.Job, error)) error { return e.err() }

func (e entry) Cancel(context.Context, queue.Call) error { return e.err() }

func (e entry) StoreReachable() bool { return true }

// Guards against a request that is refused as not run at another entry, after
// the first entry did not learn whether its write took effect: the job ran, and
// its caller was told that the key is unknown. Found by the soak (seed 724).
func TestUncertainSubmissionIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		own, other             rosemarysill.Code
		submission, cancelling rosemarysill.Code
	}{
		"refused elsewhere":     {rosemarysill.OutcomeUnknown, rosemarysill.UnknownAccount, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"no such queue there":   {rosemarysill.OutcomeUnknown, rosemarysill.UnknownQueue, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"done elsewhere":        {rosemarysill.OutcomeUnknown, rosemarysill.Done, rosemarysill.Done, rosemarysill.Done},
		"no such job there":     {rosemarysill.OutcomeUnknown, rosemarysill.UnknownJob, rosemarysill.UnknownJob, rosemarysill.UnknownJob},
		"refused at both":       {rosemarysill.StoreUnavailable, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"unknown at both":       {rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"decided by the first":  {rosemarysill.UnknownAccount, rosemarysill.Done, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"store away everywhere": {rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			server := grpc.NewServer()
			relay.Register(server, entry{code: c.other})
			served := make(chan struct{})
			go func() { defer close(served); _ = server.Serve(l) }() // it ends with Stop
			defer func() { server.Stop(); <-served }()
			r := relay.New(relay.Config{
				Local: entry{code: c.own}, Log: zerolog.Nop(),
				Peers: func() []relay.Peer {
					return []relay.Peer{{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
				},
			})
			defer r.Close()
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			err = r.Submit(context.Background(), call, func() (*work.Job, error) { return &work.Job{}, nil })
			require.Equal(t, c.submission, rosemarysill.CodeOf(err))
			require.Equal(t, c.cancelling, rosemarysill.CodeOf(r.Cancel(context.Background(), call)))
		})
	}
}
