package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
)

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// testAgent sends reports of one agent to a table.
type testAgent struct {
	tb   *Table
	name string
	boot uuid.UUID
	seq  uint64
	echo uint64
}

// answered gives the agent a reply that the entry sent at the time.
func (a *testAgent) answered(at time.Time) *testAgent {
	a.echo = a.tb.Stamp(at)
	return a
}

func (a *testAgent) beat(now time.Time, tasks ...rosemarysill.TaskReport) bool {
	a.seq++
	accepted, _ := a.tb.Observe(rosemarysill.AgentReport{
		Name: a.name, Boot: a.boot, Sequence: a.seq, Echo: a.echo, HasTasks: true, Tasks: tasks, TasksDigest: a.seq,
		Identity: &rosemarysill.AgentIdentity{Name: a.name, Boot: a.boot, Kind: rosemarysill.WorkerAgent, Domain: "Tunis"},
	}, now)
	return accepted
}

func member(job uuid.UUID, i, of int, state rosemarysill.TaskState) rosemarysill.TaskReport {
	return rosemarysill.TaskReport{Job: job, Attempt: 1, Member: i, Members: of, State: state}
}

func neverFenced(uuid.UUID, int) bool { return false }

// TestGangLeases guards against extending the lease of a gang that does not run
// whole.
func TestGangLeases(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	job := uuid.New()
	cases := map[string]struct {
		second     rosemarysill.TaskState // of member 1; empty: not reported
		silence    time.Duration          // of the second agent
		reboot     bool                   // of the second agent
		fenced     bool
		late       bool // the second agent's report was made long before it arrived
		otherEntry bool // it echoes a stamp that this entry did not make
		want       int
	}{
		"a report arrived late":           {second: rosemarysill.TaskRunning, late: true},
		"a stamp of another entry":        {second: rosemarysill.TaskRunning, otherEntry: true},
		"all members run":                 {second: rosemarysill.TaskRunning, want: 1},
		"a member has finished":           {second: rosemarysill.TaskDone, want: 1},
		"a member failed":                 {second: rosemarysill.TaskFailure},
		"a member stopped":                {second: rosemarysill.TaskStopped},
		"a member is only reserved":       {second: rosemarysill.TaskReserved},
		"a member is not reported":        {},
		"an agent is silent":              {second: rosemarysill.TaskRunning, silence: timings.MemberFresh},
		"an agent is silent, not missing": {second: rosemarysill.TaskRunning, silence: timings.MemberFresh - 1, want: 1},
		"an agent has a new boot":         {second: rosemarysill.TaskRunning, reboot: true},
		"the attempt is fenced":           {second: rosemarysill.TaskRunning, fenced: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := New(timings, 10, testStart)
			a := (&testAgent{tb: tb, name: "a", boot: uuid.New()}).answered(testStart.Add(c.silence))
			b := (&testAgent{tb: tb, name: "b", boot: uuid.New()}).answered(testStart)
			switch {
			case c.late:
				b.answered(testStart.Add(-timings.MemberFresh))
			case c.otherEntry:
				b.echo = rand.Uint64()
			}
			if c.second != "" {
				require.True(t, b.beat(testStart, member(job, 1, 2, c.second)))
			}
			if c.reboot {
				b.boot, b.seq = uuid.New(), 0
				require.True(t, b.beat(testStart))
			}
			now := testStart.Add(c.silence)
			require.True(t, a.beat(now, member(job, 0, 2, rosemarysill.TaskRunning)))
			got := tb.Leases("a", func(uuid.UUID, int) bool { return c.fenced }, now)
			require.Len(t, got, c.want)
		})
	}
}

// TestLeasesAreRenewedInTime guards against leases that are granted so rarely
// that they lapse after two lost replies, and against one with each reply.
func TestLeasesAreRenewedInTime(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	tb := New(timings, 10, testStart)
	a := &testAgent{tb: tb, name: "a", boot: uuid.New()}
	job := uuid.New()
	var grants []time.Time
	for i := range 30 {
		now := testStart.Add(time.Duration(i) * timings.BeatEvery)
		a.answered(now)
		require.True(t, a.beat(now, member(job, 0, 1, rosemarysill.TaskRunning)))
		if len(tb.Leases("a", neverFenced, now)) > 0 {
			grants = append(grants, now)
		}
	}
	require.LessOrEqual(t, len(grants), 15)
	for i := 3; i < len(grants); i++ {
		require.Less(t, grants[i].Sub(grants[i-3]), timings.GangLease)
	}
}

// TestOldReportsAreRefused guards against a late heartbeat that makes a gone
// agent, or an old state of one, look alive.
func TestOldReportsAreRefused(t *testing.T) {
	tb := New(rosemarysill.DefaultTimings(), 10, testStart)
	a := &testAgent{tb: tb, name: "a", boot: uuid.New()}
	require.True(t, a.beat(testStart))
	old := *a
	require.True(t, a.beat(testStart.Add(time.Second)))
	require.False(t, old.beat(testStart.Add(2*time.Second)), "a repeated sequence")

	former := *a
	a.boot, a.seq = uuid.New(), 0
	require.True(t, a.beat(testStart.Add(3*time.Second)))
	require.False(t, former.beat(testStart.Add(4*time.Second)), "a former boot")

	v, ok := tb.Agent("a", testStart.Add(4*time.Second))
	require.True(t, ok)
	require.Equal(t, a.boot, v.Identity.Boot)
}

// TestSweep guards against agents that vanish without notice, and against a
// table that only grows.
func TestSweep(t *testing.T) {
	tb := New(rosemarysill.DefaultTimings(), 1, testStart)
	a := &testAgent{tb: tb, name: "a", boot: uuid.New()}
	require.True(t, a.beat(testStart, member(uuid.New(), 0, 1, rosemarysill.TaskRunning)))
	require.False(t, tb.Admits("b"), "the table is full")
	require.Empty(t, tb.Sweep(testStart))
	later := testStart.Add(rosemarysill.DefaultTimings().MemberFresh)
	require.Equal(t, []string{"a"}, tb.Sweep(later))
	require.Empty(t, tb.Sweep(later), "reported once")
	require.Empty(t, tb.Sweep(testStart.Add(forgetAfter+1)))
	require.True(t, tb.Admits("b"))
	require.Empty(t, tb.gangs)
}
