package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/placement"
	"github.com/rosemarysill/rosemarysill/plan"
)

// planPrefix is the prefix of the store keys of plans.
const planPrefix = "plan/"

// Plan answers an intent with a plan and keeps it for confirmation.
func (e *Entry) Plan(ctx context.Context, in rosemarysill.Intent) (rosemarysill.Plan, error) {
	now := e.opts.Now()
	auth := e.members.Authority()
	// A joining entry has store contact too. It must answer RemoveEntries when
	// all other entries were lost.
	if !now.Before(auth.StoreDeadline) {
		return rosemarysill.Plan{}, rosemarysill.NewError(rosemarysill.StoreUnavailable, "a plan is made only while the store answers")
	}
	p, err := plan.Make(uuid.New(), in, e.placer.ClusterState(&auth.Config, now), e.table.Upstreams(&auth.Config), now, now.Add(e.opts.Timings.PlanLife))
	if err != nil {
		return rosemarysill.Plan{}, err
	}
	value, err := json.Marshal(p)
	if err != nil {
		return rosemarysill.Plan{}, rosemarysill.NewError(rosemarysill.InternalError, "encode plan: %v", err)
	}
	lease, err := e.opts.Store.Grant(ctx, e.opts.Timings.PlanLife)
	if err != nil {
		return rosemarysill.Plan{}, storeError(err)
	}
	if _, err := e.opts.Store.Swap(ctx, planPrefix+p.ID.String(), value, 0, lease); err != nil {
		return rosemarysill.Plan{}, storeError(err)
	}
	return p, nil
}

// LookUp returns a plan that can still be confirmed.
func (e *Entry) LookUp(ctx context.Context, id uuid.UUID) (rosemarysill.Plan, error) {
	item, err := e.opts.Store.Get(ctx, planPrefix+id.String())
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return rosemarysill.Plan{}, rosemarysill.NewError(rosemarysill.UnknownPlan, "no plan %s", id)
	}
	if err != nil {
		return rosemarysill.Plan{}, storeError(err)
	}
	var p rosemarysill.Plan
	if err := json.Unmarshal(item.Value, &p); err != nil {
		return rosemarysill.Plan{}, rosemarysill.NewError(rosemarysill.InternalError, "decode plan %s: %v", id, err)
	}
	return p, nil
}

// Confirm puts a plan into force by changing the configuration, once.
func (e *Entry) Confirm(ctx context.Context, id uuid.UUID) (rosemarysill.Confirmation, error) {
	p, err := e.LookUp(ctx, id)
	if err != nil {
		return rosemarysill.Confirmation{}, err
	}
	if auth := e.members.Authority(); p.Intent.Kind == rosemarysill.RemoveEntries && !auth.Established {
		return e.confirmJoining(ctx, p, auth.Config)
	}
	var answer rosemarysill.Confirmation
	_, err = e.members.Change(ctx, func(cfg rosemarysill.Configuration) (rosemarysill.Configuration, error) {
		next, c := plan.Apply(cfg, p, e.table.Workers(&cfg, e.opts.Now()), e.opts.Now())
		answer = c
		if next.Revision == cfg.Revision {
			return cfg, errUnchanged
		}
		return next, nil
	})
	if err != nil && !errors.Is(err, errUnchanged) {
		return rosemarysill.Confirmation{}, err
	}
	if answer.Code == rosemarysill.Done && p.Intent.Kind == rosemarysill.RemoveEntries {
		if err := e.removeEntries(ctx, p.Intent.Target); err != nil {
			return rosemarysill.Confirmation{}, err
		}
	}
	e.placer.Wake()
	return answer, nil
}

// confirmJoining removes entries from the list at an entry that is not
// established. It cannot record the plan in the configuration; removing an
// entry again has no effect.
func (e *Entry) confirmJoining(ctx context.Context, p rosemarysill.Plan, cfg rosemarysill.Configuration) (rosemarysill.Confirmation, error) {
	_, answer := plan.Apply(cfg, p, nil, e.opts.Now())
	if answer.Code != rosemarysill.Done {
		return answer, nil
	}
	answer.Revision = cfg.Revision
	return answer, e.removeEntries(ctx, p.Intent.Target)
}

// errUnchanged ends a change of the configuration that is not needed.
var errUnchanged = errors.New("configuration is unchanged")

