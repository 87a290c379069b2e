package membership

import (
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// StoreDeadline returns the end of the store contact: it needs a recent read
// and a recent contact mark. The mark bounds the contact of an entry that is
// being removed: its remover has taken the mark and waited this long.
func (s *State) StoreDeadline() time.Time {
	if s.readAt.IsZero() || s.markAt.IsZero() || s.leaving {
		return time.Time{}
	}
	return earlier(s.readAt.Add(s.Timings.StoreFresh), s.markAt.Add(MarkEvery(s.Timings)+s.Timings.StoreFresh))
}

// Authority returns what the entry may rely on. Until is the latest deadline
// of the three grounds.
func (s *State) Authority(now time.Time) rosemarysill.Authority {
	a := rosemarysill.Authority{Config: s.Config, Members: s.Members, Established: s.Established()}
	if s.leaving || !s.known {
		return a
	}
	a.StoreDeadline = s.StoreDeadline()
	contact := now.Before(a.StoreDeadline)
	a.StoreContact = contact && a.Established
	if contact {
		a.Until = a.StoreDeadline
	}
	a.Until = later(a.Until, s.peerDeadline())
	if !contact && a.Established {
		a.Until = later(a.Until, s.silenceDeadline())
	}
	return a
}

// peerDeadline returns the end of the authority through another entry. It is
// never longer than that entry's own. An established entry relies only on an
// entry with store contact; a joining one on any with authority.
func (s *State) peerDeadline() time.Time {
	var until time.Time
	for _, p := range s.peers {
		if p.configRevision < s.Config.Revision || p.membersRevision < s.Members.Revision {
			continue
		}
		if p.storeContact || !s.Established() {
			until = later(until, earlier(p.sent.Add(s.Timings.ConfirmFresh), p.authorityUntil))
		}
	}
	return until
}

// silenceDeadline returns the end of the authority in an outage of the store
// that all entries observe. The outage counts from the last contact mark,
// because a joining entry that waits for the end of this authority sees marks
// only.
func (s *State) silenceDeadline() time.Time {
	if s.markAt.IsZero() {
		return time.Time{}
	}
	until := s.markAt.Add(s.Timings.OutageGrace)
	for _, id := range s.required() {
		p := s.peers[id]
		if p == nil || p.sent.IsZero() || p.storeContact ||
			p.configRevision != s.Config.Revision || p.membersRevision != s.Members.Revision {
			return time.Time{}
		}
		until = earlier(until, p.sent.Add(s.Timings.ConfirmFresh))
	}
	return until
}

// required returns the entries whose confirmation silence needs: the other
// established ones and the joining ones that were acknowledged.
func (s *State) required() []uuid.UUID {
	var ids []uuid.UUID
	for _, m := range s.Members.Entries {
		if m.ID != s.Self.ID && (m.State == rosemarysill.Established || s.joiners[m.ID]) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Request returns the Confirm to send to the other entries.
func (s *State) Request(now time.Time) rosemarysill.ConfirmRequest {
	return rosemarysill.ConfirmRequest{
		From: s.Self, ConfigRevision: s.Config.Revision, MembersRevision: s.Members.Revision,
		StoreContact: now.Before(s.StoreDeadline()),
	}
}

// Confirm answers another entry. A request is a sign of life of its sender.
func (s *State) Confirm(r rosemarysill.ConfirmRequest, now time.Time) rosemarysill.ConfirmReply {
	if p, ok := s.peers[r.From.ID]; ok {
		p.heard = now
	}
	a := s.Authority(now)
	reply := rosemarysill.ConfirmReply{
		From: s.Self.ID, ConfigRevision: s.Config.Revision, MembersRevision: s.Members.Revision,
		StoreContact: now.Before(a.StoreDeadline),
		PeerContact:  now.Before(s.peerDeadline()) && !s.leaving,
	}
	// A peer with store contact hands on its contact only: its deadline is the
	// bound within which a change is seen.
	until := a.Until
	if reply.StoreContact {
		until = a.StoreDeadline
	}
	if now.Before(until) {
		reply.Authoritative = until.Sub(now)
	}
	if s.known && (r.ConfigRevision < s.Config.Revision || r.MembersRevision < s.Members.Revision) {
		cfg, list := s.Config, s.Members
		reply.Config, reply.Members = &cfg, &list
	}
	return reply
}

// Confirmed takes the reply to a Confirm that was sent at sent.
func (s *State) Confirmed(r rosemarysill.ConfirmReply, sent, now time.Time) {
	if r.Config != nil && r.Members != nil {
		s.adopt(*r.Config, *r.Members, now)
	}
	p, ok := s.peers[r.From]
	if !ok {
		return
	}
	p.heard = now
	if sent.Before(p.sent) {
		return
	}
	p.sent, p.storeContact = sent, r.StoreContact
	p.configRevision, p.membersRevision = r.ConfigRevision, r.MembersRevision
	p.authorityUntil = sent.Add(r.Authoritative)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
