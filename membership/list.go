package membership

import (
	"slices"
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// Mark is a contact mark seen in the store. Version 0 is a missing one.
type Mark struct {
	ID      uuid.UUID
	Value   string
	Version uint64
}

// ListChange is a write of the list that the state asks for. The marks in Take
// are taken over first, each at its version; the write is made only if all
// could be taken.
type ListChange struct {
	List    rosemarysill.Members
	Version uint64
	Take    []Mark
}

// AckJoin acknowledges the joining of another entry. From then on silence
// needs its confirmation. The joining entry must be in the known list, so that
// a later list without it proves that it was removed.
func (s *State) AckJoin(m rosemarysill.Member, now time.Time) error {
	if s.leaving {
		return rosemarysill.NewError(rosemarysill.ShuttingDown, "entry %s leaves", s.Self.Name)
	}
	if _, ok := s.member(m.ID); !ok {
		return rosemarysill.NewError(rosemarysill.NotAuthoritative, "entry %s is not in the list of revision %d", m.Name, s.Members.Revision)
	}
	s.joiners[m.ID] = true
	s.peer(m.ID, now).heard = now
	return nil
}

// ToJoin reports whether the established entry has yet to acknowledge the
// join, and the number of the join to hand to JoinAcked.
func (s *State) ToJoin(id uuid.UUID) (int, bool) {
	self, listed := s.member(s.Self.ID)
	other, ok := s.member(id)
	return s.joins, listed && self.State == rosemarysill.Joining &&
		ok && other.State == rosemarysill.Established && !s.acks[id]
}

// JoinAcked records that another entry acknowledged the join. An
// acknowledgement of an earlier join does not count.
func (s *State) JoinAcked(id uuid.UUID, join int) {
	if join == s.joins {
		s.acks[id] = true
	}
}

// suspects returns the listed entries that have not been heard of for
// ConfirmFresh and a margin.
func (s *State) suspects(now time.Time) []rosemarysill.Member {
	var all []rosemarysill.Member
	for _, m := range s.Members.Entries {
		p := s.peers[m.ID]
		if m.ID == s.Self.ID || p == nil || now.Before(p.heard.Add(s.Timings.ConfirmFresh+s.Timings.Margin)) {
			continue
		}
		all = append(all, m)
	}
	return all
}

// MarksNeeded reports whether the contact marks are to be listed: an entry is
// suspected.
func (s *State) MarksNeeded(now time.Time) bool { return len(s.suspects(now)) > 0 }

// MarksSeen takes the contact marks, as listed by a request answered at now.
// It returns those of entries that have been out of the list for OutageGrace,
// for deletion.
func (s *State) MarksSeen(marks []Mark, now time.Time) []Mark {
	seen, orphans := map[uuid.UUID]Mark{}, map[uuid.UUID]time.Time{}
	var garbage []Mark
	for _, m := range marks {
		seen[m.ID] = m
		if _, listed := s.member(m.ID); listed {
			continue
		}
		since, ok := s.orphans[m.ID]
		if !ok {
			since = now
		}
		orphans[m.ID] = since
		if !now.Before(since.Add(s.Timings.OutageGrace)) {
			garbage = append(garbage, m)
		}
	}
	s.orphans = orphans
	for id, p := range s.peers {
		m := seen[id]
		if p.markSince.IsZero() || m.Value != p.markValue || m.Version != p.markVer {
			p.markValue, p.markVer, p.markSince = m.Value, m.Version, now
		}
	}
	return garbage
}

// stale returns the suspects whose contact mark has not changed for so long
// that they have neither store contact nor, for a joining entry's eyes,
// authority by silence any more.
func (s *State) stale(now time.Time) []rosemarysill.Member {
	wait := MarkEvery(s.Timings) + s.Timings.StoreFresh + s.Timings.Margin
	if !s.Established() {
		wait = s.Timings.OutageGrace + s.Timings.Margin
	}
	return slices.DeleteFunc(s.suspects(now), func(m rosemarysill.Member) bool {
		since := s.peers[m.ID].markSince
		return since.IsZero() || now.Before(since.Add(wait))
	})
}

// ListChange returns the write of the list that is due, if any: this entry is
// missing or its mark was lost, it can be established, or others are removed.
// The write needs a list read from the store no longer than StoreFresh ago.
func (s *State) ListChange(now time.Time) (ListChange, bool) {
	if !s.known || s.leaving || s.readAt.IsZero() || !now.Before(s.readAt.Add(s.Timings.StoreFresh)) {
		return ListChange{}, false
	}
	stale := s.stale(now)
	c := ListChange{List: s.Members, Version: s.MembersVersion}
	c.List.Entries = slices.DeleteFunc(slices.Clone(s.Members.Entries), func(m rosemarysill.Member) bool {
		return slices.ContainsFunc(stale, func(x rosemarysill.Member) bool { return x.ID == m.ID })
	})
	for _, m := range stale {
		p := s.peers[m.ID]
		c.Take = append(c.Take, Mark{ID: m.ID, Value: p.markValue, Version: p.markVer})
	}
	due := len(stale) > 0 || !s.mayMark
	i := slices.IndexFunc(c.List.Entries, func(m rosemarysill.Member) bool { return m.ID == s.Self.ID })
	if i < 0 {
		i = len(c.List.Entries)
		self := s.Self
		self.State = rosemarysill.Joining
		c.List.Entries = append(c.List.Entries, self)
		due = true
	}
	if c.List.Entries[i].State == rosemarysill.Joining && s.mayEstablish(c.List.Entries) {
		c.List.Entries[i].State = rosemarysill.Established
		due = true
	}
	c.List.Revision++
	return c, due
}

// mayEstablish reports whether every established entry of the list has
// acknowledged the join.
func (s *State) mayEstablish(entries []rosemarysill.Member) bool {
	for _, m := range entries {
		if m.ID != s.Self.ID && m.State == rosemarysill.Established && !s.acks[m.ID] {
			return false
		}
	}
	return true
}

// Without returns the list without the given entries, at the next revision.
func (s *State) Without(ids []uuid.UUID) rosemarysill.Members {
	list := s.Members
	list.Entries = slices.DeleteFunc(slices.Clone(list.Entries), func(m rosemarysill.Member) bool {
		return slices.Contains(ids, m.ID)
	})
	list.Revision++
	return list
}

// Fence promises to grant no gang lease to the attempts of a job up to the
// given one. It fails when the promise cannot be kept.
func (s *State) Fence(r rosemarysill.FenceRequest, now time.Time) error {
	if r.Epoch < s.epoch {
		return rosemarysill.NewError(rosemarysill.StaleEpoch, "epoch %d is lower than %d", r.Epoch, s.epoch)
	}
	f, ok := s.fences[r.Job]
	if !ok && len(s.fences) >= MaxFences {
		for id, old := range s.fences {
			if !now.Before(old.until) {
				delete(s.fences, id)
			}
		}
		if len(s.fences) >= MaxFences {
			return rosemarysill.NewError(rosemarysill.Overloaded, "%d attempts are fenced", len(s.fences))
		}
	}
	s.epoch = r.Epoch
	s.fences[r.Job] = fence{attempt: max(f.attempt, r.Attempt), until: now.Add(FenceMemory(s.Timings))}
	return nil
}

// Fenced reports whether the entry must not grant a gang lease to the attempt.
// An entry that is not established grants none, because it is not asked for
// fences.
func (s *State) Fenced(job uuid.UUID, attempt int, now time.Time) bool {
	if !s.Established() || s.leaving || now.Before(s.grantAt) {
		return true
	}
	f, ok := s.fences[job]
	return ok && attempt <= f.attempt && now.Before(f.until)
}
