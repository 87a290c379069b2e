package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/plan"
)

var (
	now   = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	until = now.Add(10 * time.Minute)
	rack  = rosemarysill.Shape{Members: 3, Accelerators: 8, Adjacent: true}
	one   = rosemarysill.Shape{Members: 1, Accelerators: 8}
)

// state returns four failure domains with a rack of three workers each and the
// given jobs in the first one.
func state(jobs ...rosemarysill.PlacedJob) rosemarysill.ClusterState {
	var s rosemarysill.ClusterState
	s.Config.Revision = 7
	s.Config.Accounts = []rosemarysill.Account{
		{Name: "a", Guarantees: []rosemarysill.Guarantee{{Shape: rack, Count: 3}}}, {Name: "b"},
	}
	for i := range 12 {
		d := fmt.Sprintf("d%d", i/3)
		if i%3 == 0 {
			s.Config.Domains = append(s.Config.Domains, rosemarysill.Domain{Name: d})
		}
		s.Workers = append(s.Workers, rosemarysill.WorkerState{Usable: true, Identity: rosemarysill.AgentIdentity{
			Name: fmt.Sprintf("w%02d", i), Domain: d, Rack: d, Accelerators: 8, Processors: 32, MemoryMB: 64 << 10,
		}})
	}
	for i := range jobs {
		jobs[i].Spec.ID = uuid.UUID{0: 9, 15: byte(i)}
		jobs[i].Started = now
		jobs[i].Slots = []rosemarysill.Slot{{Worker: fmt.Sprintf("w%02d", i), Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}}
	}
	s.Placed = jobs
	return s
}

func takeOut(domain string) rosemarysill.Intent {
	return rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: domain}
}

func grant(count int) rosemarysill.Intent {
	return rosemarysill.Intent{Kind: rosemarysill.Grant, Target: "b",
		Guarantees: []rosemarysill.Guarantee{{Shape: rack, Count: count}}}
}

func verbs(p rosemarysill.Plan) map[string]int {
	n := map[string]int{}
	for _, e := range p.Effects {
		n[e.Verb]++
	}
	return n
}

// Guards against a plan that hides what happens to running jobs, upstreams and
// guarantees.
func TestMakeEffects(t *testing.T) {
	job := func(account string, idempotent bool) rosemarysill.PlacedJob {
		return rosemarysill.PlacedJob{Spec: rosemarysill.JobSpec{Account: account, Class: rosemarysill.Normal, Idempotent: idempotent, Shape: one}}
	}
	busy := func() []rosemarysill.PlacedJob { // fills all twelve workers
		var all []rosemarysill.PlacedJob
		for range 12 {
			all = append(all, job("b", true))
		}
		return all
	}
	tests := map[string]struct {
		jobs   []rosemarysill.PlacedJob
		intent rosemarysill.Intent
		verbs  map[string]int
	}{
		"jobs move":             {jobs: []rosemarysill.PlacedJob{job("b", true), job("b", false)}, intent: takeOut("d0"), verbs: map[string]int{plan.Change: 1, plan.Move: 1, plan.Wait: 1, plan.Drain: 1, plan.Short: 3}},
		"no capacity elsewhere": {jobs: busy(), intent: takeOut("d0"), verbs: map[string]int{plan.Change: 1, plan.Stop: 3, plan.Drain: 1, plan.Short: 3}},
		"grant that fits":       {intent: grant(1), verbs: map[string]int{plan.Change: 1, plan.Short: 4}},
		"grant that does not":   {intent: grant(2), verbs: map[string]int{plan.Change: 1, plan.Short: 5}},
		"drain":                 {intent: rosemarysill.Intent{Kind: rosemarysill.Drain, Target: "u0"}, verbs: map[string]int{plan.Drain: 1}},
		"remove entries":        {intent: rosemarysill.Intent{Kind: rosemarysill.RemoveEntries, Target: uuid.Nil.String() + ", " + uuid.Max.String()}, verbs: map[string]int{plan.Change: 2}},
		"declare":               {intent: rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "b"}, {Name: "c"}}}, verbs: map[string]int{plan.Change: 2}},
	}
	upstreams := []rosemarysill.UpstreamState{
		{Identity: rosemarysill.AgentIdentity{Name: "u0", Domain: "d0", Slots: 8}, FreeSlots: 5},
		{Identity: rosemarysill.AgentIdentity{Name: "u1", Domain: "d1", Slots: 8}, FreeSlots: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := plan.Make(uuid.UUID{1}, tt.intent, state(tt.jobs...), upstreams, now, until)
			require.NoError(t, err)
			require.Equal(t, tt.verbs, verbs(p), "%v", p.Effects)
			require.Equal(t, uint64(7), p.BaseRevision)
		})
	}
}

