package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a load that counts work that does not go before a new job, or workers that
// have not reported for long, and against one that a suspended leader computes.
func TestObserveLoad(t *testing.T) {
	now := uptime.Now()
	cache := jobstore.NewCache(standin.NewTransactions().View("v"), zerolog.Nop())
	term := newTerm(Config{Cache: cache, Log: zerolog.Nop()}.withDefaults(), jobstore.LeaderRecord{Epoch: 6}, 1, 1, now.Add(time.Minute))
	for id, reported := range map[string]time.Time{"a/i/1": now, "b/i/1": now.Add(-time.Minute)} {
		w := newWorkerState(control.Worker{Incarnation: id, Service: "s", Capacity: work.Shape{MilliCPU: 1000, Accelerators: 1}, LargestCapacity: work.Shape{MilliCPU: 4000, Accelerators: 4}}, id[:1], reported)
		w.attached = true
		term.workers[id] = w
	}
	add := func(id string, priority int, change func(*work.Job, *work.Progress)) {
		j := &work.Job{ID: id, Service: "s", Queue: id, Priority: priority, MaxSlowdown: 3, Objective: time.Minute, Accepted: time.Now(), Steps: []work.Step{{Count: 4, Shape: work.Shape{MilliCPU: 1000, Accelerators: 1}, Estimate: 10 * time.Second}}}
		p := work.NewProgress(j)
		change(j, p)
		term.jobs[id] = &jobState{job: j, progress: p}
	}
	add("waiting", 0, func(*work.Job, *work.Progress) {})
	add("half done", 1, func(_ *work.Job, p *work.Progress) {
		p.Tasks[0].Done, p.Tasks[1].Done = true, true
		p.Place(&p.Tasks[2], "a/i/1", "", 1)
		p.Tasks[2].Percent = 50
	})
	add("late", 0, func(j *work.Job, _ *work.Progress) { j.Accepted = time.Now().Add(-time.Hour) })
	add("final", 0, func(_ *work.Job, p *work.Progress) { p.State = work.Completed })
	add("serving", 0, func(j *work.Job, _ *work.Progress) { j.Steps[0].LongRunning = true })
	add("periodic", 0, func(j *work.Job, _ *work.Progress) { j.Occurrences = 3 })
	observer := admission.NewObserver(6, now)
	l, ok := term.observeLoad(observer)
	require.True(t, ok)
	require.Equal(t, admission.Load{Epoch: 6, Services: map[string]admission.Service{"s": {
		Kinds: []admission.Kind{{Capacity: work.Shape{MilliCPU: 4000, Accelerators: 4}, Count: 1}},
		Ahead: []time.Duration{10 * time.Second, 13750 * time.Millisecond},
	}}}, l)

	term.leaseExpiry = now.Add(-time.Second)
	_, ok = term.observeLoad(observer)
	require.False(t, ok)
}

// Guards against a record of the load that is replaced by an earlier one, whose write got no
// reply and is executed late, or that stands although the load has changed back: entries
// would refuse jobs by it for as long as the load stays the same.
func TestLateRecordOfLoadIsReplaced(t *testing.T) {
	load := func(ahead time.Duration) admission.Load {
		return admission.Load{Epoch: 6, Services: map[string]admission.Service{"s": {Settled: true, Ahead: []time.Duration{ahead}}}}
	}
	for name, tc := range map[string]struct {
		fault        standin.Fault
		before, next time.Duration // load on record before the write without a reply, and after it
	}{
		"executed after the next write":            {standin.Late, 0, 10 * time.Minute},
		"reply lost, the load has changed back":    {standin.Losing, 0, 0},
		"executed late, the load has changed back": {standin.Late, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			s.LateBy = 200 * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			store := s.View("leader")
			version := s.Put(jobstore.LeaderKey, []byte("{}"))
			s.Put(jobstore.LoadKey, []byte("{}")) // of an earlier term
			p := loadPublisher{term: newTerm(Config{Store: store, Log: zerolog.Nop()}.withDefaults(), jobstore.LeaderRecord{Epoch: 6}, version, 1, uptime.Now().Add(time.Minute))}
			publish := func(ahead time.Duration) {
				for p.publish(ctx, load(ahead)) != nil {
					require.NoError(t, ctx.Err())
					uptime.Sleep(ctx, 10*time.Millisecond)
				}
			}
			publish(tc.before)
			s.SetFault("leader", tc.fault)
			callCtx, cancelCall := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancelCall()
			require.Error(t, p.publish(callCtx, load(time.Hour)))
			s.SetFault("leader", standin.Healthy)
			publish(tc.next)
			uptime.Sleep(ctx, 2*s.LateBy) // the late write is executed
			item, err := store.Get(ctx, jobstore.LoadKey)
			require.NoError(t, err)
			recorded, err := admission.Decode(item.Value)
			require.NoError(t, err)
			require.Equal(t, load(tc.next), recorded)
		})
	}
}
