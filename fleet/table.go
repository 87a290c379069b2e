// Package fleet is the table of agents that an entry keeps from their
// heartbeats.
package fleet

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/gang"
)

// forgetAfter is the silence after which an agent is dropped from the table.
// It is long, so that a worker of a failure domain that is out for an hour
// still counts when a shape is judged impossible.
const forgetAfter = time.Hour

// leaseShare is the part of a gang lease that passes before it is granted again:
// a quarter, so that two lost replies in a row do no harm. Granting with each
// reply would double the bytes of leases.
const leaseShare = 4

// retiredBoots bounds the remembered former boots of an agent.
const retiredBoots = 4

// agentState is what the last accepted heartbeat of an agent told.
type agentState struct {
	report   rosemarysill.AgentReport
	identity rosemarysill.AgentIdentity
	known    bool // identity has arrived
	tasks    []rosemarysill.TaskReport
	digest   uint64 // of tasks
	hasTasks bool
	lastBeat time.Time
	// saidAt is a time before which the last report was not made: the sending of
	// the reply that it echoes. A heartbeat may arrive late.
	saidAt  time.Time
	retired []uuid.UUID
	missing bool                  // reported as missing in the log
	granted map[gangKey]time.Time // last gang lease granted to the agent
}

// gangKey names an attempt of a job.
type gangKey struct {
	job     uuid.UUID
	attempt int
}

// memberSeen is the last report on one member of a gang.
type memberSeen struct {
	agent string
	task  rosemarysill.TaskReport
}

// Table holds the agents as their heartbeats describe them. It has no clock:
// callers pass the time.
type Table struct {
	mu     sync.Mutex
	t      rosemarysill.Timings
	limit  int       // agents
	base   uint64    // Stamp of start; random, so that stamps of another boot of an entry are not taken
	start  time.Time // of this entry
	agents map[string]*agentState
	gangs  map[gangKey]map[int]memberSeen
}

// New returns an empty table of at most limit agents for an entry that starts at
// start.
func New(t rosemarysill.Timings, limit int, start time.Time) *Table {
	return &Table{t: t, limit: limit, base: rand.Uint64(), start: start, agents: map[string]*agentState{}, gangs: map[gangKey]map[int]memberSeen{}}
}

// Stamp returns the stamp of a reply that is sent at now.
func (tb *Table) Stamp(now time.Time) uint64 {
	return tb.base + uint64(now.Sub(tb.start).Microseconds())
}

// stampedAt returns the time of a stamp, or the zero time when it is none of
// this boot's.
func (tb *Table) stampedAt(stamp uint64, now time.Time) time.Time {
	age := tb.Stamp(now) - stamp
	if age > uint64(now.Sub(tb.start).Microseconds()) {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Microsecond)
}

// Admits reports whether the table has room for the agent.
func (tb *Table) Admits(name string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	_, ok := tb.agents[name]
	return ok || len(tb.agents) < tb.limit
}

// Observe takes a report into the table. It returns false for a report that is
// older than what the table holds; such a report renews nothing.
func (tb *Table) Observe(r rosemarysill.AgentReport, now time.Time) (accepted, appeared bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	a, ok := tb.agents[r.Name]
	if !ok {
		a = &agentState{}
		tb.agents[r.Name] = a
	}
	if !a.accepts(r) {
		return false, false
	}
	if a.report.Boot != r.Boot {
		tb.startBoot(a, r.Boot)
	}
	if r.Identity != nil {
		appeared = !a.known
		a.identity, a.known = *r.Identity, true
	}
	a.report, a.lastBeat, a.missing = r, now, false
	a.saidAt = tb.stampedAt(r.Echo, now)
	if r.HasTasks {
		tb.setTasks(r.Name, a, r)
	}
	return true, appeared
}

// accepts reports whether the report is newer than the state. A former boot is
// never accepted again.
func (a *agentState) accepts(r rosemarysill.AgentReport) bool {
	if a.report.Boot == r.Boot {
		return r.Sequence > a.report.Sequence
	}
	for _, boot := range a.retired {
		if boot == r.Boot {
			return false
		}
	}
	return true
}

// startBoot forgets what belonged to the former boot: its tasks are gone.
func (tb *Table) startBoot(a *agentState, boot uuid.UUID) {
	if a.report.Boot != uuid.Nil {
		a.retired = append(a.retired, a.report.Boot)
		if len(a.retired) > retiredBoots {
			a.retired = a.retired[1:]
		}
	}
	tb.dropTasks(a)
	a.known, a.hasTasks, a.digest, a.granted = false, false, 0, nil
	a.report = rosemarysill.AgentReport{Boot: boot}
}

func (tb *Table) setTasks(name string, a *agentState, r rosemarysill.AgentReport) {
	tb.dropTasks(a)
	a.tasks, a.digest, a.hasTasks = r.Tasks, r.TasksDigest, true
	for _, task := range r.Tasks {
		k := gangKey{task.Job, task.Attempt}
		if tb.gangs[k] == nil {
			tb.gangs[k] = map[int]memberSeen{}
		}
		tb.gangs[k][task.Member] = memberSeen{agent: name, task: task}
	}
}

func (tb *Table) dropTasks(a *agentState) {
	for _, task := range a.tasks {
		k := gangKey{task.Job, task.Attempt}
		if seen, ok := tb.gangs[k][task.Member]; ok && seen.agent == a.report.Name {
			delete(tb.gangs[k], task.Member)
		}
		if len(tb.gangs[k]) == 0 {
			delete(tb.gangs, k)
		}
	}
	a.tasks = nil
}