// Guards against faults of a document that are reported one at a time, or with
// the wrong code.
func TestMakeFaults(t *testing.T) {
	bad := rosemarysill.Guarantee{Shape: rosemarysill.Shape{Members: 0, Accelerators: 1}}
	tests := map[string]struct {
		intent rosemarysill.Intent
		code   rosemarysill.Code
		parts  []string
	}{
		"unknown domain":       {intent: takeOut("d9"), code: rosemarysill.UnknownDomain},
		"unknown account":      {intent: rosemarysill.Intent{Kind: rosemarysill.Grant, Target: "x"}, code: rosemarysill.UnknownAccount},
		"unknown upstream":     {intent: rosemarysill.Intent{Kind: rosemarysill.Drain, Target: "u9"}, code: rosemarysill.UnknownUpstream},
		"upstream not drained": {intent: rosemarysill.Intent{Kind: rosemarysill.Undrain, Target: "u0"}, code: rosemarysill.UnknownUpstream},
		"not an entry":         {intent: rosemarysill.Intent{Kind: rosemarysill.RemoveEntries, Target: "entry-1"}, code: rosemarysill.UnknownEntry},
		"unknown kind":         {intent: rosemarysill.Intent{Kind: "Explode"}, code: rosemarysill.InvalidArguments},
		"empty document":       {intent: rosemarysill.Intent{Kind: rosemarysill.Declare}, code: rosemarysill.InvalidSettings},
		"all faults": {intent: rosemarysill.Intent{Kind: rosemarysill.Declare,
			Accounts: []rosemarysill.Account{{Name: "x", QuotaAccelerators: -1}, {Name: "x", Guarantees: []rosemarysill.Guarantee{bad, bad}},
				{Name: "y", QuotaAccelerators: 2, Guarantees: []rosemarysill.Guarantee{{Shape: rack, Count: 1}}}},
			Domains: []rosemarysill.Domain{{Name: "d"}, {Name: "d"}, {}},
		}, code: rosemarysill.InvalidSettings, parts: []string{"QuotaAccelerators is negative", "Accounts[1] x: declared twice",
			"Guarantees[0]: the shape needs", "Guarantees[1]: Count", "granted twice", "24 guaranteed accelerators exceed",
			"Domains[1] d: declared twice", "Domains[2]: Name is empty"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := plan.Make(uuid.UUID{1}, tt.intent, state(), nil, now, until)
			require.Equal(t, tt.code, rosemarysill.CodeOf(err))
			for _, part := range tt.parts {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

// Guards against a plan that takes effect twice, on a configuration that it was
// not made for, too late, or at the cost of a guarantee.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		intent rosemarysill.Intent
		change func(p *rosemarysill.Plan)
		code   rosemarysill.Code
	}{
		"in force":               {intent: takeOut("d0")},
		"expired":                {intent: takeOut("d0"), change: func(p *rosemarysill.Plan) { p.Expires = now }, code: rosemarysill.PlanExpired},
		"outdated":               {intent: takeOut("d0"), change: func(p *rosemarysill.Plan) { p.BaseRevision = 6 }, code: rosemarysill.PlanOutdated},
		"grant fits":             {intent: grant(1)},
		"grant does not fit":     {intent: grant(2), code: rosemarysill.GuaranteeShort},
		"declared does not fit":  {intent: rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "c", Guarantees: grant(2).Guarantees}}}, code: rosemarysill.GuaranteeShort},
		"altered after planning": {intent: takeOut("d0"), change: func(p *rosemarysill.Plan) { p.Intent.Target = "d9" }, code: rosemarysill.UnknownDomain},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := state()
			p, err := plan.Make(uuid.UUID{1}, tt.intent, s, nil, now, until)
			require.NoError(t, err)
			if tt.change != nil {
				tt.change(&p)
			}
			next, c := plan.Apply(s.Config, p, s.Workers, now)
			require.Equal(t, tt.code, c.Code, c.Detail)
			if tt.code != rosemarysill.Done {
				require.Equal(t, s.Config, next)
				return
			}
			require.Equal(t, uint64(8), next.Revision)
			require.Equal(t, uint64(8), c.Revision)
			require.Equal(t, state().Config, s.Config, "the old configuration is not written to")
		})
	}
}

