package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/caller"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/standin"
)

// timings are the protocol timings of the deployments in these tests.
var timings = rosemarysill.DefaultTimings().Scaled(scale)

// submit submits a job.
func (d *deployment) submit(spec rosemarysill.JobSpec) rosemarysill.JobSpec {
	d.t.Helper()
	_, err := d.caller.Submit(context.Background(), spec)
	require.NoError(d.t, err)
	return spec
}

// waitState waits until the job is in the given state.
func (d *deployment) waitState(spec rosemarysill.JobSpec, state rosemarysill.JobState) rosemarysill.Job {
	d.t.Helper()
	var job rosemarysill.Job
	d.eventually(string(state), func() error {
		var err error
		job, err = d.caller.Job(context.Background(), spec.ID)
		if err == nil && job.State != state {
			err = fmt.Errorf("state %s: %s", job.State, job.Detail)
		}
		return err
	})
	return job
}

// requireNoDuplicateRuns checks that no task started twice and that no two attempts
// of a job overlapped.
func (d *deployment) requireNoDuplicateRuns() {
	d.t.Helper()
	for _, r := range d.runtimes {
		// The stand-in records the end of a task only when it is called, and the
		// agent that would call it may have been killed.
		_, err := r.Tasks(context.Background())
		require.NoError(d.t, err)
	}
	require.Empty(d.t, d.tasks.StartedTwice(), "tasks started twice")
	require.Empty(d.t, d.tasks.Overlapping(), "overlapping attempts")
}

// TestGangRestartsAfterWorkerAgentKilled guards against a gang that continues with
// only some of its members. After the agent of one member is killed, the others must
// stop and the job must run again with all members.
func TestGangRestartsAfterWorkerAgentKilled(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declareConfiguration()
	d.waitReady(4)
	spec := d.submit(newJob(3, 6, `{"RunSeconds":4,"Result":"whole"}`))
	job := d.waitState(spec, rosemarysill.JobRunning)
	d.agents[job.Slots[1].Worker].kill(t)
	finished := d.waitFinished(spec.ID)
	require.Equal(t, rosemarysill.JobDone, finished.State, finished.Detail)
	require.Greater(t, finished.Attempt, job.Attempt)
	d.requireNoDuplicateRuns()
	partialRun := d.tasks.LongestPart(spec.ID, job.Attempt, 3, time.Now())
	require.LessOrEqual(t, partialRun, timings.GangLease+timings.MemberFresh+timings.BeatEvery)
}

// TestNonIdempotentJobRunsOnce guards against a second run of a non-idempotent job
// after one of its workers is lost.
func TestNonIdempotentJobRunsOnce(t *testing.T) {
	d := newDeployment(t, 2, 0, 3)
	d.declareConfiguration()
	d.waitReady(3)
	spec := newJob(2, 8, `{"RunSeconds":60}`)
	spec.Idempotent = false
	d.submit(spec)
	job := d.waitState(spec, rosemarysill.JobRunning)
	d.agents[job.Slots[0].Worker].kill(t)
	finished := d.waitFinished(spec.ID)
	require.Equal(t, rosemarysill.JobUnknown, finished.State)
	require.Equal(t, rosemarysill.OutcomeUnknown, finished.Code)
	require.Len(t, d.tasks.Spans(), 2)
}