// fresh reports whether the agent was heard within MemberFresh.
func (tb *Table) fresh(a *agentState, now time.Time) bool {
	return now.Sub(a.lastBeat) < tb.t.MemberFresh
}

// complete reports whether every member of the gang runs, or has finished
// well, by a report that its agent made within MemberFresh.
func (tb *Table) complete(k gangKey, members int, now time.Time) bool {
	var reports []rosemarysill.TaskReport
	for _, m := range tb.gangs[k] {
		// The report must have been made within MemberFresh, not only have
		// arrived: the agent may have died while its heartbeat was under way.
		if now.Sub(tb.agents[m.agent].saidAt) < tb.t.MemberFresh {
			reports = append(reports, m.task)
		}
	}
	return gang.MayRenew(members, k.attempt, reports)
}

// Leases returns the gang leases that the agent's running members may get.
func (tb *Table) Leases(name string, fenced func(uuid.UUID, int) bool, now time.Time) []rosemarysill.LeaseGrant {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	a, ok := tb.agents[name]
	if !ok {
		return nil
	}
	var grants []rosemarysill.LeaseGrant
	granted := map[gangKey]time.Time{}
	for _, task := range a.tasks {
		k := gangKey{task.Job, task.Attempt}
		if task.State != rosemarysill.TaskRunning || fenced(task.Job, task.Attempt) {
			continue
		}
		if last, ok := a.granted[k]; ok && now.Sub(last) < tb.t.GangLease/leaseShare {
			granted[k] = last
			continue
		}
		if tb.complete(k, task.Members, now) {
			granted[k] = now
			grants = append(grants, rosemarysill.LeaseGrant{Job: task.Job, Attempt: task.Attempt, Duration: tb.t.GangLease})
		}
	}
	a.granted = granted
	return grants
}

// Acknowledged returns whether the agent's identity is known and the digest of
// the tasks that the table holds.
func (tb *Table) Acknowledged(name string) (known bool, digest uint64) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	a, ok := tb.agents[name]
	if !ok {
		return false, 0
	}
	return a.known, a.digest
}

// sorted returns the states with a known identity of the given kind, by name.
func (tb *Table) sorted(kind rosemarysill.AgentKind) []*agentState {
	var out []*agentState
	for _, a := range tb.agents {
		if a.known && a.identity.Kind == kind {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].identity.Name < out[j].identity.Name })
	return out
}

// Upstreams returns the upstreams as the router needs them.
func (tb *Table) Upstreams(cfg *rosemarysill.Configuration) []rosemarysill.UpstreamState {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []rosemarysill.UpstreamState
	for _, a := range tb.sorted(rosemarysill.UpstreamAgent) {
		out = append(out, rosemarysill.UpstreamState{
			Identity:      a.identity,
			FreeSlots:     a.report.FreeSlots,
			Leaving:       a.report.Leaving,
			Drained:       cfg.IsDrained(a.identity.Name),
			DomainOut:     cfg.DomainOut(a.identity.Domain),
			LastHeartbeat: a.lastBeat,
		})
	}
	return out
}

// Workers returns the workers as a policy needs them, without regard to
// quarantine.
func (tb *Table) Workers(cfg *rosemarysill.Configuration, now time.Time) []rosemarysill.WorkerState {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []rosemarysill.WorkerState
	for _, a := range tb.sorted(rosemarysill.WorkerAgent) {
		usable := tb.fresh(a, now) && a.hasTasks && !a.report.Leaving && !cfg.DomainOut(a.identity.Domain)
		out = append(out, rosemarysill.WorkerState{Identity: a.identity, Usable: usable})
	}
	return out
}

// AnyDomainOut reports whether a slot is in a failure domain that is out.
func (tb *Table) AnyDomainOut(slots []rosemarysill.Slot, cfg *rosemarysill.Configuration) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, slot := range slots {
		if a, ok := tb.agents[slot.Worker]; ok && a.known && cfg.DomainOut(a.identity.Domain) {
			return true
		}
	}
	return false
}

// View is an agent as the placing loop needs it.
type View struct {
	Identity rosemarysill.AgentIdentity
	Fresh    bool // heard within MemberFresh
	Leaving  bool
	Revision uint64 // of the configuration that it has
	Tasks    []rosemarysill.TaskReport
}

// Agent returns the agent, or false when no identity is known for it.
func (tb *Table) Agent(name string, now time.Time) (View, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	a, ok := tb.agents[name]
	if !ok || !a.known {
		return View{}, false
	}
	return View{
		Identity: a.identity,
		Fresh:    tb.fresh(a, now),
		Leaving:  a.report.Leaving,
		Revision: a.report.Revision,
		Tasks:    a.tasks,
	}, true
}

// Views returns all agents with a known identity, by name.
func (tb *Table) Views(now time.Time) []View {
	tb.mu.Lock()
	names := make([]string, 0, len(tb.agents))
	for name := range tb.agents {
		names = append(names, name)
	}
	tb.mu.Unlock()
	sort.Strings(names)
	var out []View
	for _, name := range names {
		if v, ok := tb.Agent(name, now); ok {
			out = append(out, v)
		}
	}
	return out
}

// Sweep drops agents that have been silent for long and returns the names of
// those that have just gone missing.
func (tb *Table) Sweep(now time.Time) (missing []string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for name, a := range tb.agents {
		if now.Sub(a.lastBeat) > forgetAfter {
			tb.dropTasks(a)
			delete(tb.agents, name)
			continue
		}
		if !a.missing && !tb.fresh(a, now) {
			a.missing = true
			missing = append(missing, name)
		}
	}
	sort.Strings(missing)
	return missing
}
