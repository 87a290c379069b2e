package plan

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// The verbs of effects.
const (
	Move   = "Move"   // a job stops with a checkpoint and continues elsewhere
	Stop   = "Stop"   // a job stops with a checkpoint and waits for capacity
	Wait   = "Wait"   // a job stays until it ends, because it cannot run again
	Short  = "Short"  // a guarantee would not fit
	Drain  = "Drain"  // an upstream finishes its calls and gets no new ones
	Change = "Change" // a part of the configuration or of the entries changes
)

// Make answers an intent on the configuration of the cluster state with a plan
// that has the given identity and can be confirmed until expires. It returns
// all faults of the intent as one error.
func Make(id uuid.UUID, in rosemarysill.Intent, s rosemarysill.ClusterState, upstreams []rosemarysill.UpstreamState,
	now, expires time.Time) (rosemarysill.Plan, error) {
	p := rosemarysill.Plan{ID: id, Intent: in, BaseRevision: s.Config.Revision, Expires: expires}
	if err := Check(in, s.Config); err != nil {
		return p, err
	}
	if in.Kind == rosemarysill.Drain && !announced(upstreams, in.Target) {
		return p, rosemarysill.NewError(rosemarysill.UnknownUpstream, "upstream %q has not announced itself", in.Target)
	}
	next := change(s.Config, in)
	p.Effects = changes(s.Config, in)
	switch in.Kind {
	case rosemarysill.TakeOut:
		p.Effects = append(p.Effects, moves(s, next, in.Target, now)...)
		for _, u := range upstreams {
			if u.Identity.Domain == in.Target {
				p.Effects = append(p.Effects, drained(u))
			}
		}
	case rosemarysill.Drain:
		for _, u := range upstreams {
			if u.Identity.Name == in.Target {
				p.Effects = append(p.Effects, drained(u))
			}
		}
	}
	switch in.Kind {
	case rosemarysill.TakeOut, rosemarysill.BringBack, rosemarysill.Grant, rosemarysill.Declare:
		p.Effects = append(p.Effects, shortages(s.Config, next, s.Workers)...)
	}
	return p, nil
}

func announced(upstreams []rosemarysill.UpstreamState, name string) bool {
	for _, u := range upstreams {
		if u.Identity.Name == name {
			return true
		}
	}
	return false
}

func drained(u rosemarysill.UpstreamState) rosemarysill.PlanEffect {
	return rosemarysill.PlanEffect{Verb: Drain, Subject: u.Identity.Name, Detail: fmt.Sprintf(
		"receives no new calls; %d of %d slots are busy", u.Identity.Slots-u.FreeSlots, u.Identity.Slots)}
}

// changes lists what the intent changes by itself.
func changes(cfg rosemarysill.Configuration, in rosemarysill.Intent) []rosemarysill.PlanEffect {
	var all []rosemarysill.PlanEffect
	add := func(subject, format string, args ...any) {
		all = append(all, rosemarysill.PlanEffect{Verb: Change, Subject: subject, Detail: fmt.Sprintf(format, args...)})
	}
	replaced := func(known bool) string {
		if known {
			return "replaced"
		}
		return "added"
	}
	switch in.Kind {
	case rosemarysill.TakeOut, rosemarysill.BringBack:
		if out := in.Kind == rosemarysill.TakeOut; cfg.DomainOut(in.Target) == out {
			add(in.Target, "no change: the failure domain is so already")
		} else {
			add(in.Target, "the failure domain changes by %s", in.Kind)
		}
	case rosemarysill.Grant:
		add(in.Target, "%d guarantees, quota of %d accelerators", len(in.Guarantees), in.QuotaAccelerators)
	case rosemarysill.Undrain:
		add(in.Target, "the upstream receives calls again")
	case rosemarysill.Declare:
		for _, a := range in.Accounts {
			_, known := cfg.Account(a.Name)
			add(a.Name, "account %s", replaced(known))
		}
		for _, d := range in.Domains {
			add(d.Name, "failure domain %s", replaced(hasDomain(cfg, d.Name)))
		}
	case rosemarysill.RemoveEntries:
		for _, name := range strings.Split(in.Target, ",") {
			add(strings.TrimSpace(name), "the entry is removed")
		}
	}
	return all
}