// TestWorkContinuesDuringStoreOutage guards against a store outage that stops
// running gangs and idempotent calls, and against work that starts without its record.
func TestWorkContinuesDuringStoreOutage(t *testing.T) {
	d := newDeployment(t, 2, 2, 2)
	d.declareConfiguration()
	d.waitReady(4)
	running := d.submit(newJob(2, 8, fmt.Sprintf(`{"RunSeconds":%f,"Result":"not interrupted"}`, 3*timings.GangLease.Seconds())))
	d.waitState(running, rosemarysill.JobRunning)

	d.store.SetFaults(standin.StoreFaults{Outage: true})
	outageStart := time.Now()
	d.eventually("authority without the store", func() error {
		for i := range d.http {
			c := operator.NewClient(d.http[i : i+1])
			s, err := c.Status(context.Background())
			c.Close()
			if err != nil || s.StoreContact || !s.Authoritative {
				return fmt.Errorf("entry %d: store contact %t, authoritative %t, %v", i, s.StoreContact, s.Authoritative, err)
			}
		}
		return nil
	})
	d.eventually("idempotent call", func() error {
		a := d.caller.Call(context.Background(), newCall(standin.CallBody{}))
		if a.Code != rosemarysill.Done {
			return rosemarysill.NewError(a.Code, "%s", a.Detail)
		}
		return nil
	})
	nonIdempotent := newCall(standin.CallBody{})
	nonIdempotent.Idempotent = false
	a := d.caller.Call(context.Background(), nonIdempotent)
	require.Equal(t, rosemarysill.StoreUnavailable, a.Code, a.Detail)
	require.Zero(t, d.calls.RunsOf(nonIdempotent.ID), "the answer states that the call did not run")
	_, err := d.caller.Submit(context.Background(), newJob(1, 1, `{}`))
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
	_, err = d.operator.Plan(context.Background(), rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: "Tunis"})
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))

	d.eventually("wait of two gang leases", func() error {
		if remaining := time.Until(outageStart.Add(2 * timings.GangLease)); remaining > 0 {
			return fmt.Errorf("%s remaining", remaining)
		}
		return nil
	})
	d.store.SetFaults(standin.StoreFaults{})
	job := d.waitFinished(running.ID)
	require.Equal(t, "not interrupted", string(job.Result), job.Detail)
	require.Equal(t, 1, job.Attempt)
	d.requireNoDuplicateRuns()
}

// TestPausedEntryDoesNotPlaceAfterTakeover guards against an entry that continues
// to place jobs after it was paused and another entry took over.
func TestPausedEntryDoesNotPlaceAfterTakeover(t *testing.T) {
	d := newDeployment(t, 2, 0, 3)
	d.declareConfiguration()
	d.waitReady(3)
	var specs []rosemarysill.JobSpec
	for range 5 {
		specs = append(specs, d.submit(newJob(2, 4, `{"RunSeconds":1}`)))
	}
	first := d.placerIndex()
	paused := d.entries[first].cmd.Process
	require.NoError(t, paused.Signal(syscall.SIGSTOP))
	d.eventually("takeover", func() error {
		c := operator.NewClient(d.http[1-first : 2-first])
		defer c.Close()
		s, err := c.Status(context.Background())
		if err == nil && !s.IsPlacer {
			err = fmt.Errorf("entry %d is not the placer", 1-first)
		}
		return err
	})
	require.NoError(t, paused.Signal(syscall.SIGCONT))
	for _, spec := range specs {
		require.Equal(t, rosemarysill.JobDone, d.waitFinished(spec.ID).State)
	}
	d.requireNoDuplicateRuns()
}

// TestNonIdempotentCallIsNotRunTwiceOnRetry guards against a second run of a
// non-idempotent call that the caller repeats at another entry, including after the
// first entry was killed.
func TestNonIdempotentCallIsNotRunTwiceOnRetry(t *testing.T) {
	d := newDeployment(t, 2, 2, 0)
	d.declareConfiguration()
	d.waitReady(2)
	clients := []*caller.Client{caller.NewClient(d.http[:1]), caller.NewClient(d.http[1:])}
	t.Cleanup(clients[0].Close)
	t.Cleanup(clients[1].Close)

	call := newCall(standin.CallBody{Answer: "two coils"})
	call.Idempotent = false
	for i, c := range clients {
		a := c.Call(context.Background(), call)
		require.Equal(t, rosemarysill.Done, a.Code, "entry %d: %s", i, a.Detail)
		require.Equal(t, "two coils", string(a.Body))
	}
	require.Equal(t, 1, d.calls.RunsOf(call.ID))

	interrupted := newCall(standin.CallBody{Seconds: 1})
	interrupted.Idempotent = false
	answers := make(chan rosemarysill.Answer, 1)
	go func() { answers <- clients[0].Call(context.Background(), interrupted) }()
	d.eventually("call in progress", func() error {
		if d.calls.RunsOf(interrupted.ID)+d.upstreams["upstream-0"].Busy()+d.upstreams["upstream-1"].Busy() == 0 {
			return fmt.Errorf("the call has not reached an upstream")
		}
		return nil
	})
	d.entries[0].kill(t)
	require.Equal(t, rosemarysill.TruthUnknown, (<-answers).Code.Truth())
	repeated := clients[1].Call(context.Background(), interrupted)
	require.Equal(t, rosemarysill.OutcomeUnknown, repeated.Code, repeated.Detail)
	require.LessOrEqual(t, d.calls.RunsOf(interrupted.ID), 1)
}