// Guards against two operators overwriting each other, and against a repeated
// confirmation that undoes a later change.
func TestApplyRace(t *testing.T) {
	s := state()
	out, err := plan.Make(uuid.UUID{1}, takeOut("d0"), s, nil, now, until)
	require.NoError(t, err)
	other, err := plan.Make(uuid.UUID{2}, takeOut("d1"), s, nil, now, until)
	require.NoError(t, err)

	cfg, c := plan.Apply(s.Config, out, s.Workers, now)
	require.Equal(t, rosemarysill.Done, c.Code)
	_, c = plan.Apply(cfg, other, s.Workers, now)
	require.Equal(t, rosemarysill.PlanOutdated, c.Code)
	require.Equal(t, []string{"revision 8: TakeOut d0"}, c.Changes)

	s.Config = cfg
	back, err := plan.Make(uuid.UUID{3}, rosemarysill.Intent{Kind: rosemarysill.BringBack, Target: "d0"}, s, nil, now, until)
	require.NoError(t, err)
	cfg, c = plan.Apply(cfg, back, s.Workers, now)
	require.Equal(t, uint64(9), c.Revision)
	same, c := plan.Apply(cfg, out, s.Workers, until.Add(time.Hour))
	require.Equal(t, rosemarysill.Done, c.Code, "a repeat is answered, also when it is late")
	require.Equal(t, uint64(8), c.Revision)
	require.Equal(t, cfg, same)
	require.False(t, same.DomainOut("d0"))
}

// Guards against a list of applied plans that outgrows the document, and
// against a difference that claims to be complete when it is not.
func TestApplyForgets(t *testing.T) {
	s := state()
	old, err := plan.Make(uuid.UUID{1}, takeOut("d0"), s, nil, now, until)
	require.NoError(t, err)
	cfg := s.Config
	for n := range 1100 {
		p := rosemarysill.Plan{ID: uuid.UUID{0: 2, 14: byte(n >> 8), 15: byte(n)}, BaseRevision: cfg.Revision, Expires: until,
			Intent: rosemarysill.Intent{Kind: rosemarysill.Drain, Target: "u0"}}
		var c rosemarysill.Confirmation
		cfg, c = plan.Apply(cfg, p, nil, now)
		require.Equal(t, rosemarysill.Done, c.Code)
	}
	require.Len(t, cfg.Applied, 1024)
	require.Equal(t, []string{"u0"}, cfg.Drained)
	_, c := plan.Apply(cfg, old, s.Workers, now)
	require.Equal(t, rosemarysill.PlanOutdated, c.Code)
	require.Len(t, c.Changes, 1025)
	require.Equal(t, "changes up to revision 83 are no longer listed", c.Changes[0])
}

// Guards against RemoveEntries touching the configuration, and against a
// Declare that brings a failure domain back without its plan showing that.
func TestApplyKeeps(t *testing.T) {
	s := state()
	s.Config.Domains[0].Out = true
	tests := map[string]rosemarysill.Intent{
		"remove entries": {Kind: rosemarysill.RemoveEntries, Target: uuid.Max.String()},
		"declare":        {Kind: rosemarysill.Declare, Domains: []rosemarysill.Domain{{Name: "d0"}}},
	}
	for name, in := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := plan.Make(uuid.UUID{1}, in, s, nil, now, until)
			require.NoError(t, err)
			next, c := plan.Apply(s.Config, p, s.Workers, now)
			require.Equal(t, rosemarysill.Done, c.Code)
			next.Revision, next.Applied = s.Config.Revision, s.Config.Applied
			require.Equal(t, s.Config, next)
		})
	}
}
