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

// timings are those of the deployments in these tests.
var timings = rosemarysill.DefaultTimings().Scaled(scale)

// submit submits a job.
func (d *deployment) submit(spec rosemarysill.JobSpec) rosemarysill.JobSpec {
	d.t.Helper()
	_, err := d.caller.Submit(context.Background(), spec)
	require.NoError(d.t, err)
	return spec
}

// reach waits until the job has a state.
func (d *deployment) reach(spec rosemarysill.JobSpec, state rosemarysill.JobState) rosemarysill.Job {
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

// whole checks that no task started twice and no two attempts ran at once.
func (d *deployment) whole() {
	d.t.Helper()
	for _, r := range d.runtimes {
		// The stand-in enters the ends of tasks when it is called, and a dead
		// agent does not call it.
		_, err := r.Tasks(context.Background())
		require.NoError(d.t, err)
	}
	require.Empty(d.t, d.tasks.StartedTwice(), "tasks started twice")
	require.Empty(d.t, d.tasks.Overlapping(), "attempts at the same time")
}

// TestWorkerAgentKilled guards against a gang that goes on with part of its
// members: one member's agent dies, the others stop, and the job runs again
// whole.
func TestWorkerAgentKilled(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declare()
	d.ready(4)
	spec := d.submit(newJob(3, 6, `{"RunSeconds":4,"Result":"whole"}`))
	job := d.reach(spec, rosemarysill.JobRunning)
	d.agents[job.Slots[1].Worker].kill(t)
	done := d.finish(spec.ID)
	require.Equal(t, rosemarysill.JobDone, done.State, done.Detail)
	require.Greater(t, done.Attempt, job.Attempt)
	d.whole()
	part := d.tasks.LongestPart(spec.ID, job.Attempt, 3, time.Now())
	require.LessOrEqual(t, part, timings.GangLease+timings.MemberFresh+timings.BeatEvery)
}

// TestNonIdempotentJobRunsOnce guards against a second run of a job that must
// not run twice when one of its workers is lost.
func TestNonIdempotentJobRunsOnce(t *testing.T) {
	d := newDeployment(t, 2, 0, 3)
	d.declare()
	d.ready(3)
	spec := newJob(2, 8, `{"RunSeconds":60}`)
	spec.Idempotent = false
	d.submit(spec)
	job := d.reach(spec, rosemarysill.JobRunning)
	d.agents[job.Slots[0].Worker].kill(t)
	end := d.finish(spec.ID)
	require.Equal(t, rosemarysill.JobUnknown, end.State)
	require.Equal(t, rosemarysill.OutcomeUnknown, end.Code)
	require.Len(t, d.tasks.Spans(), 2)
}

// TestStoreOutage guards against an outage of the store that stops everything,
// and against work that is started without its record.
func TestStoreOutage(t *testing.T) {
	d := newDeployment(t, 2, 2, 2)
	d.declare()
	d.ready(4)
	running := d.submit(newJob(2, 8, fmt.Sprintf(`{"RunSeconds":%f,"Result":"went on"}`, 3*timings.GangLease.Seconds())))
	d.reach(running, rosemarysill.JobRunning)

	d.store.SetFaults(standin.StoreFaults{Outage: true})
	outage := time.Now()
	d.eventually("authority by silence", func() error {
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
	once := newCall(standin.CallBody{})
	once.Idempotent = false
	a := d.caller.Call(context.Background(), once)
	require.Equal(t, rosemarysill.StoreUnavailable, a.Code, a.Detail)
	require.Zero(t, d.calls.RunsOf(once.ID), "not run, as it said")
	_, err := d.caller.Submit(context.Background(), newJob(1, 1, `{}`))
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
	_, err = d.operator.Plan(context.Background(), rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: "Tunis"})
	require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))

	d.eventually("the gang outlives its lease", func() error {
		if left := time.Until(outage.Add(2 * timings.GangLease)); left > 0 {
			return fmt.Errorf("%s left", left)
		}
		return nil
	})
	d.store.SetFaults(standin.StoreFaults{})
	job := d.finish(running.ID)
	require.Equal(t, "went on", string(job.Result), job.Detail)
	require.Equal(t, 1, job.Attempt)
	d.whole()
}

