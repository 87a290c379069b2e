package entry

import (
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
)

// makePlan answers an intent.
func makePlan(in rosemarysill.Intent, cfg rosemarysill.Configuration, now time.Time, t rosemarysill.Timings) (rosemarysill.Plan, error) {
	return rosemarysill.Plan{ID: uuid.New(), Intent: in, BaseRevision: cfg.Revision, Expires: now.Add(t.PlanLife)}, nil
}

// applyPlan returns the configuration with the plan in force.
func applyPlan(cfg rosemarysill.Configuration, p rosemarysill.Plan) (rosemarysill.Configuration, rosemarysill.Confirmation) {
	if cfg.Revision != p.BaseRevision {
		return cfg, rosemarysill.Confirmation{Plan: p.ID, Code: rosemarysill.PlanOutdated, Revision: cfg.Revision}
	}
	switch p.Intent.Kind {
	case rosemarysill.Declare:
		cfg.Accounts, cfg.Domains = p.Intent.Accounts, p.Intent.Domains
	case rosemarysill.TakeOut, rosemarysill.BringBack:
		domains := append([]rosemarysill.Domain(nil), cfg.Domains...)
		for i := range domains {
			if domains[i].Name == p.Intent.Target {
				domains[i].Out = p.Intent.Kind == rosemarysill.TakeOut
			}
		}
		cfg.Domains = domains
	}
	cfg.Revision++
	return cfg, rosemarysill.Confirmation{Plan: p.ID, Code: rosemarysill.Done, Revision: cfg.Revision}
}
