package peer

import (
	"encoding/json"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
)

// maxConfig is the largest value that the store holds.
const maxConfig = 1 << 20

var entryStates = enum[rosemarysill.MemberState, peerpb.EntryState]{
	{rosemarysill.Joining, peerpb.EntryState_ENTRY_STATE_JOINING},
	{rosemarysill.Established, peerpb.EntryState_ENTRY_STATE_ESTABLISHED},
}

func encodeMember(m rosemarysill.Member) *peerpb.EntryMember {
	return &peerpb.EntryMember{
		Id:      m.ID[:],
		Name:    m.Name,
		Address: encodeAddress(m.Address),
		State:   entryStates.encode(m.State),
	}
}

func decodeMember(d *decoder, m *peerpb.EntryMember) rosemarysill.Member {
	return rosemarysill.Member{
		ID:      d.uuid("Member.Id", m.GetId()),
		Name:    d.text("Member.Name", m.GetName()),
		Address: d.address("Member.Address", m.GetAddress()),
		State:   entryStates.decode(d, "Member.State", m.GetState()),
	}
}

func encodeConfirm(r rosemarysill.ConfirmRequest) *peerpb.ConfirmRequest {
	return &peerpb.ConfirmRequest{
		From:            encodeMember(r.From),
		ConfigRevision:  r.ConfigRevision,
		MembersRevision: r.MembersRevision,
		StoreContact:    r.StoreContact,
	}
}

func decodeConfirm(m *peerpb.ConfirmRequest) (rosemarysill.ConfirmRequest, error) {
	var d decoder
	r := rosemarysill.ConfirmRequest{
		From:            decodeMember(&d, m.GetFrom()),
		ConfigRevision:  m.GetConfigRevision(),
		MembersRevision: m.GetMembersRevision(),
		StoreContact:    m.GetStoreContact(),
	}
	return r, d.err()
}

func encodeConfirmReply(r rosemarysill.ConfirmReply) (*peerpb.ConfirmReply, error) {
	m := &peerpb.ConfirmReply{
		From:            r.From[:],
		ConfigRevision:  r.ConfigRevision,
		MembersRevision: r.MembersRevision,
		StoreContact:    r.StoreContact,
		PeerContact:     r.PeerContact,
		AuthoritativeMs: encodeMilliseconds(r.Authoritative),
	}
	if r.Config != nil {
		document, err := json.Marshal(r.Config)
		if err != nil {
			return nil, rosemarysill.NewError(rosemarysill.InternalError, "encode configuration: %v", err)
		}
		m.Config = document
	}
	if r.Members != nil {
		m.Members = &peerpb.EntryMembers{Revision: r.Members.Revision, WriteId: r.Members.WriteID[:]}
		for _, e := range r.Members.Entries {
			m.Members.Entries = append(m.Members.Entries, encodeMember(e))
		}
	}
	return m, nil
}

func decodeConfirmReply(m *peerpb.ConfirmReply) (rosemarysill.ConfirmReply, error) {
	var d decoder
	r := rosemarysill.ConfirmReply{
		From:            d.uuid("From", m.GetFrom()),
		ConfigRevision:  m.GetConfigRevision(),
		MembersRevision: m.GetMembersRevision(),
		StoreContact:    m.GetStoreContact(),
		PeerContact:     m.GetPeerContact(),
		Authoritative:   d.milliseconds(m.GetAuthoritativeMs()),
	}
	if n := len(m.GetConfig()); n > maxConfig {
		d.fault("Config", "%d bytes", n)
	} else if n > 0 {
		r.Config = &rosemarysill.Configuration{}
		if err := json.Unmarshal(m.GetConfig(), r.Config); err != nil {
			d.fault("Config", "%v", err)
		} else if r.Config.Revision != r.ConfigRevision {
			d.fault("Config", "revision %d in a reply about revision %d", r.Config.Revision, r.ConfigRevision)
		}
	}
	if list := m.GetMembers(); list != nil {
		r.Members = &rosemarysill.Members{Revision: list.GetRevision(), WriteID: d.uuid("Members.WriteId", list.GetWriteId())}
		if n := len(list.GetEntries()); n > maxEntries {
			d.fault("Members.Entries", "%d entries", n)
			return r, d.replyErr()
		}
		for _, e := range list.GetEntries() {
			r.Members.Entries = append(r.Members.Entries, decodeMember(&d, e))
		}
		if r.Members.Revision != r.MembersRevision {
			d.fault("Members", "revision %d in a reply about revision %d", r.Members.Revision, r.MembersRevision)
		}
	}
	return r, d.replyErr()
}

func encodeFence(r rosemarysill.FenceRequest) *peerpb.FenceRequest {
	return &peerpb.FenceRequest{From: r.From[:], Job: r.Job[:], Attempt: uint32(r.Attempt), Epoch: r.Epoch}
}

func decodeFence(m *peerpb.FenceRequest) (rosemarysill.FenceRequest, error) {
	var d decoder
	r := rosemarysill.FenceRequest{
		From:    d.uuid("From", m.GetFrom()),
		Job:     d.uuid("Job", m.GetJob()),
		Attempt: d.number("Attempt", m.GetAttempt()),
		Epoch:   m.GetEpoch(),
	}
	return r, d.err()
}

func encodeJoin(r rosemarysill.JoinRequest) *peerpb.JoinRequest {
	return &peerpb.JoinRequest{Member: encodeMember(r.Member)}
}

func decodeJoin(m *peerpb.JoinRequest) (rosemarysill.JoinRequest, error) {
	var d decoder
	r := rosemarysill.JoinRequest{Member: decodeMember(&d, m.GetMember())}
	return r, d.err()
}