// TestEntryPausedPastItsLease guards against an entry that goes on placing
// after it was frozen and another one took over.
func TestEntryPausedPastItsLease(t *testing.T) {
	d := newDeployment(t, 2, 0, 3)
	d.declare()
	d.ready(3)
	var specs []rosemarysill.JobSpec
	for range 5 {
		specs = append(specs, d.submit(newJob(2, 4, `{"RunSeconds":1}`)))
	}
	first := d.placing()
	frozen := d.entries[first].cmd.Process
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	d.eventually("takeover", func() error {
		c := operator.NewClient(d.http[1-first : 2-first])
		defer c.Close()
		s, err := c.Status(context.Background())
		if err == nil && !s.IsPlacer {
			err = fmt.Errorf("does not place")
		}
		return err
	})
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	for _, spec := range specs {
		require.Equal(t, rosemarysill.JobDone, d.finish(spec.ID).State)
	}
	d.whole()
}

// TestRetryAtAnotherEntry guards against a second run of a non-idempotent call
// that its caller repeats at another entry, also after the first entry died.
func TestRetryAtAnotherEntry(t *testing.T) {
	d := newDeployment(t, 2, 2, 0)
	d.declare()
	d.ready(2)
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

	cut := newCall(standin.CallBody{Seconds: 1})
	cut.Idempotent = false
	answers := make(chan rosemarysill.Answer, 1)
	go func() { answers <- clients[0].Call(context.Background(), cut) }()
	d.eventually("call in progress", func() error {
		if d.calls.RunsOf(cut.ID)+d.upstreams["upstream-0"].Busy()+d.upstreams["upstream-1"].Busy() == 0 {
			return fmt.Errorf("not begun")
		}
		return nil
	})
	d.entries[0].kill(t)
	require.Equal(t, rosemarysill.TruthUnknown, (<-answers).Code.Truth())
	again := clients[1].Call(context.Background(), cut)
	require.Equal(t, rosemarysill.OutcomeUnknown, again.Code, again.Detail)
	require.LessOrEqual(t, d.calls.RunsOf(cut.ID), 1)
}