func (e *Entry) removeEntries(ctx context.Context, target string) error {
	var ids []uuid.UUID
	for _, s := range strings.Split(target, ",") {
		id, err := uuid.Parse(strings.TrimSpace(s))
		if err != nil {
			return rosemarysill.NewError(rosemarysill.UnknownEntry, "%q is not an entry identity", s)
		}
		ids = append(ids, id)
	}
	return e.members.RemoveEntries(ctx, ids)
}

// Status describes the system as this entry sees it.
func (e *Entry) Status(context.Context) (rosemarysill.Status, error) {
	now := e.opts.Now()
	auth := e.members.Authority()
	epoch, places := e.holder.Held()
	s := rosemarysill.Status{
		Entry:           e.selfIn(auth.Members),
		Entries:         auth.Members.Entries,
		Authoritative:   auth.Valid(now),
		StoreContact:    auth.ByStore(now),
		IsPlacer:        places,
		Epoch:           max(epoch, e.placer.EpochSeen()),
		Revision:        auth.Config.Revision,
		Domains:         auth.Config.Domains,
		Drained:         auth.Config.Drained,
		Upstreams:       e.table.Upstreams(&auth.Config),
		Jobs:            map[rosemarysill.JobState]int{},
		WaitingCalls:    e.router.Waiting(),
		CallsInProgress: e.router.InProgress(),
	}
	state := e.placer.ClusterState(&auth.Config, now)
	s.Workers = state.Workers
	s.FreeAccelerators, s.LargestFreeBlock = freeCapacity(state)
	jobs, _ := e.book.All()
	for _, j := range jobs {
		s.Jobs[j.Job.State]++
	}
	s.Accounts = accountStatus(auth.Config, jobs, placement.Shortages(auth.Config, state.Workers))
	s.AgentsAtRevision, s.AgentsBehind = e.revisions(auth.Config.Revision, now)
	return s, nil
}

// selfIn returns this entry as the list has it.
func (e *Entry) selfIn(list rosemarysill.Members) rosemarysill.Member {
	for _, m := range list.Entries {
		if m.ID == e.self.ID {
			return m
		}
	}
	return e.self
}

// revisions counts the agents that have the revision and names those that do
// not.
func (e *Entry) revisions(revision uint64, now time.Time) (at int, behind []string) {
	for _, v := range e.table.Views(now) {
		switch {
		case v.Fresh && v.Revision >= revision:
			at++
		case v.Fresh:
			behind = append(behind, v.Identity.Name)
		}
	}
	return at, behind
}

// freeCapacity returns the free accelerators on usable workers and the most
// that are free in one rack.
func freeCapacity(s rosemarysill.ClusterState) (total, largest int) {
	used := map[string]int{}
	for _, p := range s.Placed {
		for _, slot := range p.Slots {
			used[slot.Worker] += len(slot.Accelerators)
		}
	}
	racks := map[string]int{}
	for _, w := range s.Workers {
		if !w.Usable {
			continue
		}
		free := w.Identity.Accelerators - used[w.Identity.Name]
		total += free
		racks[w.Identity.Domain+"/"+w.Identity.Rack] += free
	}
	for _, free := range racks {
		largest = max(largest, free)
	}
	return total, largest
}

// accountStatus sums the jobs by client account and names the guarantees that
// the usable workers could not hold.
func accountStatus(cfg rosemarysill.Configuration, jobs []job.Stored, short []placement.Shortage) []rosemarysill.AccountStatus {
	byName := map[string]*rosemarysill.AccountStatus{}
	for _, a := range cfg.Accounts {
		st := &rosemarysill.AccountStatus{Name: a.Name}
		for _, g := range a.Guarantees {
			st.GuaranteedAccelerators += g.Count * g.Shape.TotalAccelerators()
		}
		byName[a.Name] = st
	}
	for _, j := range jobs {
		st, ok := byName[j.Job.Spec.Account]
		if !ok {
			continue
		}
		switch j.Job.State {
		case rosemarysill.JobQueued:
			st.WaitingJobs++
		case rosemarysill.JobStarting, rosemarysill.JobRunning, rosemarysill.JobStopping:
			st.RunningJobs++
			st.UsedAccelerators += j.Job.Spec.Shape.TotalAccelerators()
		}
	}
	for _, sh := range short {
		if st, ok := byName[sh.Account]; ok {
			st.UnmetGuarantees = append(st.UnmetGuarantees, fmt.Sprintf("%d gangs of %d x %d accelerators", sh.Missing, sh.Shape.Members, sh.Shape.Accelerators))
		}
	}
	var out []rosemarysill.AccountStatus
	for _, st := range byName {
		out = append(out, *st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
