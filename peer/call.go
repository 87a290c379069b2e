package peer

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
)

var classes = enum[rosemarysill.Class, peerpb.Class]{
	{rosemarysill.Urgent, peerpb.Class_CLASS_URGENT},
	{rosemarysill.Normal, peerpb.Class_CLASS_NORMAL},
	{rosemarysill.Batch, peerpb.Class_CLASS_BATCH},
}

func encodeForward(r rosemarysill.ForwardRequest) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Id:          r.Call.ID[:],
		Account:     r.Call.Account,
		Class:       classes.encode(r.Call.Class),
		Idempotent:  r.Call.Idempotent,
		Attempt:     uint32(r.Attempt),
		Revision:    r.Revision,
		RemainingMs: encodeMilliseconds(r.Remaining),
		Body:        r.Call.Body,
	}
}

// decodeForward sets the call's deadline from the time of receipt.
func decodeForward(m *peerpb.ForwardRequest, received time.Time) (rosemarysill.ForwardRequest, error) {
	var d decoder
	remaining := d.milliseconds(m.GetRemainingMs())
	r := rosemarysill.ForwardRequest{
		Call: rosemarysill.Call{
			ID:         d.uuid("Id", m.GetId()),
			Account:    d.text("Account", m.GetAccount()),
			Class:      classes.decode(&d, "Class", m.GetClass()),
			Idempotent: m.GetIdempotent(),
			Deadline:   received.Add(remaining),
			Body:       m.GetBody(),
		},
		Attempt:   d.number("Attempt", m.GetAttempt()),
		Revision:  m.GetRevision(),
		Remaining: remaining,
	}
	if len(r.Call.Body) > MaxBody {
		d.fault("Body", "%d bytes", len(r.Call.Body))
	}
	return r, d.err()
}

func encodeAnswer(a rosemarysill.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Id:       a.ID[:],
		Code:     int32(a.Code),
		Detail:   clip(a.Detail),
		Upstream: a.Upstream,
		Length:   uint64(len(a.Body)),
		Hash:     xxhash.Sum64(a.Body),
		Body:     a.Body,
	}
}

// decodeAnswer checks that the answer is whole and belongs to the call. A
// damaged answer leaves the outcome unknown, because the call ran.
func decodeAnswer(m *peerpb.Answer, call uuid.UUID) (rosemarysill.Answer, error) {
	if !bytes.Equal(m.GetId(), call[:]) {
		return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown,
			"answer to call %x arrived for call %s", m.GetId(), call)
	}
	if n := uint64(len(m.GetBody())); n != m.GetLength() {
		return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown,
			"answer to call %s has %d bytes of %d", call, n, m.GetLength())
	}
	if xxhash.Sum64(m.GetBody()) != m.GetHash() {
		return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown,
			"answer to call %s is damaged: hash differs", call)
	}
	return rosemarysill.Answer{
		ID:       call,
		Code:     rosemarysill.Code(m.GetCode()),
		Detail:   clip(m.GetDetail()),
		Upstream: m.GetUpstream(),
		Body:     m.GetBody(),
	}, nil
}
