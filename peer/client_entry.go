package peer

import (
	"context"
	"net/netip"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"google.golang.org/grpc"
)

type entryClient struct {
	clients *Clients
	address netip.AddrPort
}

func (e *entryClient) Heartbeat(ctx context.Context, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	var m *peerpb.BeatReply
	err := e.clients.call(ctx, e.address, e.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		m, err = peerpb.NewEntryClient(conn).Beat(ctx, encodeBeat(b))
		return err
	})
	if err != nil {
		return rosemarysill.HeartbeatReply{}, err
	}
	return decodeBeatReply(m, b)
}

type peerClient struct {
	clients *Clients
	address netip.AddrPort
}

func (p *peerClient) Confirm(ctx context.Context, r rosemarysill.ConfirmRequest) (rosemarysill.ConfirmReply, error) {
	var m *peerpb.ConfirmReply
	err := p.clients.call(ctx, p.address, p.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		m, err = peerpb.NewMemberClient(conn).Confirm(ctx, encodeConfirm(r))
		return err
	})
	if err != nil {
		return rosemarysill.ConfirmReply{}, err
	}
	return decodeConfirmReply(m)
}

func (p *peerClient) Fence(ctx context.Context, r rosemarysill.FenceRequest) error {
	return p.clients.call(ctx, p.address, p.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewMemberClient(conn).Fence(ctx, encodeFence(r))
		return err
	})
}

func (p *peerClient) Join(ctx context.Context, r rosemarysill.JoinRequest) error {
	return p.clients.call(ctx, p.address, p.clients.cfg.CallWithin, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewMemberClient(conn).Join(ctx, encodeJoin(r))
		return err
	})
}
