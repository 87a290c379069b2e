package entry

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/standin"
)

// fixedMembers gives an authority that the test sets.
type fixedMembers struct {
	members
	authority rosemarysill.Authority
}

func (m *fixedMembers) Authority() rosemarysill.Authority { return m.authority }

// testEntry is an entry without running parts, over a stand-in store.
func testEntry(t *testing.T) (*Entry, *standin.Store, *fixedMembers) {
	t.Helper()
	store := standin.NewStore(standin.StoreOptions{WritesPerS: -1, ReadsPerS: -1})
	e := New(Config{Name: "a", MaxJobs: 3, MaxJobBodyBytes: 10}, rosemarysill.WithStore(store))
	far := time.Now().Add(time.Hour)
	m := &fixedMembers{authority: rosemarysill.Authority{
		Until: far, StoreContact: true, StoreDeadline: far, Established: true,
		Config: rosemarysill.Configuration{Revision: 1, Accounts: []rosemarysill.Account{{Name: "Rounds", QuotaAccelerators: 4}}},
	}}
	e.members = m
	return e, store, m
}

func testSpec() rosemarysill.JobSpec {
	return rosemarysill.JobSpec{
		ID: uuid.Must(uuid.NewV7()), Account: "Rounds", Class: rosemarysill.Normal,
		Shape: rosemarysill.Shape{Members: 1, Accelerators: 1},
	}
}

// TestSubmit guards against a job that is accepted twice, refused although it
// was accepted, or accepted beyond a limit.
func TestSubmit(t *testing.T) {
	ctx := context.Background()
	old := testSpec()
	old.ID = uuid.MustParse("0190a000-0000-7000-8000-000000000000")
	cases := map[string]struct {
		change   func(s *rosemarysill.JobSpec, m *fixedMembers, store *standin.Store)
		code     rosemarysill.Code
		accepted bool
	}{
		"accepted": {accepted: true},
		"answer lost": {accepted: true, change: func(_ *rosemarysill.JobSpec, _ *fixedMembers, s *standin.Store) {
			s.SetFaults(standin.StoreFaults{LoseNext: 1})
		}},
		"unknown account": {code: rosemarysill.UnknownAccount, change: func(s *rosemarysill.JobSpec, _ *fixedMembers, _ *standin.Store) { s.Account = "x" }},
		"over the quota":  {code: rosemarysill.QuotaExceeded, change: func(s *rosemarysill.JobSpec, _ *fixedMembers, _ *standin.Store) { s.Shape.Members = 5 }},
		"body too large":  {code: rosemarysill.TooLarge, change: func(s *rosemarysill.JobSpec, _ *fixedMembers, _ *standin.Store) { s.Body = make([]byte, 11) }},
		"identifier old":  {code: rosemarysill.IdentifierExpired, change: func(s *rosemarysill.JobSpec, _ *fixedMembers, _ *standin.Store) { s.ID = old.ID }},
		"no store contact": {code: rosemarysill.StoreUnavailable, change: func(_ *rosemarysill.JobSpec, m *fixedMembers, _ *standin.Store) {
			m.authority.StoreDeadline = time.Now()
		}},
		"store out": {code: rosemarysill.OutcomeUnknown, change: func(_ *rosemarysill.JobSpec, _ *fixedMembers, s *standin.Store) {
			s.SetFaults(standin.StoreFaults{Outage: true})
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, store, m := testEntry(t)
			spec := testSpec()
			if c.change != nil {
				c.change(&spec, m, store)
			}
			_, err := e.Submit(ctx, spec)
			require.Equal(t, c.code, rosemarysill.CodeOf(err), "%v", err)
			store.SetFaults(standin.StoreFaults{})
			_, err = store.Get(ctx, job.Key(spec.ID))
			require.Equal(t, c.accepted, err == nil)
		})
	}
}