// moves lists what happens to the jobs in a failure domain that is taken out,
// by asking the placement policy where they would continue.
func moves(s rosemarysill.ClusterState, next rosemarysill.Configuration, domain string, now time.Time) []rosemarysill.PlanEffect {
	in := map[string]bool{}
	for _, w := range s.Workers {
		in[w.Identity.Name] = w.Identity.Domain == domain
	}
	after := s
	after.Config = next
	after.Workers = under(s.Config, next, s.Workers)
	after.Placed, after.Waiting = nil, nil
	var all []rosemarysill.PlanEffect
	var moved []rosemarysill.PlacedJob
	for _, j := range s.Placed {
		inside := false
		for _, slot := range j.Slots {
			inside = inside || in[slot.Worker]
		}
		switch {
		case !inside || j.Stopping:
			after.Placed = append(after.Placed, j)
		case !j.Spec.Idempotent:
			after.Placed = append(after.Placed, j)
			all = append(all, rosemarysill.PlanEffect{Verb: Wait, Subject: j.Spec.ID.String(), Detail: fmt.Sprintf(
				"job of account %s cannot run again and stays until it ends", j.Spec.Account)})
		default:
			moved = append(moved, j)
			after.Waiting = append(after.Waiting, rosemarysill.WaitingJob{Spec: j.Spec, Submitted: j.Started})
		}
	}
	d := placement.New().Decide(after, now)
	elsewhere := map[uuid.UUID]bool{}
	for _, placed := range d.Place {
		elsewhere[placed.Job] = true
	}
	for _, r := range d.Reclaim {
		elsewhere[r.For] = true
	}
	for _, j := range moved {
		e := rosemarysill.PlanEffect{Verb: Stop, Subject: j.Spec.ID.String(),
			Detail: fmt.Sprintf("job of account %s stops and waits for capacity", j.Spec.Account)}
		if elsewhere[j.Spec.ID] {
			e.Verb, e.Detail = Move, fmt.Sprintf("job of account %s continues elsewhere", j.Spec.Account)
		}
		all = append(all, e)
	}
	for _, r := range d.Reclaim {
		all = append(all, rosemarysill.PlanEffect{Verb: Stop, Subject: r.Job.String(), Detail: r.Reason})
	}
	return all
}

// shortages lists the guarantees that would be short, and those that would be
// short with one further failure domain out.
func shortages(cfg, next rosemarysill.Configuration, workers []rosemarysill.WorkerState) []rosemarysill.PlanEffect {
	usable := under(cfg, next, workers)
	short := placement.Shortages(next, usable)
	all := make([]rosemarysill.PlanEffect, 0, len(short))
	type key struct {
		account string
		shape   rosemarysill.Shape
	}
	now := map[key]int{}
	for _, s := range short {
		now[key{s.Account, s.Shape}] = s.Missing
		all = append(all, rosemarysill.PlanEffect{Verb: Short, Subject: s.Account, Detail: describe([]placement.Shortage{s})})
	}
	for _, d := range next.Domains {
		if d.Out {
			continue
		}
		without := append([]rosemarysill.WorkerState(nil), usable...)
		for i := range without {
			without[i].Usable = without[i].Usable && without[i].Identity.Domain != d.Name
		}
		for _, s := range placement.Shortages(next, without) {
			if s.Missing > now[key{s.Account, s.Shape}] {
				all = append(all, rosemarysill.PlanEffect{Verb: Short, Subject: s.Account, Detail: fmt.Sprintf(
					"with failure domain %s out as well: %s", d.Name, describe([]placement.Shortage{s}))})
			}
		}
	}
	return all
}

func describe(short []placement.Shortage) string {
	parts := make([]string, len(short))
	for i, s := range short {
		where := ""
		if s.Shape.Adjacent {
			where = " in one rack"
		}
		parts[i] = fmt.Sprintf("account %s lacks %d gangs of %d x (%d accelerators, %d processors, %d MB)%s", s.Account,
			s.Missing, s.Shape.Members, s.Shape.Accelerators, s.Shape.Processors, s.Shape.MemoryMB, where)
	}
	return strings.Join(parts, "; ")
}