// TestNoTaskStartsInDomainTakenOut guards against tasks that start in a failure domain
// after it was taken out, and against concurrent changes that overwrite each other.
func TestNoTaskStartsInDomainTakenOut(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declareConfiguration()
	d.waitReady(4)
	ctx := context.Background()
	stop := make(chan struct{})
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for i := 0; i < 200; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				_, _ = d.caller.Submit(ctx, newJob(1, 1, `{"RunSeconds":0.1}`))
			}
		}
	}()
	out, err := d.operator.Plan(ctx, rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: "Tunis"})
	require.NoError(t, err)
	other, err := d.operator.Plan(ctx, rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: "Nabeul"})
	require.NoError(t, err)
	for range 2 { // the second confirmation has no further effect
		c, err := d.operator.Confirm(ctx, out.ID)
		require.NoError(t, err)
		require.Equal(t, rosemarysill.Done, c.Code, c.Detail)
		require.Equal(t, out.BaseRevision+1, c.Revision)
	}
	takenOutAt := time.Now()
	c, err := d.operator.Confirm(ctx, other.ID)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.PlanOutdated, c.Code)
	require.NotEmpty(t, c.Changes)

	bound := timings.StoreFresh + timings.ReserveFor + timings.BeatEvery
	d.eventually("wait of twice the bound", func() error {
		if time.Since(takenOutAt) < 2*bound {
			return fmt.Errorf("%s since the domain was taken out", time.Since(takenOutAt))
		}
		return nil
	})
	close(stop)
	<-submitted
	lateStarts, otherStarts := 0, 0
	for _, s := range d.tasks.Spans() {
		if s.Worker == "worker-1" && s.Start.After(takenOutAt.Add(bound)) {
			lateStarts++
		}
		if s.Worker != "worker-1" && s.Start.After(takenOutAt.Add(bound)) {
			otherStarts++
		}
	}
	require.Zero(t, lateStarts)
	require.Positive(t, otherStarts, "tasks must still start in the other domains")
	d.requireNoDuplicateRuns()
}

// TestCancelStopsAllMembers guards against a cancellation that leaves members
// running, or that reports a started job as not run.
func TestCancelStopsAllMembers(t *testing.T) {
	d := newDeployment(t, 2, 0, 2)
	d.declareConfiguration()
	d.waitReady(2)
	spec := d.submit(newJob(2, 8, `{"RunSeconds":60}`))
	d.waitState(spec, rosemarysill.JobRunning)
	waiting := d.submit(newJob(2, 8, `{"RunSeconds":60}`))
	_, err := d.caller.Cancel(context.Background(), waiting.ID)
	require.NoError(t, err)
	_, err = d.caller.Cancel(context.Background(), spec.ID)
	require.NoError(t, err)
	finished := d.waitFinished(spec.ID)
	require.Equal(t, rosemarysill.StoppedByRequest, finished.Code, finished.Detail)
	require.Equal(t, rosemarysill.CancelledUnstarted, d.waitFinished(waiting.ID).Code)
	for _, s := range d.tasks.Spans() {
		require.False(t, s.End.IsZero(), "member still runs after cancellation")
		require.Equal(t, spec.ID, s.Task.Job)
	}
}

