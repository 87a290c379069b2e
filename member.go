package rosemarysill

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
)

// MemberState is the state of an entry in the list of entries.
type MemberState string

// The states of an entry.
const (
	Joining     MemberState = "Joining"
	Established MemberState = "Established"
)

// Member is an entry in the list of entries. ID is new for each boot.
type Member struct {
	ID      uuid.UUID
	Name    string
	Address netip.AddrPort
	State   MemberState
}

// Members is the list of entries, one document in the store under the key
// "members". Revision rises by one with each change.
type Members struct {
	Revision uint64
	Entries  []Member
	WriteID  uuid.UUID
}

// ConfirmRequest asks another entry to confirm that configuration and members
// are still the newest.
type ConfirmRequest struct {
	From            Member
	ConfigRevision  uint64
	MembersRevision uint64
	StoreContact    bool // whether the asking entry has store contact
}

// ConfirmReply is the answer. Config and Members are present when they are
// newer than those of the request.
type ConfirmReply struct {
	From            uuid.UUID
	ConfigRevision  uint64
	MembersRevision uint64
	StoreContact    bool
	PeerContact     bool // authoritative through an entry with store contact
	Authoritative   time.Duration
	Config          *Configuration
	Members         *Members
}

// FenceRequest asks an entry to grant no more lease to an attempt of a job.
type FenceRequest struct {
	From    uuid.UUID
	Job     uuid.UUID
	Attempt int
	Epoch   uint64
}

// JoinRequest tells an established entry that another one joins.
type JoinRequest struct {
	Member Member
}

// Peer is another entry.
type Peer interface {
	Confirm(ctx context.Context, r ConfirmRequest) (ConfirmReply, error)
	// Fence returns nil when the entry has acknowledged the fence.
	Fence(ctx context.Context, r FenceRequest) error
	// Join returns nil when the entry has acknowledged the new one and will
	// require its confirmation from now on.
	Join(ctx context.Context, r JoinRequest) error
}

// Peers is the set of connections to other entries.
type Peers interface {
	// Peer returns the entry at the address. The connection is shared.
	Peer(address netip.AddrPort) (Peer, error)
}

// Authority is what an entry may rely on at a moment.
type Authority struct {
	Until         time.Time // zero when the entry has none
	StoreContact  bool      // by store: starts and changes are allowed
	Config        Configuration
	Members       Members
	Established   bool
	StoreDeadline time.Time // end of the store contact
}

// Valid reports whether the entry has authority at now.
func (a Authority) Valid(now time.Time) bool { return now.Before(a.Until) }

// ByStore reports whether the entry has authority through the store at now.
func (a Authority) ByStore(now time.Time) bool {
	return a.StoreContact && now.Before(a.StoreDeadline)
}
