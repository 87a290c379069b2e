package entry

import (
	"github.com/rosemarysill/rosemarysill"
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
			return e.table.upstreams(&auth.Config)
		},
		Limits: &limits,
	}, e.optionList()...)
}
