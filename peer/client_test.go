package peer

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	id1 = uuid.MustParse("0193a000-0000-7000-8000-000000000001")
	id2 = uuid.MustParse("0193a000-0000-7000-8000-000000000002")
)

func member() rosemarysill.Member {
	return rosemarysill.Member{ID: id1, Name: "e1", Address: netip.MustParseAddrPort("[::1]:7"), State: rosemarysill.Joining}
}

// TestMessagesArriveUnchanged guards against a field that is lost or changed on
// its way.
func TestMessagesArriveUnchanged(t *testing.T) {
	f := &fake{}
	l, address := listen(t)
	serve(t, f, l)
	c := connect(t, ClientsConfig{})
	ctx := context.Background()
	agent, err := c.Agent(address)
	require.NoError(t, err)
	entry, err := c.Entry(address)
	require.NoError(t, err)
	other, err := c.Peer(address)
	require.NoError(t, err)
	slot := rosemarysill.Slot{Worker: "w1", Boot: id2, Accelerators: []int{0, 3}}

	sent := map[string]any{
		"reserve": rosemarysill.ReserveRequest{
			Spec: rosemarysill.JobSpec{ID: id1, Account: "a", Class: rosemarysill.Batch, Idempotent: true, DeclaredSeconds: 5,
				Shape: rosemarysill.Shape{Members: 2, Accelerators: 2, Processors: 3, MemoryMB: 4, Adjacent: true}, Body: []byte("b")},
			Attempt: 2, Epoch: 3, Member: 1, Slot: slot, Revision: 9, Remaining: 3 * time.Second, Checkpoint: "c",
		},
		"commit":  rosemarysill.CommitRequest{Job: id1, Attempt: 2, Epoch: 3, Member: 1, Lease: 15 * time.Second},
		"stop":    rosemarysill.StopRequest{Job: id1, Attempt: 2, Epoch: 3, Member: 1, Checkpoint: true},
		"fence":   rosemarysill.FenceRequest{From: id2, Job: id1, Attempt: 2, Epoch: 3},
		"join":    rosemarysill.JoinRequest{Member: member()},
		"confirm": rosemarysill.ConfirmRequest{From: member(), ConfigRevision: 1, MembersRevision: 2, StoreContact: true},
		"beat": rosemarysill.Heartbeat{Reports: []rosemarysill.AgentReport{
			{Name: "u1", Boot: id1, Sequence: 1, Leaving: true, FreeSlots: 8, InProgress: 2, TasksDigest: 7, Revision: 4,
				Identity: &rosemarysill.AgentIdentity{Name: "u1", Boot: id1, Kind: rosemarysill.WorkerAgent, Address: address,
					Domain: "d", Rack: "r", Slots: 1, Accelerators: 8, Processors: 64, MemoryMB: 1000},
				HasTasks: true, Tasks: []rosemarysill.TaskReport{{Job: id2, Attempt: 1, Member: 0, Members: 2,
					State: rosemarysill.TaskDone, Slot: slot, Detail: "ok", Checkpoint: "c", Result: []byte("r")}}},
			{Name: "u2", Boot: id2, HasTasks: true},
		}},
	}
	send := map[string]func(any) error{
		"reserve": func(v any) error { return agent.Reserve(ctx, v.(rosemarysill.ReserveRequest)) },
		"commit":  func(v any) error { return agent.Commit(ctx, v.(rosemarysill.CommitRequest)) },
		"stop": func(v any) error {
			reply, err := agent.Stop(ctx, v.(rosemarysill.StopRequest))
			require.Equal(t, rosemarysill.StopReply{Boot: id2, Stopped: true, NeverStarted: true, Checkpoint: "c1"}, reply)
			return err
		},
		"fence": func(v any) error { return other.Fence(ctx, v.(rosemarysill.FenceRequest)) },
		"join":  func(v any) error { return other.Join(ctx, v.(rosemarysill.JoinRequest)) },
		"confirm": func(v any) error {
			f.confirm = rosemarysill.ConfirmReply{From: id2, ConfigRevision: 5, MembersRevision: 6, StoreContact: true, PeerContact: true,
				Authoritative: 2 * time.Second,
				Config:        &rosemarysill.Configuration{Revision: 5, Drained: []string{"u1"}, WriteID: id1},
				Members:       &rosemarysill.Members{Revision: 6, Entries: []rosemarysill.Member{member()}, WriteID: id2}}
			reply, err := other.Confirm(ctx, v.(rosemarysill.ConfirmRequest))
			require.Equal(t, f.confirm, reply)
			return err
		},
		"beat": func(v any) error {
			f.reply = rosemarysill.HeartbeatReply{
				Orders: []rosemarysill.AgentOrders{{Name: "u2", SendIdentity: true, AckedDigest: 7, Revision: 4, DomainOut: true, Drained: true,
					FreshFor: 5 * time.Second, Epoch: 6, Leases: []rosemarysill.LeaseGrant{{Job: id1, Attempt: 2, Duration: 15 * time.Second}}}},
				Entries: []netip.AddrPort{address, netip.MustParseAddrPort("[fd00::1]:9")},
			}
			reply, err := entry.Heartbeat(ctx, v.(rosemarysill.Heartbeat))
			require.Equal(t, f.reply, reply)
			return err
		},
	}
	for name, message := range sent {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, send[name](message))
			require.Equal(t, message, f.last)
		})
	}
}

// TestAnswerOfFullSize guards against a limit that cuts the largest answer.
func TestAnswerOfFullSize(t *testing.T) {
	f := &fake{}
	l, address := listen(t)
	serve(t, f, l)
	agent, err := connect(t, ClientsConfig{}).Agent(address)
	require.NoError(t, err)
	request := rosemarysill.ForwardRequest{Call: rosemarysill.Call{ID: id1, Class: rosemarysill.Urgent}, Remaining: time.Minute}

	body := bytes.Repeat([]byte{7}, MaxBody)
	f.forward = func(r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		return rosemarysill.Answer{ID: r.Call.ID, Upstream: "u1", Body: body}, nil
	}
	answer, err := agent.Forward(context.Background(), request)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, answer.Body))

	body = append(body, 7)
	_, err = agent.Forward(context.Background(), request)
	require.Equal(t, rosemarysill.AnswerTooLarge, rosemarysill.CodeOf(err))

	f.forward = func(rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		return rosemarysill.Answer{ID: id2}, nil
	}
	_, err = agent.Forward(context.Background(), request)
	require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err), "answer to another call")
}

// TestCallOfFullSize guards against a budget of messages that one call of the largest size
// exceeds, on the machine with the least memory.
func TestCallOfFullSize(t *testing.T) {
	f := &fake{}
	l, address := listen(t)
	serve(t, f, l)
	agent, err := connect(t, ClientsConfig{}).Agent(address)
	require.NoError(t, err)
	body := bytes.Repeat([]byte{7}, MaxBody)
	f.forward = func(r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		require.Len(t, r.Call.Body, MaxBody)
		return rosemarysill.Answer{ID: r.Call.ID, Upstream: "u1"}, nil
	}
	_, err = agent.Forward(context.Background(), rosemarysill.ForwardRequest{
		Call: rosemarysill.Call{ID: id1, Class: rosemarysill.Urgent, Body: body}, Remaining: time.Minute,
	})
	require.NoError(t, err)
}
