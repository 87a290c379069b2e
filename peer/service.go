package peer

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
)

type agentServer struct {
	peerpb.UnimplementedAgentServer
	agent rosemarysill.Agent
	now   func() time.Time
}

func (s *agentServer) Forward(ctx context.Context, m *peerpb.ForwardRequest) (*peerpb.Answer, error) {
	r, err := decodeForward(m, s.now())
	if err != nil {
		return nil, err
	}
	answer, err := s.agent.Forward(ctx, r)
	if err != nil {
		return nil, err
	}
	if n := len(answer.Body); n > MaxBody {
		return nil, rosemarysill.NewError(rosemarysill.AnswerTooLarge, "answer of %d bytes", n)
	}
	return encodeAnswer(answer), nil
}

func (s *agentServer) Reserve(ctx context.Context, m *peerpb.ReserveRequest) (*peerpb.Empty, error) {
	r, err := decodeReserve(m)
	if err != nil {
		return nil, err
	}
	return &peerpb.Empty{}, s.agent.Reserve(ctx, r)
}

func (s *agentServer) Commit(ctx context.Context, m *peerpb.CommitRequest) (*peerpb.Empty, error) {
	r, err := decodeCommit(m)
	if err != nil {
		return nil, err
	}
	return &peerpb.Empty{}, s.agent.Commit(ctx, r)
}

func (s *agentServer) Stop(ctx context.Context, m *peerpb.StopRequest) (*peerpb.StopReply, error) {
	r, err := decodeStop(m)
	if err != nil {
		return nil, err
	}
	reply, err := s.agent.Stop(ctx, r)
	if err != nil {
		return nil, err
	}
	return encodeStopReply(reply), nil
}

type entryServer struct {
	peerpb.UnimplementedEntryServer
	entry rosemarysill.HeartbeatReceiver
}

func (s *entryServer) Beat(ctx context.Context, m *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	b, err := decodeBeat(m)
	if err != nil {
		return nil, err
	}
	reply, err := s.entry.Heartbeat(ctx, b)
	if err != nil {
		return nil, err
	}
	return encodeBeatReply(reply, b), nil
}

type memberServer struct {
	peerpb.UnimplementedMemberServer
	peer rosemarysill.Peer
}

func (s *memberServer) Confirm(ctx context.Context, m *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	r, err := decodeConfirm(m)
	if err != nil {
		return nil, err
	}
	reply, err := s.peer.Confirm(ctx, r)
	if err != nil {
		return nil, err
	}
	return encodeConfirmReply(reply)
}

func (s *memberServer) Fence(ctx context.Context, m *peerpb.FenceRequest) (*peerpb.Empty, error) {
	r, err := decodeFence(m)
	if err != nil {
		return nil, err
	}
	return &peerpb.Empty{}, s.peer.Fence(ctx, r)
}

func (s *memberServer) Join(ctx context.Context, m *peerpb.JoinRequest) (*peerpb.Empty, error) {
	r, err := decodeJoin(m)
	if err != nil {
		return nil, err
	}
	return &peerpb.Empty{}, s.peer.Join(ctx, r)
}