// TestDomainTakenOut guards against tasks that start in a failure domain after
// it was taken out, and against operators whose changes overwrite each other.
func TestDomainTakenOut(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declare()
	d.ready(4)
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
	for range 2 { // confirmed twice, one effect
		c, err := d.operator.Confirm(ctx, out.ID)
		require.NoError(t, err)
		require.Equal(t, rosemarysill.Done, c.Code, c.Detail)
		require.Equal(t, out.BaseRevision+1, c.Revision)
	}
	taken := time.Now()
	c, err := d.operator.Confirm(ctx, other.ID)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.PlanOutdated, c.Code)
	require.NotEmpty(t, c.Changes)

	bound := timings.StoreFresh + timings.ReserveFor + timings.BeatEvery
	d.eventually("time has passed", func() error {
		if time.Since(taken) < 2*bound {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	close(stop)
	<-submitted
	late, others := 0, 0
	for _, s := range d.tasks.Spans() {
		if s.Worker == "worker-1" && s.Start.After(taken.Add(bound)) {
			late++
		}
		if s.Worker != "worker-1" && s.Start.After(taken.Add(bound)) {
			others++
		}
	}
	require.Zero(t, late)
	require.Positive(t, others, "work went on elsewhere")
	d.whole()
}

// TestCancelRunning guards against a cancellation that leaves members running
// or is answered as not run.
func TestCancelRunning(t *testing.T) {
	d := newDeployment(t, 2, 0, 2)
	d.declare()
	d.ready(2)
	spec := d.submit(newJob(2, 8, `{"RunSeconds":60}`))
	d.reach(spec, rosemarysill.JobRunning)
	waiting := d.submit(newJob(2, 8, `{"RunSeconds":60}`))
	_, err := d.caller.Cancel(context.Background(), waiting.ID)
	require.NoError(t, err)
	_, err = d.caller.Cancel(context.Background(), spec.ID)
	require.NoError(t, err)
	end := d.finish(spec.ID)
	require.Equal(t, rosemarysill.StoppedByRequest, end.Code, end.Detail)
	require.Equal(t, rosemarysill.CancelledUnstarted, d.finish(waiting.ID).Code)
	for _, s := range d.tasks.Spans() {
		require.False(t, s.End.IsZero(), "a member still runs")
		require.Equal(t, spec.ID, s.Task.Job)
	}
}

// TestGuaranteeIsReclaimed guards against a guaranteed shape that is not there
// when its account claims it: another account has borrowed every accelerator.
func TestGuaranteeIsReclaimed(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declare()
	d.ready(4)
	shape := rosemarysill.Shape{Members: 2, Accelerators: 8, Processors: 1, MemoryMB: 64}
	d.change(rosemarysill.Intent{
		Kind: rosemarysill.Grant, Target: "Sfax Flippers",
		Guarantees: []rosemarysill.Guarantee{{Shape: shape, Count: 1}},
	})
	var borrowed []rosemarysill.JobSpec
	for range 8 {
		spec := newJob(1, 4, `{"RunSeconds":60}`)
		spec.Account = "Bizerte Arcades"
		borrowed = append(borrowed, d.submit(spec))
	}
	for _, spec := range borrowed {
		d.reach(spec, rosemarysill.JobRunning)
	}
	claim := newJob(2, 8, `{"RunSeconds":0.2,"Result":"claimed"}`)
	claim.Shape = shape
	d.submit(claim)
	require.Equal(t, "claimed", string(d.finish(claim.ID).Result))
	stopped := 0
	for _, spec := range borrowed {
		job, err := d.caller.Job(context.Background(), spec.ID)
		require.NoError(t, err)
		if job.Attempt > 1 || job.State == rosemarysill.JobQueued {
			stopped++
		}
		require.False(t, job.State.Final(), "borrowed work waits or runs again")
	}
	require.Equal(t, 4, stopped, "as little borrowed work as needed")
	d.whole()
}

// TestFaultyWorker guards against a worker that fails every task and keeps
// getting work, and against a job that fails everywhere and takes the workers
// out of service.
func TestFaultyWorker(t *testing.T) {
	d := newDeployment(t, 2, 0, 4)
	d.declare()
	d.ready(4)
	d.runtimes["worker-0"].SetFaults(standin.RuntimeFaults{FailTasks: true})
	var specs []rosemarysill.JobSpec
	for range 12 {
		specs = append(specs, d.submit(newJob(1, 8, `{"RunSeconds":0.3}`)))
	}
	for _, spec := range specs {
		job := d.finish(spec.ID)
		require.Equal(t, rosemarysill.JobDone, job.State, job.Detail)
	}
	failures := 0
	for _, s := range d.tasks.Spans() {
		if s.Worker == "worker-0" {
			failures++
		}
	}
	require.LessOrEqual(t, failures, 5, "three failures and trials")

	bad := d.finish(d.submit(newJob(1, 1, `{"Fail":true}`)).ID)
	require.Equal(t, rosemarysill.FailedEverywhere, bad.Code, bad.Detail)
	good := d.finish(d.submit(newJob(3, 8, `{}`)).ID)
	require.Equal(t, rosemarysill.JobDone, good.State, "the other workers are in service")
	d.whole()
}

// TestAllEntriesLost guards against a deployment that stays without placement
// after all entries were lost at once, although operators state that they are
// gone, and against new entries that act before that.
func TestAllEntriesLost(t *testing.T) {
	d := newDeployment(t, 2, 0, 2)
	d.declare()
	d.ready(2)
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
	d.ready(2)
	spec := newJob(2, 8, `{"Result":"placed"}`)
	d.eventually("submission", func() error { _, err := d.caller.Submit(ctx, spec); return err })
	require.Equal(t, "placed", string(d.finish(spec.ID).Result))
	d.whole()
}