// TestSubmitAgain guards against a second job under one identifier, at this
// entry or at another one that has not seen the first.
func TestSubmitAgain(t *testing.T) {
	ctx := context.Background()
	a, store, _ := testEntry(t)
	b, _, _ := testEntry(t)
	b.opts.Store, b.book = store, job.NewBook(store, zerolog.Nop(), func() {})
	spec := testSpec()
	_, err := a.Submit(ctx, spec)
	require.NoError(t, err)
	for name, e := range map[string]*Entry{"same entry": a, "other entry": b} {
		t.Run(name, func(t *testing.T) {
			job, err := e.Submit(ctx, spec)
			require.NoError(t, err)
			require.Equal(t, rosemarysill.JobQueued, job.State)
			changed := spec
			changed.Shape.Accelerators = 2
			_, err = e.Submit(ctx, changed)
			require.Equal(t, rosemarysill.IdentifierReused, rosemarysill.CodeOf(err))
		})
	}
	require.Equal(t, 1, store.Counters().Calls[standin.StoreSwap]-1, "one write accepted, one refused")
}

// TestQueueLimit guards against an unbounded queue of jobs.
func TestQueueLimit(t *testing.T) {
	ctx := context.Background()
	e, _, _ := testEntry(t)
	for range 3 {
		_, err := e.Submit(ctx, testSpec())
		require.NoError(t, err)
	}
	_, err := e.Submit(ctx, testSpec())
	require.Equal(t, rosemarysill.QueueFull, rosemarysill.CodeOf(err))
}

// TestCancel guards against "not run" for a job that may have started, and
// against a cancellation that is lost.
func TestCancel(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		state     rosemarysill.JobState
		attempt   int
		faults    standin.StoreFaults
		wantState rosemarysill.JobState
		requested bool
		code      rosemarysill.Code
	}{
		"queued":             {state: rosemarysill.JobQueued, wantState: rosemarysill.JobCancelled, code: rosemarysill.CancelledUnstarted},
		"queued, lost":       {state: rosemarysill.JobQueued, faults: standin.StoreFaults{LoseNext: 1}, wantState: rosemarysill.JobCancelled, code: rosemarysill.CancelledUnstarted},
		"queued after a run": {state: rosemarysill.JobQueued, attempt: 1, wantState: rosemarysill.JobQueued, requested: true},
		"starting":           {state: rosemarysill.JobStarting, attempt: 1, wantState: rosemarysill.JobStarting, requested: true},
		"running":            {state: rosemarysill.JobRunning, attempt: 1, wantState: rosemarysill.JobRunning, requested: true},
		"done":               {state: rosemarysill.JobDone, attempt: 1, wantState: rosemarysill.JobDone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, store, _ := testEntry(t)
			job := rosemarysill.Job{Spec: testSpec(), State: c.state, Attempt: c.attempt}
			e.book.Write(ctx, job, 0, testStart)
			store.SetFaults(c.faults)
			got, err := e.Cancel(ctx, job.Spec.ID)
			require.NoError(t, err)
			require.Equal(t, c.wantState, got.State)
			require.Equal(t, c.requested, got.CancelRequested)
			require.Equal(t, c.code, got.Code)
		})
	}
	e, _, _ := testEntry(t)
	_, err := e.Cancel(ctx, uuid.New())
	require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(err))
}

// TestJobDuringOutage guards against an old state told as the present one.
func TestJobDuringOutage(t *testing.T) {
	ctx := context.Background()
	e, store, _ := testEntry(t)
	running := rosemarysill.Job{Spec: testSpec(), State: rosemarysill.JobRunning}
	done := rosemarysill.Job{Spec: testSpec(), State: rosemarysill.JobDone}
	e.book.Write(ctx, running, 0, testStart)
	e.book.Write(ctx, done, 0, testStart)
	store.SetFaults(standin.StoreFaults{Outage: true})
	got, err := e.Job(ctx, done.Spec.ID)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.JobDone, got.State)
	_, err = e.Job(ctx, running.Spec.ID)
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
}