// TestGuaranteeIsReclaimed guards against a guaranteed shape that is not available
// when its account requests it while another account has borrowed all accelerators.
func TestGuaranteeIsReclaimed(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declareConfiguration()
	d.waitReady(4)
	shape := rosemarysill.Shape{Members: 2, Accelerators: 8, Processors: 1, MemoryMB: 64}
	d.applyIntent(rosemarysill.Intent{
		Kind: rosemarysill.Grant, Target: "Sfax Flippers",
		Guarantees: []rosemarysill.Guarantee{{Shape: shape, Count: 1}},
	})
	var borrowing []rosemarysill.JobSpec
	for range 8 {
		spec := newJob(1, 4, `{"RunSeconds":60}`)
		spec.Account = "Bizerte Arcades"
		borrowing = append(borrowing, d.submit(spec))
	}
	for _, spec := range borrowing {
		d.waitState(spec, rosemarysill.JobRunning)
	}
	claiming := newJob(2, 8, `{"RunSeconds":0.2,"Result":"claimed"}`)
	claiming.Shape = shape
	d.submit(claiming)
	require.Equal(t, "claimed", string(d.waitFinished(claiming.ID).Result))
	stopped := 0
	for _, spec := range borrowing {
		job, err := d.caller.Job(context.Background(), spec.ID)
		require.NoError(t, err)
		if job.Attempt > 1 || job.State == rosemarysill.JobQueued {
			stopped++
		}
		require.False(t, job.State.Final(), "a preempted job must be queued or run again")
	}
	require.Equal(t, 4, stopped, "only as many jobs as needed must be preempted")
	d.requireNoDuplicateRuns()
}

// TestFaultyWorkerIsIsolated guards against a worker that fails every task and still
// receives work, and against a job that fails on every worker and thereby takes the
// workers out of service.
func TestFaultyWorkerIsIsolated(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declareConfiguration()
	d.waitReady(4)
	d.runtimes["worker-0"].SetFaults(standin.RuntimeFaults{FailTasks: true})
	var specs []rosemarysill.JobSpec
	for range 12 {
		specs = append(specs, d.submit(newJob(1, 8, `{"RunSeconds":0.3}`)))
	}
	for _, spec := range specs {
		job := d.waitFinished(spec.ID)
		require.Equal(t, rosemarysill.JobDone, job.State, job.Detail)
	}
	failures := 0
	for _, s := range d.tasks.Spans() {
		if s.Worker == "worker-0" {
			failures++
		}
	}
	require.LessOrEqual(t, failures, 5, "three failures until isolation, and trial runs")

	failing := d.waitFinished(d.submit(newJob(1, 1, `{"Fail":true}`)).ID)
	require.Equal(t, rosemarysill.FailedEverywhere, failing.Code, failing.Detail)
	succeeding := d.waitFinished(d.submit(newJob(3, 8, `{}`)).ID)
	require.Equal(t, rosemarysill.JobDone, succeeding.State, "the other workers must still be in service")
	d.requireNoDuplicateRuns()
}

// TestPlacementResumesAfterAllEntriesLost guards against a deployment without
// placement after all entries were lost at once and operators removed them, and
// against new entries that place jobs before the removal is confirmed.
func TestPlacementResumesAfterAllEntriesLost(t *testing.T) {
	d := newDeployment(t, 2, 0, 2)
	d.declareConfiguration()
	d.waitReady(2)
	ctx := context.Background()
	before, err := d.operator.Status(ctx)
	require.NoError(t, err)
	require.Len(t, before.Entries, 2)
	for i := range d.entries {
		d.entries[i].kill(t)
	}
	for i := range d.entries {
		d.entries[i] = d.startEntry(i)
	}
	remove := rosemarysill.Intent{Kind: rosemarysill.RemoveEntries, Target: before.Entries[0].ID.String() + "," + before.Entries[1].ID.String()}
	var p rosemarysill.Plan
	d.eventually("plan", func() error {
		p, err = d.operator.Plan(ctx, remove)
		return err
	})
	s, err := d.operator.Status(ctx)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.Joining, s.Entry.State)
	require.False(t, s.IsPlacer)
	c, err := d.operator.Confirm(ctx, p.ID)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.Done, c.Code, c.Detail)
	d.waitReady(2)
	spec := newJob(2, 8, `{"Result":"placed"}`)
	d.eventually("submission", func() error { _, err := d.caller.Submit(ctx, spec); return err })
	require.Equal(t, "placed", string(d.waitFinished(spec.ID).Result))
	d.requireNoDuplicateRuns()
}
