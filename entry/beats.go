package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// Heartbeat takes the reports of a heartbeat and answers with orders. It grants
// freshness and gang leases only while this entry has authority.
func (e *Entry) Heartbeat(_ context.Context, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	auth := e.members.Authority()
	reply := rosemarysill.HeartbeatReply{}
	for _, r := range b.Reports {
		orders, err := e.answerReport(r, auth)
		if err != nil {
			return rosemarysill.HeartbeatReply{}, err
		}
		reply.Orders = append(reply.Orders, orders)
	}
	for _, m := range auth.Members.Entries {
		reply.Entries = append(reply.Entries, m.Address)
	}
	return reply, nil
}

func (e *Entry) answerReport(r rosemarysill.AgentReport, auth rosemarysill.Authority) (rosemarysill.AgentOrders, error) {
	if !e.table.Admits(r.Name) {
		return rosemarysill.AgentOrders{}, rosemarysill.NewError(rosemarysill.Overloaded, "the table of agents is full")
	}
	now := e.opts.Now()
	accepted, appeared := e.table.Observe(r, now)
	if appeared {
		event.AgentAppeared.Log(e.opts.Log).Str("Agent", r.Name).Str("Boot", r.Boot.String()).Send()
	}
	if accepted && (r.HasTasks || appeared) {
		e.placer.Wake()
	}
	return e.orders(r, accepted, auth, e.members.Fenced, now), nil
}

// orders answers one report. A report that was not accepted is old: it is
// granted nothing, because its sender may have been replaced.
func (e *Entry) orders(r rosemarysill.AgentReport, accepted bool, auth rosemarysill.Authority, fenced func(uuid.UUID, int) bool, now time.Time) rosemarysill.AgentOrders {
	known, digest := e.table.Acknowledged(r.Name)
	o := rosemarysill.AgentOrders{Name: r.Name, SendIdentity: !known, AckedDigest: digest, Epoch: e.placer.EpochSeen()}
	o.Stamp = e.table.Stamp(now)
	if !accepted || !known {
		return o
	}
	v, _ := e.table.Agent(r.Name, now)
	o.Revision = auth.Config.Revision
	o.DomainOut = auth.Config.DomainOut(v.Identity.Domain)
	o.Drained = auth.Config.IsDrained(r.Name)
	if !auth.Valid(now) {
		return o
	}
	// The grant may outlast this entry's authority: bounded by it, a grant made
	// just before the next read of the store would end before the agent's next
	// heartbeat. An agent then acts on a configuration that is at most
	// StoreFresh + FreshFor old.
	o.FreshFor = e.opts.Timings.FreshFor
	// Only established entries are asked to honour a fence, so only they may
	// extend gang leases.
	if auth.Established {
		o.Leases = e.table.Leases(r.Name, fenced, now)
	}
	return o
}
