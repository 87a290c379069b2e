package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// noDeclarations has an empty configuration.
type noDeclarations struct{}

func (noDeclarations) Configuration() *queue.Configuration { return &queue.Configuration{} }
func (noDeclarations) DomainOut(domain string) bool        { return domain == "out" }
func (noDeclarations) Waves() map[string]declaration.Wave  { return nil }
func (noDeclarations) FreshAsOf() time.Time                { return uptime.Now() }

// busyTerm returns a term in which everything is set that a scheduling pass changes: a run
// that is about to end, one that is not placed any more, a speed demand that has expired, an
// incomplete gang whose member is being stopped, an advised job, and a held step.
func busyTerm(store rosemarysill.TransactionalStore, cache *jobstore.Cache, now, wallNow time.Time) *term {
	t := newTerm(Config{Name: "leader", Store: store, Cache: cache, Declarations: noDeclarations{}, StopGrace: 250 * time.Millisecond, Log: zerolog.Nop()}.withDefaults(), jobstore.LeaderRecord{Name: "leader", Epoch: 6}, 1, 1, now.Add(time.Minute))
	t.elected = now.Add(-time.Minute)
	t.contact = contact{}
	for _, id := range []string{"a/i/1", "b/i/1", "c/i/1", "d/i/1"} {
		w := newWorkerState(control.Worker{Incarnation: id, ID: "i-" + id[:1], Service: "s", Domain: "d", Rack: "r", Capacity: work.Shape{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 4}}, id[:1], now)
		w.attached = true
		t.workers[id], t.streams[id] = w, nil
	}
	t.workers["c/i/1"].Domain = "out"
	add := func(id string, priority int, s work.Step, change func(*work.Job, *work.Progress)) {
		s.Shape, s.Estimate = work.Shape{MilliCPU: 2000, MemoryMB: 100, Accelerators: 2}, 10*time.Second
		j := &work.Job{ID: id, Service: "s", Queue: "q" + id, Account: id, Priority: priority, MaxAttempts: 3, MaxSlowdown: 3, Objective: time.Second, Accepted: wallNow, Steps: []work.Step{s}}
		p := work.NewProgress(j)
		change(j, p)
		t.jobs[id] = &jobState{job: j, progress: p, version: 1}
	}
	run := func(job string, index int) work.RunKey {
		return work.RunKey{Task: work.TaskKey{Job: job, Index: index}, Run: 1}
	}
	w := t.workers["a/i/1"]
	add("running", 2, work.Step{Count: 1}, func(_ *work.Job, p *work.Progress) { p.Place(&p.Tasks[0], "a/i/1", "", 1) })
	w.placedAt[run("running", 0)] = now.Add(-10 * time.Second)
	w.trackers[run("running", 0)] = &tracker{startedAt: now.Add(-10 * time.Second), percent: 99, progressedAt: now, risen: true, rises: 9}
	w.placedAt[run("gone", 0)] = now
	add("lasting", 2, work.Step{Count: 1}, func(_ *work.Job, p *work.Progress) { p.Place(&p.Tasks[0], "d/i/1", "", 1) })
	t.workers["d/i/1"].placedAt[run("lasting", 0)] = now
	add("gang", 1, work.Step{Count: 2, Gang: true}, func(_ *work.Job, p *work.Progress) {
		p.Place(&p.Tasks[0], "b/i/1", "", 1)
		p.Tasks[0].Stopping = true
	})
	t.workers["b/i/1"].placedAt[run("gang", 0)] = now
	t.incompleteGangs[stepKey{job: "gang"}] = true
	add("waiting", 1, work.Step{Count: 9}, func(*work.Job, *work.Progress) {})
	add("advised", 1, work.Step{Count: 1}, func(j *work.Job, _ *work.Progress) { j.Advised = true })
	t.advice[stepKey{job: "advised"}] = newStepAdvice()
	t.speedDemands["qold"] = speedDemand{"s", 0.5, now.Add(-time.Hour)}
	t.withheldSince[stepKey{job: "gone"}] = now
	t.minSpeeds[stepKey{job: "gone"}] = 0.5
	t.forecasts[occurrenceKey{job: "gone"}] = delay.Forecast{LateLoss: 1}
	t.waitingSince = map[stepKey]time.Time{{job: "gone"}: now}
	t.urgentUse.Observe(3, now.Add(-time.Second))
	t.urgentUse.Observe(2, now.Add(-time.Second))
	return t
}

