package peer

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
)

// maxSlotAccelerators bounds the accelerators named by one slot.
const maxSlotAccelerators = 1024

func encodeSlot(s rosemarysill.Slot) *peerpb.Slot {
	m := &peerpb.Slot{Worker: s.Worker, Boot: s.Boot[:]}
	for _, a := range s.Accelerators {
		m.Accelerators = append(m.Accelerators, uint32(a))
	}
	return m
}

func decodeSlot(d *decoder, m *peerpb.Slot) rosemarysill.Slot {
	s := rosemarysill.Slot{Worker: d.text("Slot.Worker", m.GetWorker()), Boot: d.uuid("Slot.Boot", m.GetBoot())}
	if n := len(m.GetAccelerators()); n > maxSlotAccelerators {
		d.fault("Slot.Accelerators", "%d accelerators", n)
		return s
	}
	for _, a := range m.GetAccelerators() {
		s.Accelerators = append(s.Accelerators, d.number("Slot.Accelerators", a))
	}
	return s
}

func encodeSpec(s rosemarysill.JobSpec) *peerpb.Spec {
	return &peerpb.Spec{
		Id:         s.ID[:],
		Account:    s.Account,
		Class:      classes.encode(s.Class),
		Idempotent: s.Idempotent,
		Shape: &peerpb.Shape{
			Members:      uint32(s.Shape.Members),
			Accelerators: uint32(s.Shape.Accelerators),
			Processors:   uint32(s.Shape.Processors),
			MemoryMb:     uint32(s.Shape.MemoryMB),
			Adjacent:     s.Shape.Adjacent,
		},
		DeclaredSeconds: uint32(s.DeclaredSeconds),
		Body:            s.Body,
	}
}

func decodeSpec(d *decoder, m *peerpb.Spec) rosemarysill.JobSpec {
	shape := m.GetShape()
	return rosemarysill.JobSpec{
		ID:         d.uuid("Spec.Id", m.GetId()),
		Account:    d.text("Spec.Account", m.GetAccount()),
		Class:      classes.decode(d, "Spec.Class", m.GetClass()),
		Idempotent: m.GetIdempotent(),
		Shape: rosemarysill.Shape{
			Members:      d.number("Shape.Members", shape.GetMembers()),
			Accelerators: d.number("Shape.Accelerators", shape.GetAccelerators()),
			Processors:   d.number("Shape.Processors", shape.GetProcessors()),
			MemoryMB:     d.number("Shape.MemoryMb", shape.GetMemoryMb()),
			Adjacent:     shape.GetAdjacent(),
		},
		DeclaredSeconds: d.number("Spec.DeclaredSeconds", m.GetDeclaredSeconds()),
		Body:            m.GetBody(),
	}
}

func encodeReserve(r rosemarysill.ReserveRequest) *peerpb.ReserveRequest {
	return &peerpb.ReserveRequest{
		Spec:        encodeSpec(r.Spec),
		Attempt:     uint32(r.Attempt),
		Epoch:       r.Epoch,
		Member:      uint32(r.Member),
		Slot:        encodeSlot(r.Slot),
		Revision:    r.Revision,
		RemainingMs: encodeMilliseconds(r.Remaining),
		Checkpoint:  r.Checkpoint,
	}
}

func decodeReserve(m *peerpb.ReserveRequest) (rosemarysill.ReserveRequest, error) {
	var d decoder
	r := rosemarysill.ReserveRequest{
		Spec:       decodeSpec(&d, m.GetSpec()),
		Attempt:    d.number("Attempt", m.GetAttempt()),
		Epoch:      m.GetEpoch(),
		Member:     d.number("Member", m.GetMember()),
		Slot:       decodeSlot(&d, m.GetSlot()),
		Revision:   m.GetRevision(),
		Remaining:  d.milliseconds(m.GetRemainingMs()),
		Checkpoint: d.text("Checkpoint", m.GetCheckpoint()),
	}
	return r, d.err()
}

func encodeCommit(r rosemarysill.CommitRequest) *peerpb.CommitRequest {
	return &peerpb.CommitRequest{
		Job:     r.Job[:],
		Attempt: uint32(r.Attempt),
		Epoch:   r.Epoch,
		Member:  uint32(r.Member),
		LeaseMs: encodeMilliseconds(r.Lease),
	}
}

func decodeCommit(m *peerpb.CommitRequest) (rosemarysill.CommitRequest, error) {
	var d decoder
	r := rosemarysill.CommitRequest{
		Job:     d.uuid("Job", m.GetJob()),
		Attempt: d.number("Attempt", m.GetAttempt()),
		Epoch:   m.GetEpoch(),
		Member:  d.number("Member", m.GetMember()),
		Lease:   d.milliseconds(m.GetLeaseMs()),
	}
	return r, d.err()
}

func encodeStop(r rosemarysill.StopRequest) *peerpb.StopRequest {
	return &peerpb.StopRequest{
		Job:        r.Job[:],
		Attempt:    uint32(r.Attempt),
		Epoch:      r.Epoch,
		Member:     uint32(r.Member),
		Checkpoint: r.Checkpoint,
	}
}

func decodeStop(m *peerpb.StopRequest) (rosemarysill.StopRequest, error) {
	var d decoder
	r := rosemarysill.StopRequest{
		Job:        d.uuid("Job", m.GetJob()),
		Attempt:    d.number("Attempt", m.GetAttempt()),
		Epoch:      m.GetEpoch(),
		Member:     d.number("Member", m.GetMember()),
		Checkpoint: m.GetCheckpoint(),
	}
	return r, d.err()
}

func encodeStopReply(r rosemarysill.StopReply) *peerpb.StopReply {
	return &peerpb.StopReply{Boot: r.Boot[:], Stopped: r.Stopped, NeverStarted: r.NeverStarted, Checkpoint: r.Checkpoint}
}

func decodeStopReply(m *peerpb.StopReply) (rosemarysill.StopReply, error) {
	var d decoder
	r := rosemarysill.StopReply{
		Boot:         d.uuid("Boot", m.GetBoot()),
		Stopped:      m.GetStopped(),
		NeverStarted: m.GetNeverStarted(),
		Checkpoint:   clip(m.GetCheckpoint()),
	}
	return r, d.replyErr()
}
