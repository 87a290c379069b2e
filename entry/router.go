package entry

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/metric"
	"github.com/rosemarysill/rosemarysill/upstream"
)

// newRouter returns the router of calls over the table of agents.
func newRouter(e *Entry) *upstream.Router {
	limits := e.cfg.Calls
	limits.Dispatch.FreshFor = e.opts.Timings.MemberFresh
	return upstream.NewRouter(upstream.Sources{
		Authority: e.members.Authority,
		Upstreams: func() []rosemarysill.UpstreamState {
			auth := e.members.Authority()
			return e.table.Upstreams(&auth.Config)
		},
		Observe: func(c rosemarysill.Call, code rosemarysill.Code, queued, took time.Duration) {
			e.calls.Observe(c.Account, c.Class, code, queued, took)
		},
		Limits: &limits,
	}, e.optionList()...)
}

// routing returns the router's gauges and totals for the metrics.
func (e *Entry) routing() metric.Routing {
	c := e.router.Counts()
	return metric.Routing{
		Waiting: e.router.Waiting(), InProgress: e.router.InProgress(),
		Calls: c.Calls, Forwards: c.Forwards,
		RecordWrites: c.Records.Writes, RecordReads: c.Records.Reads,
		LeaseGrants: c.Records.Grants, RecordsDropped: c.Records.Dropped,
	}
}

// connections returns the sums of the counts of the entry's servers.
func connections(servers ...intake.Counts) metric.Connections {
	var c metric.Connections
	for _, s := range servers {
		c.Open += s.Open
		c.Replaced += s.Replaced
		c.Rejected += s.Rejected
		c.BodyBytes += s.Held
		c.BodiesDropped += s.Dropped
		c.BodiesLate += s.Late
		c.RequestsRefused += s.Busy
	}
	return c
}
