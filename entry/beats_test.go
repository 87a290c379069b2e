package entry

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/fleet"
	"github.com/rosemarysill/rosemarysill/membership"
	"github.com/rosemarysill/rosemarysill/placer"
)

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func neverFenced(uuid.UUID, int) bool { return false }

// entryWithAgent returns an entry whose table has the agent "a" with one
// running gang of one member.
func entryWithAgent(t *testing.T) *Entry {
	t.Helper()
	tb := fleet.New(rosemarysill.DefaultTimings(), 10, testStart)
	accepted, _ := tb.Observe(rosemarysill.AgentReport{
		Name: "a", Boot: uuid.New(), Sequence: 1, Echo: tb.Stamp(testStart), HasTasks: true, TasksDigest: 1,
		Tasks:    []rosemarysill.TaskReport{{Job: uuid.New(), Attempt: 1, Members: 1, State: rosemarysill.TaskRunning}},
		Identity: &rosemarysill.AgentIdentity{Name: "a", Kind: rosemarysill.WorkerAgent, Domain: "Tunis"},
	}, testStart)
	require.True(t, accepted)
	return &Entry{opts: rosemarysill.NewOptions(), table: tb, placer: &placer.Placer{}}
}

// TestOrders guards against freshness or gang leases from an entry that may not
// grant them.
func TestOrders(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	cfg := rosemarysill.Configuration{Revision: 7, Domains: []rosemarysill.Domain{{Name: "Tunis"}}, Drained: []string{"a"}}
	cases := map[string]struct {
		auth      rosemarysill.Authority
		old       bool
		wantFresh time.Duration
		wantLease int
	}{
		"authority for long":  {auth: rosemarysill.Authority{Until: testStart.Add(time.Hour), Established: true}, wantFresh: timings.FreshFor, wantLease: 1},
		"authority for short": {auth: rosemarysill.Authority{Until: testStart.Add(time.Second), Established: true}, wantFresh: timings.FreshFor, wantLease: 1},
		"joining entry":       {auth: rosemarysill.Authority{Until: testStart.Add(time.Hour)}, wantFresh: timings.FreshFor},
		"no authority":        {auth: rosemarysill.Authority{Until: testStart, Established: true}},
		"old report":          {auth: rosemarysill.Authority{Until: testStart.Add(time.Hour), Established: true}, old: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := entryWithAgent(t)
			c.auth.Config = cfg
			o := e.orders(rosemarysill.AgentReport{Name: "a"}, !c.old, c.auth, neverFenced, testStart)
			require.Equal(t, c.wantFresh, o.FreshFor)
			require.Len(t, o.Leases, c.wantLease)
			require.Equal(t, !c.old, o.Drained, "a revision comes with its content")
			require.Equal(t, !c.old, o.Revision == 7)
		})
	}
}

// TestFreshnessLastsToTheNextHeartbeat guards against agents that refuse work in
// the steady state, whatever the phase between an entry's reads of the store and
// an agent's heartbeats. Bounded by the entry's authority, the freshness ended
// before the next heartbeat in some phases, and calls were refused as
// StaleConfiguration and NoUpstream.
func TestFreshnessLastsToTheNextHeartbeat(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	readEvery := membership.ReadEvery(timings)
	const steps = 50
	for i := range steps {
		readAt := testStart.Add(-readEvery * time.Duration(i) / steps)
		e := entryWithAgent(t)
		auth := rosemarysill.Authority{Until: readAt.Add(timings.StoreFresh), Established: true}
		o := e.orders(rosemarysill.AgentReport{Name: "a"}, true, auth, neverFenced, testStart)
		require.GreaterOrEqual(t, o.FreshFor, timings.BeatEvery+timings.Margin, "read %s before the heartbeat", testStart.Sub(readAt))
	}
}
