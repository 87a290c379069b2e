package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"google.golang.org/grpc"
)

// answerMargin is the time that an answer may take on its way after the
// deadline of its call.
const answerMargin = time.Second

type agentClient struct {
	clients *Clients
	address netip.AddrPort
}

func (a *agentClient) Forward(ctx context.Context, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	if n := len(r.Call.Body); n > MaxBody {
		return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.TooLarge, "body of %d bytes", n)
	}
	var m *peerpb.Answer
	err := a.clients.call(ctx, a.address, r.Remaining+answerMargin, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		m, err = peerpb.NewAgentClient(conn).Forward(ctx, encodeForward(r))
		return err
	})
	if err != nil {
		return rosemarysill.Answer{}, err
	}
	return decodeAnswer(m, r.Call.ID)
}

func (a *agentClient) Reserve(ctx context.Context, r rosemarysill.ReserveRequest) error {
	if n := len(r.Spec.Body); n > MaxBody {
		return rosemarysill.NewError(rosemarysill.TooLarge, "body of %d bytes", n)
	}
	return a.clients.call(ctx, a.address, a.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewAgentClient(conn).Reserve(ctx, encodeReserve(r))
		return err
	})
}

func (a *agentClient) Commit(ctx context.Context, r rosemarysill.CommitRequest) error {
	return a.clients.call(ctx, a.address, a.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewAgentClient(conn).Commit(ctx, encodeCommit(r))
		return err
	})
}

func (a *agentClient) Stop(ctx context.Context, r rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	var m *peerpb.StopReply
	err := a.clients.call(ctx, a.address, a.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		m, err = peerpb.NewAgentClient(conn).Stop(ctx, encodeStop(r))
		return err
	})
	if err != nil {
		return rosemarysill.StopReply{}, err
	}
	return decodeStopReply(m)
}
