package worker

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

var (
	boot  = uuid.MustParse("0193a000-0000-7000-8000-00000000b007")
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func job(n byte) uuid.UUID { return uuid.UUID{6: 0x70, 8: 0x80, 15: n} }

func newTestLedger() *Ledger {
	return NewLedger(LedgerConfig{
		Identity: rosemarysill.AgentIdentity{Name: "w1", Boot: boot, Accelerators: 4, Processors: 8, MemoryMB: 1000},
		Timings:  rosemarysill.DefaultTimings(),
		Jobs:     8,
	})
}

func orders(revision, epoch uint64) rosemarysill.AgentOrders {
	return rosemarysill.AgentOrders{Name: "w1", Revision: revision, Epoch: epoch, FreshFor: 5 * time.Second}
}

func reserve(n byte, attempt int, epoch uint64, accelerators ...int) rosemarysill.ReserveRequest {
	return rosemarysill.ReserveRequest{
		Spec: rosemarysill.JobSpec{ID: job(n), Shape: rosemarysill.Shape{
			Members: 2, Accelerators: len(accelerators), Processors: 2, MemoryMB: 100}},
		Attempt: attempt, Epoch: epoch, Revision: 1, Remaining: 3 * time.Second,
		Slot: rosemarysill.Slot{Worker: "w1", Boot: boot, Accelerators: accelerators},
	}
}

func commit(n byte, attempt int, epoch uint64) rosemarysill.CommitRequest {
	return rosemarysill.CommitRequest{Job: job(n), Attempt: attempt, Epoch: epoch, Lease: 15 * time.Second}
}

func stop(n byte, attempt int, epoch uint64) rosemarysill.StopRequest {
	return rosemarysill.StopRequest{Job: job(n), Attempt: attempt, Epoch: epoch}
}

func task(n byte, attempt int) rosemarysill.RuntimeTask {
	return rosemarysill.RuntimeTask{Job: job(n), Attempt: attempt}
}

// step is one event of a table test at a time after the start.
type step func(t *testing.T, l *Ledger, now time.Time)

func obeys(o rosemarysill.AgentOrders) step {
	return func(_ *testing.T, l *Ledger, now time.Time) { l.Obey(o, now, now) }
}

func reserves(r rosemarysill.ReserveRequest, want rosemarysill.Code) step {
	return func(t *testing.T, l *Ledger, now time.Time) {
		err := l.Reserve(r, now)
		require.Equal(t, want, rosemarysill.CodeOf(err), "reserve: %v", err)
	}
}

func commits(r rosemarysill.CommitRequest, want rosemarysill.Code) step {
	return func(t *testing.T, l *Ledger, now time.Time) {
		err := l.Commit(r, now)
		require.Equal(t, want, rosemarysill.CodeOf(err), "commit: %v", err)
	}
}

func stops(r rosemarysill.StopRequest, want rosemarysill.StopReply) step {
	return func(t *testing.T, l *Ledger, now time.Time) {
		reply, err := l.Stop(r, now)
		require.NoError(t, err)
		require.Equal(t, want, reply)
	}
}

func leaves() step { return func(_ *testing.T, l *Ledger, _ time.Time) { l.Leave() } }

// due requires the effects, and performs them with the given error.
func due(err error, want ...EffectKind) step {
	return func(t *testing.T, l *Ledger, now time.Time) {
		var kinds []EffectKind
		effects := l.Due(now)
		for _, e := range effects {
			kinds = append(kinds, e.Kind)
		}
		require.Equal(t, want, kinds)
		for _, e := range effects {
			l.Did(e, "c1", err, now)
		}
	}
}

func observes(list ...rosemarysill.TaskStatus) step {
	return func(_ *testing.T, l *Ledger, now time.Time) { l.Observe(list, now, now) }
}

func reports(want ...rosemarysill.TaskState) step {
	return func(t *testing.T, l *Ledger, now time.Time) {
		list, digest := l.Report(now)
		var states []rosemarysill.TaskState
		for _, r := range list {
			states = append(states, r.State)
		}
		require.Equal(t, want, states)
		require.Equal(t, len(want) == 0, digest == 0)
	}
}

type at struct {
	seconds float64
	do      step
}

// TestLedger names in each case the fault that it guards against.
func TestLedger(t *testing.T) {
	const done = rosemarysill.Done
	fresh := at{0, obeys(orders(1, 3))}
	held := at{0, reserves(reserve(1, 1, 3, 0, 1), done)}
	accepted := at{1, commits(commit(1, 1, 3), done)}
	started := at{1, due(nil, StartTask)}
	lease := func(seconds float64) rosemarysill.AgentOrders {
		o := orders(1, 3)
		o.Leases = []rosemarysill.LeaseGrant{{Job: job(1), Attempt: 1, Duration: time.Duration(seconds * float64(time.Second))}}
		return o
	}
	cases := map[string][]at{
		"accelerator given twice":                           {fresh, held, {1, reserves(reserve(2, 1, 3, 1, 2), rosemarysill.NoCapacity)}, {1, reserves(reserve(2, 1, 3, 2, 3), done)}},
		"processors given twice":                            {fresh, held, {0, reserves(reserve(2, 1, 3, 2), done)}, {0, reserves(reserve(3, 1, 3, 3), done)}, {0, reserves(reserve(4, 1, 3), done)}, {0, reserves(reserve(5, 1, 3), rosemarysill.NoCapacity)}},
		"same accelerator twice in one slot":                {fresh, {0, reserves(reserve(1, 1, 3, 1, 1), rosemarysill.InvalidRequest)}},
		"accelerator that is not there":                     {fresh, {0, reserves(reserve(1, 1, 3, 4), rosemarysill.InvalidRequest)}},
		"reservation before any configuration":              {{0, reserves(reserve(1, 1, 3, 0), rosemarysill.StaleConfiguration)}},
		"reservation with stale configuration":              {fresh, {5, reserves(reserve(1, 1, 3, 0), rosemarysill.StaleConfiguration)}},
		"reservation by an older revision":                  {{0, obeys(orders(2, 3))}, {0, reserves(reserve(1, 1, 3, 0), rosemarysill.StaleConfiguration)}},
		"older epoch":                                       {fresh, {0, reserves(reserve(1, 1, 2, 0), rosemarysill.StaleEpoch)}},
		"older attempt":                                     {fresh, {0, reserves(reserve(1, 2, 3, 0), done)}, {0, reserves(reserve(1, 1, 3, 1), rosemarysill.StaleAttempt)}},
		"repeated reservation extends":                      {fresh, held, {2, reserves(reserve(1, 1, 3, 0, 1), done)}, {2, obeys(orders(1, 3))}, {3, commits(commit(1, 1, 3), rosemarysill.ReservationLapsed)}},
		"late reservation revives the attempt":              {fresh, held, {4, reserves(reserve(1, 1, 3, 0, 1), rosemarysill.ReservationLapsed)}, {4, commits(commit(1, 1, 3), rosemarysill.ReservationLapsed)}, {4, reserves(reserve(1, 2, 3, 0, 1), done)}},
		"commit without reservation":                        {fresh, {0, commits(commit(1, 1, 3), rosemarysill.ReservationLapsed)}},
		"commit after stop":                                 {fresh, held, {1, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true, NeverStarted: true})}, {1, commits(commit(1, 1, 3), rosemarysill.StaleAttempt)}, {1, due(nil)}},
		"reservation after stop":                            {fresh, {0, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true})}, {0, reserves(reserve(1, 1, 3, 0), rosemarysill.StaleAttempt)}},
		"never started claimed of an earlier boot":          {fresh, {0, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true})}},
		"commit with an older epoch":                        {fresh, held, {1, obeys(orders(1, 4))}, {1, commits(commit(1, 1, 3), rosemarysill.StaleEpoch)}},
		"commit with stale configuration":                   {fresh, {4, reserves(reserve(1, 1, 3, 0), done)}, {6, commits(commit(1, 1, 3), rosemarysill.StaleConfiguration)}},
		"commit in a domain that is out":                    {fresh, held, {1, obeys(rosemarysill.AgentOrders{Revision: 2, Epoch: 3, DomainOut: true})}, {1, commits(commit(1, 1, 3), rosemarysill.DomainOut)}},
		"commit while leaving":                              {fresh, held, {1, leaves()}, {1, commits(commit(1, 1, 3), rosemarysill.Leaving)}},
		"domain taken out before the effect":                {fresh, held, accepted, {1, obeys(rosemarysill.AgentOrders{Revision: 2, Epoch: 3, DomainOut: true})}, {1, due(nil)}, {1, reports()}, {1, commits(commit(1, 1, 3), rosemarysill.ReservationLapsed)}, {1, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true, NeverStarted: true})}},
		"pause before the effect":                           {fresh, held, accepted, {3, due(nil)}, {3, reports()}, {3, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true, NeverStarted: true})}},
		"revision that goes back":                           {{0, obeys(rosemarysill.AgentOrders{Revision: 2, Epoch: 3, DomainOut: true, FreshFor: time.Second})}, {0, obeys(orders(1, 3))}, {0, reserves(reserve(1, 1, 3, 0), rosemarysill.DomainOut)}},
		"orders of an entry that does not know the domain":  {{0, obeys(rosemarysill.AgentOrders{Revision: 2, SendIdentity: true, FreshFor: time.Second})}, {0, reserves(reserve(1, 1, 3, 0), rosemarysill.StaleConfiguration)}},
		"repeated commit starts twice":                      {fresh, held, accepted, started, accepted, {1, due(nil)}, {1, reports(rosemarysill.TaskRunning)}},
		"repeated commit after the end says not run":        {fresh, held, accepted, started, {2, observes(rosemarysill.TaskStatus{Task: task(1, 1), State: rosemarysill.TaskDone})}, {2, commits(commit(1, 1, 3), done)}, {2, reports(rosemarysill.TaskDone)}},
		"capacity of a stopped member given before its end": {fresh, held, accepted, started, {2, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot})}, {2, reserves(reserve(2, 1, 3, 0), rosemarysill.NoCapacity)}, {2, due(nil, StopTask)}, {2, reserves(reserve(2, 1, 3, 0), done)}},
		"stop that failed once":                             {fresh, held, accepted, started, {2, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot})}, {2, due(errors.New("runtime"), StopTask)}, {2, due(nil)}, {3, due(nil, StopTask)}, {3, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true})}},
		"lease that lapses":                                 {fresh, held, accepted, started, {11, due(nil, CheckpointTask)}, {12, due(nil)}, {16, due(nil, StopTask)}, {16, reports(rosemarysill.TaskStopped)}},
		"lease renewed":                                     {fresh, held, accepted, started, {10, obeys(lease(15))}, {10, due(nil, ExtendTask)}, {16, due(nil)}, {20, due(nil, CheckpointTask)}, {25, due(nil, StopTask)}},
		"lease longer than the protocol's":                  {fresh, held, accepted, started, {10, obeys(lease(3600))}, {10, due(nil, ExtendTask)}, {25, due(nil, StopTask)}},
		"late grant revives a lapsed lease":                 {fresh, held, accepted, started, {17, obeys(lease(15))}, {17, due(nil, StopTask)}},
		"start that may have happened":                      {fresh, held, accepted, {1, due(errors.New("lost"), StartTask)}, {1, due(nil, StopTask)}, {1, reports(rosemarysill.TaskFailure)}},
		"start that did not happen":                         {fresh, held, accepted, {1, due(rosemarysill.NewError(rosemarysill.Unreachable, "down"), StartTask)}, {1, due(nil)}, {1, stops(stop(1, 1, 3), rosemarysill.StopReply{Boot: boot, Stopped: true, NeverStarted: true})}},
		"task that the runtime lost":                        {fresh, held, accepted, started, {2, observes()}, {2, reports(rosemarysill.TaskStopped)}},
		"task of an earlier boot":                           {fresh, {0, observes(rosemarysill.TaskStatus{Task: task(9, 1), State: rosemarysill.TaskRunning})}, {0, due(nil, StopTask)}},
		"later attempt beside an earlier one":               {fresh, held, accepted, started, {2, reserves(reserve(1, 2, 3, 2), done)}, {2, due(nil, StopTask)}, {2, reports(rosemarysill.TaskStopped, rosemarysill.TaskReserved)}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger()
			for _, s := range steps {
				s.do(t, l, start.Add(time.Duration(s.seconds*float64(time.Second))))
			}
		})
	}
}