// Guards against an explanation that changes the state of the leader, orders a start or a
// stop, asks for advice, or writes to the store.
func TestExplainChangesNothing(t *testing.T) {
	now, wallNow := uptime.Now(), time.Now()
	transactions := standin.NewTransactions()
	cache := jobstore.NewCache(transactions.View("v"), zerolog.Nop())
	store := &countingStore{TransactionalStore: transactions.View("v")}
	want, got := busyTerm(store, cache, now, wallNow), busyTerm(store, cache, now, wallNow)
	for name, c := range map[string]struct {
		priority, count int
		gang            bool
		want            explanation.Decision
	}{
		"urgent gang that stops runs": {0, 6, true, explanation.Preempts},
		"single tasks":                {1, 2, false, explanation.Starts},
		"gang that does not fit":      {2, 50, true, explanation.Waits},
	} {
		t.Run(name, func(t *testing.T) {
			j := &work.Job{ID: "preview", Service: "s", Queue: "q", Account: "a", Priority: c.priority, MaxAttempts: 2, MaxSlowdown: 2, Objective: time.Second, Accepted: time.Now(), Steps: []work.Step{{
				Count: c.count, Gang: c.gang, Shape: work.Shape{MilliCPU: 2000, MemoryMB: 100, Accelerators: 2}, Estimate: time.Second,
			}}}
			e, err := got.explain(context.Background(), j, "")
			require.NoError(t, err)
			require.Equal(t, c.want, e.Decision, e.Text())
			require.Equal(t, 1, e.Steps[0].ExcludedCount[closedByDomain])
			require.Equal(t, "leader", e.Leader)
			require.EqualValues(t, 6, e.Epoch)
			require.Positive(t, e.WaitingUnits)

			require.Equal(t, want.workers, got.workers)
			require.Equal(t, want.jobs, got.jobs)
			require.Equal(t, want.advice, got.advice)
			require.Equal(t, want.urgentUse, got.urgentUse)
			require.Equal(t, want.speeds, got.speeds)
			require.Equal(t, want.runDurations, got.runDurations)
			require.Equal(t, want.startWaits, got.startWaits)
			require.Equal(t, want.forecasts, got.forecasts)
			require.Equal(t, want.speedDemands, got.speedDemands)
			require.Equal(t, want.minSpeeds, got.minSpeeds)
			require.Equal(t, want.restartSpeeds, got.restartSpeeds)
			require.Equal(t, want.waitingSince, got.waitingSince)
			require.Equal(t, want.withheldSince, got.withheldSince)
			require.Equal(t, want.incompleteGangs, got.incompleteGangs)
			require.Equal(t, want.totalCores, got.totalCores)
			require.Empty(t, got.wake)
			require.Empty(t, got.adviceWanted)
			require.Nil(t, got.collectBatch(), "there is something to commit")
			require.Zero(t, store.calls)
		})
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	j := &work.Job{ID: "preview", Service: "s", Steps: []work.Step{{Count: 1}}}
	_, err := got.explain(cancelled, j, "")
	require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err), "the time is up")
	got.leaseExpiry = now.Add(-time.Second)
	_, err = got.explain(context.Background(), j, "")
	require.Equal(t, rosemarysill.NotAuthoritative, rosemarysill.CodeOf(err), "the lease has expired")
}

// countingStore counts the calls that write.
type countingStore struct {
	rosemarysill.TransactionalStore
	calls int
}

func (s *countingStore) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	s.calls++
	return s.TransactionalStore.Commit(ctx, c)
}

// Guards against explanations that slow the leader down because there are many of them.
func TestOneExplanationAtATime(t *testing.T) {
	now := uptime.Now()
	var limit explanationLimit
	require.True(t, limit.begin(now))
	require.False(t, limit.begin(now.Add(time.Hour)), "one is in progress")
	limit.end()
	require.False(t, limit.begin(now.Add(explanationInterval-1)))
	require.True(t, limit.begin(now.Add(explanationInterval)))
}
