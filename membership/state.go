// Package membership decides on what authority an entry acts, keeps the list
// of entries, and changes the configuration. State is the decision part: it
// uses no clock, network or random source. Membership is the loop around it.
package membership

import (
	"slices"
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// MaxFences bounds the attempts that an entry remembers as fenced.
const MaxFences = 4096

// State is what an entry knows about the store, the other entries and itself.
// It is not safe for concurrent use.
type State struct {
	Self    rosemarysill.Member
	Timings rosemarysill.Timings

	Config         rosemarysill.Configuration
	Members        rosemarysill.Members
	MembersVersion uint64 // of the list in the store, at the last read or write
	known          bool   // Config and Members have been read or received

	readAt time.Time // sending of the last successful read of config and members
	markAt time.Time // sending of the last successful write of the contact mark
	// mayMark allows writing the mark. It is false until this entry has
	// written the list itself since its mark was last found lost, so that a
	// removal in progress conflicts with that write.
	mayMark bool

	peers   map[uuid.UUID]*peer
	acks    map[uuid.UUID]bool      // entries that acknowledged our join
	joins   int                     // times that this entry was found missing in the list
	joiners map[uuid.UUID]bool      // joining entries that we acknowledged
	orphans map[uuid.UUID]time.Time // marks of entries out of the list, first seen

	fences  map[uuid.UUID]fence
	epoch   uint64    // highest of all fences
	grantAt time.Time // no gang lease is granted before
	settled time.Time // entries removed from the list have no authority from then on
	leaving bool
}

// peer is what is known about another entry.
type peer struct {
	heard time.Time // last exchange in either direction

	sent            time.Time // of the request that the last reply answers
	configRevision  uint64
	membersRevision uint64
	storeContact    bool
	authorityUntil  time.Time // of the peer, counted from sent

	markValue string
	markVer   uint64
	markSince time.Time // first seen with this value
}

// fence is a promise to grant no gang lease to the attempts of a job up to
// attempt.
type fence struct {
	attempt int
	until   time.Time
}

// NewState returns the state of an entry that knows nothing yet.
func NewState(self rosemarysill.Member, t rosemarysill.Timings) *State {
	self.State = rosemarysill.Joining
	return &State{
		Self: self, Timings: t,
		peers: map[uuid.UUID]*peer{}, acks: map[uuid.UUID]bool{}, joiners: map[uuid.UUID]bool{},
		fences: map[uuid.UUID]fence{},
	}
}

// MarkEvery is the time between writes of the contact mark. Ten entries write
// once a second together, and a dead entry is removed within about 15 s.
func MarkEvery(t rosemarysill.Timings) time.Duration { return 10 * t.ConfirmEvery }

// ReadEvery is the time between reads of config and members. One read may
// fail without loss of store contact.
func ReadEvery(t rosemarysill.Timings) time.Duration { return t.StoreFresh / 2 }

// FenceMemory is how long an entry honours a fence. The asking entry uses an
// acknowledgement only while the fence outlasts the leases granted before it.
func FenceMemory(t rosemarysill.Timings) time.Duration { return 40 * t.GangLease }

// Read takes the documents read from the store by requests sent at sent. It
// reports whether they count: documents older than those in memory do not.
func (s *State) Read(cfg rosemarysill.Configuration, list rosemarysill.Members, version uint64, sent, now time.Time) bool {
	if s.known && (cfg.Revision < s.Config.Revision || list.Revision < s.Members.Revision) {
		return false
	}
	s.adopt(cfg, list, now)
	s.MembersVersion = version
	if sent.After(s.readAt) {
		s.readAt = sent
	}
	return true
}

// adopt takes over newer documents.
func (s *State) adopt(cfg rosemarysill.Configuration, list rosemarysill.Members, now time.Time) {
	if !s.known || cfg.Revision > s.Config.Revision {
		s.Config = cfg
	}
	if !s.known || list.Revision > s.Members.Revision {
		s.setMembers(list, now)
	}
	s.known = true
}

func (s *State) setMembers(list rosemarysill.Members, now time.Time) {
	was, before := s.Established(), s.others()
	first := s.Members.Revision == 0
	s.Members = list
	present := map[uuid.UUID]bool{}
	for _, m := range list.Entries {
		present[m.ID] = true
		if m.ID != s.Self.ID {
			s.peer(m.ID, now)
		}
	}
	for id := range s.joiners {
		if !present[id] {
			delete(s.joiners, id)
		}
	}
	for id := range s.peers {
		if !present[id] {
			delete(s.peers, id)
		}
	}
	if first || slices.ContainsFunc(before, func(m rosemarysill.Member) bool { return !present[m.ID] }) {
		// A removed entry acts on confirmations and replies that it got from
		// entries with an older list, for as long as these are fresh.
		s.settled = now.Add(max(s.Timings.StoreFresh, s.Timings.ConfirmFresh) + s.Timings.Margin)
	}
	if !present[s.Self.ID] {
		// Acknowledgements of an earlier join do not bind their givers any more.
		clear(s.acks)
		s.joins++
	}
	s.Self.State = rosemarysill.Joining
	if m, ok := s.member(s.Self.ID); ok {
		s.Self.State = m.State
	}
	if s.Established() && !was && len(s.others()) > 0 {
		// A placing entry whose list is up to StoreFresh old may complete a
		// fence without asking this entry. A member may be started within
		// ReserveFor after that, and its lease lasts GangLease.
		s.grantAt = now.Add(s.Timings.StoreFresh + s.Timings.ReserveFor + s.Timings.GangLease + s.Timings.Margin)
	}
}

func (s *State) peer(id uuid.UUID, now time.Time) *peer {
	p, ok := s.peers[id]
	if !ok {
		p = &peer{heard: now}
		s.peers[id] = p
	}
	return p
}

func (s *State) member(id uuid.UUID) (rosemarysill.Member, bool) {
	for _, m := range s.Members.Entries {
		if m.ID == id {
			return m, true
		}
	}
	return rosemarysill.Member{}, false
}

// Established reports whether the newest known list has this entry as
// established.
func (s *State) Established() bool {
	m, ok := s.member(s.Self.ID)
	return ok && m.State == rosemarysill.Established
}

// others returns the other established entries.
func (s *State) others() []rosemarysill.Member {
	var all []rosemarysill.Member
	for _, m := range s.Members.Entries {
		if m.ID != s.Self.ID && m.State == rosemarysill.Established {
			all = append(all, m)
		}
	}
	return all
}

// Marked records a successful write of the contact mark.
func (s *State) Marked(sent time.Time) {
	if sent.After(s.markAt) {
		s.markAt = sent
	}
}

// MarkLost records that another entry has taken or removed the contact mark.
func (s *State) MarkLost() { s.mayMark = false }

// Settled returns the time from which entries that were removed from the list
// have no authority.
func (s *State) Settled() time.Time { return s.settled }

// MarkDue reports whether the contact mark is to be written.
func (s *State) MarkDue(now time.Time) bool {
	_, listed := s.member(s.Self.ID)
	return listed && s.mayMark && !s.leaving && !now.Before(s.markAt.Add(MarkEvery(s.Timings)-ReadEvery(s.Timings)/2))
}

// MembersWritten records that this entry's write of the list took effect.
func (s *State) MembersWritten(list rosemarysill.Members, version uint64, now time.Time) {
	if list.Revision >= s.Members.Revision {
		s.setMembers(list, now)
		s.MembersVersion = version
		s.known = true
	}
	s.mayMark = true
}

// ConfigRead takes over a configuration that this entry has read or written, if
// it is newer.
func (s *State) ConfigRead(cfg rosemarysill.Configuration) {
	if cfg.Revision > s.Config.Revision {
		s.Config = cfg
	}
}

// Leave ends all authority of this entry; it is about to end.
func (s *State) Leave() { s.leaving = true }
