package worker

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Standing is what entries have told an agent about configuration and
// placement. Revision and Epoch never go back. The agents of upstreams and of
// workers use the same one.
type Standing struct {
	Revision   uint64
	FreshUntil time.Time // until when Revision counts as the newest
	DomainOut  bool
	Drained    bool
	Leaving    bool
	Epoch      uint64
}

// Obey takes in the orders of one entry. The freshness counts from sent, the
// time at which the heartbeat was sent, and is at most limit. An entry with an
// older revision grants no freshness and changes no flag. An entry that asks
// for the identity does not know the agent's domain yet; only its epoch counts.
func (s *Standing) Obey(o rosemarysill.AgentOrders, sent time.Time, limit time.Duration) {
	s.Epoch = max(s.Epoch, o.Epoch)
	if o.SendIdentity || o.Revision < s.Revision {
		return
	}
	s.Revision, s.DomainOut, s.Drained = o.Revision, o.DomainOut, o.Drained
	if fresh := sent.Add(min(o.FreshFor, limit)); o.FreshFor > 0 && fresh.After(s.FreshUntil) {
		s.FreshUntil = fresh
	}
}

// Refusal returns why new work is refused at now, or nil.
func (s *Standing) Refusal(now time.Time) error {
	switch {
	case s.Leaving:
		return rosemarysill.NewError(rosemarysill.Leaving, "takes no new work")
	case !now.Before(s.FreshUntil):
		return rosemarysill.NewError(rosemarysill.StaleConfiguration, "revision %d was last known to be the newest until %s",
			s.Revision, s.FreshUntil.Format(time.RFC3339Nano))
	case s.DomainOut:
		return rosemarysill.NewError(rosemarysill.DomainOut, "the failure domain is out in revision %d", s.Revision)
	default:
		return nil
	}
}
