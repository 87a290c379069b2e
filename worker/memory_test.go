package worker

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// TestStopWaitsForStart guards against a stop that overtakes the start at the
// runtime and leaves the task running.
func TestStopWaitsForStart(t *testing.T) {
	l := newTestLedger()
	l.Obey(orders(1, 3), start, start)
	require.NoError(t, l.Reserve(reserve(1, 1, 3, 0), start))
	require.NoError(t, l.Commit(commit(1, 1, 3), start))
	effects := l.Due(start)
	require.Len(t, effects, 1)
	reply, err := l.Stop(stop(1, 1, 3), start)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.StopReply{Boot: boot}, reply)
	require.Empty(t, l.Due(start), "the start is in flight")
	l.Did(effects[0], "", errors.New("timeout"), start)
	effects = l.Due(start)
	require.Len(t, effects, 1)
	require.Equal(t, StopTask, effects[0].Kind)
}

// TestBeginChecksAgain guards against an effect that is sent after a pause
// between its decision and the request.
func TestBeginChecksAgain(t *testing.T) {
	cases := map[string]struct {
		between func(l *Ledger)
		at      time.Duration
		want    bool
	}{
		"no pause":               {func(*Ledger) {}, 0, true},
		"reservation lapsed":     {func(*Ledger) {}, 3 * time.Second, false},
		"stopped":                {func(l *Ledger) { _, _ = l.Stop(stop(1, 1, 3), start) }, 0, false},
		"later epoch":            {func(l *Ledger) { l.Obey(orders(1, 4), start, start) }, 0, false},
		"domain out":             {func(l *Ledger) { l.Obey(rosemarysill.AgentOrders{Revision: 2, DomainOut: true}, start, start) }, 0, false},
		"later attempt reserved": {func(l *Ledger) { _ = l.Reserve(reserve(1, 2, 3, 1), start) }, 0, false},
	}
	t.Run("lease lapsed before its extension", func(t *testing.T) {
		l := newTestLedger()
		l.Obey(orders(1, 3), start, start)
		require.NoError(t, l.Reserve(reserve(1, 1, 3, 0), start))
		require.NoError(t, l.Commit(commit(1, 1, 3), start))
		l.Did(l.Due(start)[0], "", nil, start)
		renewed := start.Add(2 * time.Second)
		l.Obey(rosemarysill.AgentOrders{Leases: []rosemarysill.LeaseGrant{{Job: job(1), Attempt: 1, Duration: time.Minute}}}, renewed, renewed)
		e := l.Due(renewed)[0]
		require.Equal(t, ExtendTask, e.Kind)
		require.False(t, l.Begin(e, start.Add(17*time.Second)))
	})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTestLedger()
			l.Obey(orders(1, 3), start, start)
			require.NoError(t, l.Reserve(reserve(1, 1, 3, 0), start))
			require.NoError(t, l.Commit(commit(1, 1, 3), start))
			e := l.Due(start)[0]
			c.between(l)
			now := start.Add(c.at)
			require.Equal(t, c.want, l.Begin(e, now))
			reply, err := l.Stop(stop(1, 1, 4), now)
			require.NoError(t, err)
			require.Equal(t, !c.want, reply.NeverStarted)
		})
	}
}

// TestCheckpointDoesNotDelayStopPastLease guards against a checkpoint that
// hangs while the lease lapses.
func TestCheckpointDoesNotDelayStopPastLease(t *testing.T) {
	l := newTestLedger()
	l.Obey(orders(1, 3), start, start)
	require.NoError(t, l.Reserve(reserve(1, 1, 3, 0), start))
	require.NoError(t, l.Commit(commit(1, 1, 3), start))
	l.Did(l.Due(start)[0], "", nil, start)
	r := stop(1, 1, 3)
	r.Checkpoint = true
	_, err := l.Stop(r, start)
	require.NoError(t, err)
	effects := l.Due(start)
	require.Equal(t, CheckpointTask, effects[0].Kind)
	require.Empty(t, l.Due(start.Add(14*time.Second)))
	effects = l.Due(start.Add(15 * time.Second))
	require.Len(t, effects, 1)
	require.Equal(t, StopTask, effects[0].Kind)
}

// TestRecordsAreBounded guards against memory that grows with the number of
// jobs, and against dropping a record that a late message may still need.
func TestRecordsAreBounded(t *testing.T) {
	l := newTestLedger()
	l.Obey(orders(1, 3), start, start)
	for n := range byte(8) {
		_, err := l.Stop(stop(n, 1, 3), start)
		require.NoError(t, err)
	}
	_, err := l.Stop(stop(9, 1, 3), start)
	require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err))
	require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(l.Reserve(reserve(9, 1, 3, 0), start)))
	require.Equal(t, rosemarysill.StaleAttempt, rosemarysill.CodeOf(l.Reserve(reserve(1, 1, 3, 0), start)), "the mark is kept")

	later := start.Add(recordKeep)
	l.Obey(orders(1, 3), later, later)
	require.NoError(t, l.Reserve(reserve(9, 1, 3, 0), later))
	require.Len(t, l.records, 1)
}

// TestOutcomesAreKeptUntilAcknowledged guards against an outcome that no entry
// learns, and against outcomes that pile up.
func TestOutcomesAreKeptUntilAcknowledged(t *testing.T) {
	l := newTestLedger()
	l.cfg.Finished, l.cfg.Jobs = 2, 100
	finish := func(n byte) error {
		l.Obey(orders(1, 3), start, start)
		if err := l.Reserve(reserve(n, 1, 3, 0), start); err != nil {
			return err
		}
		require.NoError(t, l.Commit(commit(n, 1, 3), start))
		l.Did(l.Due(start)[0], "", nil, start)
		l.Observe([]rosemarysill.TaskStatus{{Task: task(n, 1), State: rosemarysill.TaskDone, Result: []byte{n}}}, start, start)
		return nil
	}
	require.NoError(t, finish(1))
	require.Equal(t, ForgetTask, l.Due(start)[0].Kind)
	require.NoError(t, finish(2))
	l.Due(start)
	require.Equal(t, rosemarysill.NoCapacity, rosemarysill.CodeOf(finish(3)), "no entry knows the outcomes")
	list, digest := l.Report(start)
	require.Len(t, list, 2)
	l.Acknowledge(digest+1, start)
	require.Equal(t, 2, l.unacknowledged(), "an older digest")
	l.Acknowledge(digest, start)
	require.NoError(t, finish(3))
	list, _ = l.Report(start)
	require.Len(t, list, 2, "the oldest is dropped")
	list, digest = l.Report(start.Add(time.Hour))
	require.Len(t, list, 1, "the one that no entry has acknowledged")
	require.NotZero(t, digest)
}
