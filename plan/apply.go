package plan

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// Bounds of the configuration document.
const (
	maxApplied = 1024    // applied plans that are remembered
	maxBytes   = 1 << 20 // the largest value that the store holds
)

// Apply confirms a plan. Code Done means that the plan is in force in the
// returned configuration: in its new revision, which the caller still has to
// write, or for a plan that had been applied before in cfg itself. With any
// other code the configuration is cfg. The workers are those known now.
func Apply(cfg rosemarysill.Configuration, p rosemarysill.Plan, workers []rosemarysill.WorkerState,
	now time.Time) (rosemarysill.Configuration, rosemarysill.Confirmation) {
	c := rosemarysill.Confirmation{Plan: p.ID, Revision: cfg.Revision}
	for _, a := range cfg.Applied {
		if a.ID == p.ID {
			c.Revision, c.Detail = a.Revision, "the plan had been applied before"
			return cfg, c
		}
	}
	if !now.Before(p.Expires) {
		c.Code, c.Detail = rosemarysill.PlanExpired, fmt.Sprintf("the plan expired at %s", p.Expires.UTC().Format(time.RFC3339))
		return cfg, c
	}
	if cfg.Revision != p.BaseRevision {
		c.Code = rosemarysill.PlanOutdated
		c.Detail = fmt.Sprintf("the plan was made on revision %d, the configuration has revision %d", p.BaseRevision, cfg.Revision)
		c.Changes = changesSince(cfg, p.BaseRevision)
		return cfg, c
	}
	if err := Check(p.Intent, cfg); err != nil {
		c.Code, c.Detail = rosemarysill.CodeOf(err), rosemarysill.DetailOf(err)
		return cfg, c
	}
	next := change(cfg, p.Intent)
	if p.Intent.Kind == rosemarysill.Grant || p.Intent.Kind == rosemarysill.Declare {
		if short := worse(cfg, next, workers); len(short) > 0 {
			c.Code, c.Detail = rosemarysill.GuaranteeShort, describe(short)
			return cfg, c
		}
	}
	next.Revision = cfg.Revision + 1
	next.Applied = append(next.Applied, rosemarysill.AppliedPlan{ID: p.ID, Revision: next.Revision, Summary: Summary(p.Intent)})
	if n := len(next.Applied) - maxApplied; n > 0 {
		next.Applied = next.Applied[n:]
	}
	if b, err := json.Marshal(next); err != nil || len(b) > maxBytes {
		c.Code, c.Detail = rosemarysill.TooLarge, fmt.Sprintf("the configuration would exceed %d bytes", maxBytes)
		return cfg, c
	}
	c.Revision = next.Revision
	return next, c
}

// changesSince lists the plans that were applied after the revision.
func changesSince(cfg rosemarysill.Configuration, revision uint64) []string {
	var all []string
	known := cfg.Revision
	for _, a := range cfg.Applied {
		known = min(known, a.Revision-1)
		if a.Revision > revision {
			all = append(all, fmt.Sprintf("revision %d: %s", a.Revision, a.Summary))
		}
	}
	if known > revision {
		all = append([]string{fmt.Sprintf("changes up to revision %d are no longer listed", known)}, all...)
	}
	return all
}

// Summary describes an intent in a few words.
func Summary(in rosemarysill.Intent) string {
	if in.Kind != rosemarysill.Declare {
		return fmt.Sprintf("%s %s", in.Kind, in.Target)
	}
	return fmt.Sprintf("%s of %d accounts and %d failure domains", in.Kind, len(in.Accounts), len(in.Domains))
}

// change returns a copy of the configuration in which the intent is in force.
func change(cfg rosemarysill.Configuration, in rosemarysill.Intent) rosemarysill.Configuration {
	next := cfg
	next.Accounts = slices.Clone(cfg.Accounts)
	next.Domains = slices.Clone(cfg.Domains)
	next.Drained = slices.Clone(cfg.Drained)
	next.Applied = slices.Clone(cfg.Applied)
	switch in.Kind {
	case rosemarysill.TakeOut, rosemarysill.BringBack:
		for i := range next.Domains {
			if next.Domains[i].Name == in.Target {
				next.Domains[i].Out = in.Kind == rosemarysill.TakeOut
			}
		}
	case rosemarysill.Grant:
		for i := range next.Accounts {
			if next.Accounts[i].Name == in.Target {
				next.Accounts[i].Guarantees = slices.Clone(in.Guarantees)
				next.Accounts[i].QuotaAccelerators = in.QuotaAccelerators
			}
		}
	case rosemarysill.Drain:
		if !cfg.IsDrained(in.Target) {
			next.Drained = append(next.Drained, in.Target)
			sort.Strings(next.Drained)
		}
	case rosemarysill.Undrain:
		next.Drained = slices.DeleteFunc(next.Drained, func(name string) bool { return name == in.Target })
	case rosemarysill.Declare:
		declare(&next, in)
	}
	return next
}

// declare adds or replaces accounts and failure domains by name. A domain that
// is known stays in or out: only TakeOut and BringBack change that, because
// their plans show the effects.
func declare(next *rosemarysill.Configuration, in rosemarysill.Intent) {
	for _, a := range in.Accounts {
		a.Guarantees = slices.Clone(a.Guarantees)
		if i := slices.IndexFunc(next.Accounts, func(o rosemarysill.Account) bool { return o.Name == a.Name }); i >= 0 {
			next.Accounts[i] = a
		} else {
			next.Accounts = append(next.Accounts, a)
		}
	}
	for _, d := range in.Domains {
		if i := slices.IndexFunc(next.Domains, func(o rosemarysill.Domain) bool { return o.Name == d.Name }); i >= 0 {
			d.Out = next.Domains[i].Out
			next.Domains[i] = d
		} else {
			next.Domains = append(next.Domains, d)
		}
	}
}

// worse returns the guarantees of which more gangs would be short in next than
// are now. What is short already does not stop an unrelated change.
func worse(cfg, next rosemarysill.Configuration, workers []rosemarysill.WorkerState) []placement.Shortage {
	type key struct {
		account string
		shape   rosemarysill.Shape
	}
	now := map[key]int{}
	for _, s := range placement.Shortages(cfg, under(cfg, cfg, workers)) {
		now[key{s.Account, s.Shape}] = s.Missing
	}
	var more []placement.Shortage
	for _, s := range placement.Shortages(next, under(cfg, next, workers)) {
		if s.Missing > now[key{s.Account, s.Shape}] {
			more = append(more, s)
		}
	}
	return more
}

// under returns the workers as they would be usable under the next
// configuration. A worker whose domain comes back counts as usable.
func under(cfg, next rosemarysill.Configuration, workers []rosemarysill.WorkerState) []rosemarysill.WorkerState {
	all := slices.Clone(workers)
	for i := range all {
		d := all[i].Identity.Domain
		all[i].Usable = (all[i].Usable || cfg.DomainOut(d)) && !next.DomainOut(d)
	}
	return all
}
