package rosemarysill

import (
	"time"

	"github.com/google/uuid"
)

// Guarantee is capacity that a client account can claim at any time: Count
// gangs of one shape.
type Guarantee struct {
	Shape Shape
	Count int
}

// Account is a client account.
type Account struct {
	Name              string
	Guarantees        []Guarantee
	QuotaAccelerators int // the most that its running jobs may hold; 0 is no limit
}

// Domain is a failure domain in which work may run unless it is out.
type Domain struct {
	Name   string
	Region string
	Out    bool
}

// AppliedPlan records that a plan has taken effect.
type AppliedPlan struct {
	ID       uuid.UUID
	Revision uint64 // the configuration revision that it made
	Summary  string // the change in words, for operators whose plan is outdated
}

// Configuration is the operators' configuration, one document in the store
// under the key "config". Revision rises by one with each accepted change.
type Configuration struct {
	Revision uint64
	Accounts []Account
	Domains  []Domain
	Drained  []string // names of upstreams that receive no new work
	Applied  []AppliedPlan
	WriteID  uuid.UUID
}

// Account returns the account with the given name.
func (c *Configuration) Account(name string) (Account, bool) {
	for _, a := range c.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// DomainOut reports whether the failure domain is out or unknown.
func (c *Configuration) DomainOut(name string) bool {
	for _, d := range c.Domains {
		if d.Name == name {
			return d.Out
		}
	}
	return true
}

// IsDrained reports whether operators have drained the upstream.
func (c *Configuration) IsDrained(upstream string) bool {
	for _, name := range c.Drained {
		if name == upstream {
			return true
		}
	}
	return false
}

// IntentKind is what operators want to change.
type IntentKind string

// The kinds of intent.
const (
	TakeOut       IntentKind = "TakeOut"       // Target is a failure domain
	BringBack     IntentKind = "BringBack"     // Target is a failure domain
	Grant         IntentKind = "Grant"         // Target is a client account; Guarantees replace its own
	Drain         IntentKind = "Drain"         // Target is an upstream
	Undrain       IntentKind = "Undrain"       // Target is an upstream
	Declare       IntentKind = "Declare"       // Accounts and Domains are added or replaced by name
	RemoveEntries IntentKind = "RemoveEntries" // Target names entry identities, separated by commas
)

// Intent is a change that an operator asks for.
type Intent struct {
	Kind              IntentKind
	Target            string
	Guarantees        []Guarantee
	QuotaAccelerators int
	Accounts          []Account
	Domains           []Domain
}

// PlanEffect is one line of a plan: what happens to a job, an upstream or a
// guarantee.
type PlanEffect struct {
	Verb    string // Move, Stop, Wait, Short, Drain, Change
	Subject string
	Detail  string
}

// Plan is the answer to an intent. Nothing changes until it is confirmed, and
// it can be confirmed only while the configuration has its BaseRevision.
type Plan struct {
	ID           uuid.UUID
	Intent       Intent
	BaseRevision uint64
	Effects      []PlanEffect
	Expires      time.Time
}

// Confirmation is the answer to the confirmation of a plan.
type Confirmation struct {
	Plan     uuid.UUID
	Code     Code
	Detail   string
	Revision uint64   // the configuration revision in which the plan is in force
	Changes  []string // for PlanOutdated: what changed since the plan was made
}
