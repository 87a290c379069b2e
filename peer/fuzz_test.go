package peer

import (
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// FuzzDecode guards against bytes from the network that stop the process, and
// against values that do not survive being sent on.
func FuzzDecode(f *testing.F) {
	reply := steadyReply(2)
	reply.Orders[0].Name = "worker-0001"
	confirm, err := encodeConfirmReply(rosemarysill.ConfirmReply{ConfigRevision: 1, Config: &rosemarysill.Configuration{Revision: 1}})
	require.NoError(f, err)
	for _, seed := range []proto.Message{
		encodeForward(forward(time.Second)),
		encodeReserve(rosemarysill.ReserveRequest{Spec: rosemarysill.JobSpec{ID: id1, Class: rosemarysill.Batch}, Slot: rosemarysill.Slot{Accelerators: []int{1}}}),
		encodeCommit(rosemarysill.CommitRequest{Job: id1, Attempt: -1}),
		encodeStop(rosemarysill.StopRequest{Job: id1}),
		encodeBeat(steadyBeat(1, 1)),
		encodeBeatReply(reply, steadyBeat(1, 1)),
		confirm,
		encodeConfirm(rosemarysill.ConfirmRequest{From: member()}),
		encodeJoin(rosemarysill.JoinRequest{Member: member()}),
		encodeFence(rosemarysill.FenceRequest{From: id1, Job: id2}),
		encodeAnswer(rosemarysill.Answer{ID: id1, Body: []byte("a")}),
	} {
		wire, err := proto.Marshal(seed)
		require.NoError(f, err)
		f.Add(wire)
	}
	f.Fuzz(func(t *testing.T, wire []byte) {
		now := time.Unix(0, 0)
		again(t, wire, &peerpb.ForwardRequest{}, func(m *peerpb.ForwardRequest) (rosemarysill.ForwardRequest, error) { return decodeForward(m, now) }, encodeForward)
		again(t, wire, &peerpb.ReserveRequest{}, decodeReserve, encodeReserve)
		again(t, wire, &peerpb.CommitRequest{}, decodeCommit, encodeCommit)
		again(t, wire, &peerpb.StopRequest{}, decodeStop, encodeStop)
		again(t, wire, &peerpb.BeatRequest{}, decodeBeat, encodeBeat)
		again(t, wire, &peerpb.ConfirmRequest{}, decodeConfirm, encodeConfirm)
		again(t, wire, &peerpb.FenceRequest{}, decodeFence, encodeFence)
		again(t, wire, &peerpb.JoinRequest{}, decodeJoin, encodeJoin)
		beat := steadyBeat(1, 1)
		again(t, wire, &peerpb.BeatReply{},
			func(m *peerpb.BeatReply) (rosemarysill.HeartbeatReply, error) { return decodeBeatReply(m, beat) },
			func(r rosemarysill.HeartbeatReply) *peerpb.BeatReply { return encodeBeatReply(r, beat) })
		var m peerpb.ConfirmReply
		if proto.Unmarshal(wire, &m) == nil {
			_, _ = decodeConfirmReply(&m)
		}
		var answer peerpb.Answer
		if proto.Unmarshal(wire, &answer) == nil {
			_, _ = decodeAnswer(&answer, id1)
		}
	})
}

// again decodes wire and requires that an accepted message is decoded to the
// same value after it was encoded again.
func again[M proto.Message, V any](t *testing.T, wire []byte, m M, decode func(M) (V, error), encode func(V) M) {
	if proto.Unmarshal(wire, m) != nil {
		return
	}
	v, err := decode(m)
	if err != nil {
		return
	}
	second, err := decode(encode(v))
	require.NoError(t, err)
	require.Equal(t, v, second)
}
