package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newConfirmedWorker returns the state of a worker that has announced itself and
// accepted a lease renewal at 0 ms.
func newConfirmedWorker(startedAtMS int64) *workerState {
	w := newWorkerState("a", 100)
	w.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: startedAtMS, Sequence: 1, State: work.WorkerReady}, at(0))
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(0))
	return w
}

// announceNext applies a status report of the next incarnation, and the reply of the worker
// that confirms it.
func (w *workerState) announceNext(t *testing.T, a work.Announcement, now time.Time) {
	first := w.incarnation()
	require.False(t, w.applyAnnouncement(a, now))
	require.Equal(t, first, w.incarnation(), "a report alone proves nothing")
	require.NotContains(t, w.endedIncarnations, first)
	require.Equal(t, confirmed, w.applyCandidateReply(a, work.RuntimeReply{Clock: time.Second, StartedAtMS: a.StartedAtMS}, w.fence, now))
	require.Empty(t, w.candidates)
}

// renewAt applies the reply to a lease renewal that was sent at the time of the reply.
func (w *workerState) renewAt(reply work.RuntimeReply, fence int64, now time.Time) bool {
	return w.applyRenewal(reply, fence, now, now)
}

func key(n int) work.RunKey { return work.RunKey{Task: work.TaskKey{Job: "j", Index: n}, Run: 1} }

// Guards against leases that last longer than the leader assumes: they have to start
// at the stamp of the report that it has echoed, and to allow for a worker whose clock
// is slow.
func TestLeaseDeadlineIsBounded(t *testing.T) {
	w := newConfirmedWorker(1)
	require.Zero(t, w.grantLease(at(0)), "no lease before the leader has extended it")
	require.True(t, w.applyLease(control.Orders{Epoch: 2, Echo: at(0), ExtendsLease: true}))
	d := w.grantLease(at(0))
	longest := time.Duration(float64(d-time.Second) / (1 - control.ClockDrift))
	require.LessOrEqual(t, longest, control.Lease)
	require.False(t, w.applyLease(control.Orders{Epoch: 1, Echo: at(3000), ExtendsLease: true}), "an earlier leader does not extend the lease")
	require.True(t, w.applyLease(control.Orders{Epoch: 2, Echo: at(3000)}))
	w.renewAt(work.RuntimeReply{Clock: 4 * time.Second}, w.fence, at(3000))
	require.InDelta(t, d, w.grantLease(at(3000)), float64(control.Lease)*control.ClockDrift, "orders without ExtendsLease do not extend it")
	require.Zero(t, w.grantLease(at(6000)), "no deadline after the lease has lapsed")
}

// Guards against a refusal that is reported while an earlier start without a reply
// may still be carried out.
func TestRefusalAfterUnansweredStart(t *testing.T) {
	w := newConfirmedWorker(1)
	fence := w.fence
	w.recordFailedStart(key(0), fence)
	require.Greater(t, w.fence, fence)
	require.False(t, w.recordRefusal(key(0), work.RefusedNoCapacity), "the worker has not replied to a higher fence")
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(10))
	require.True(t, w.recordRefusal(key(0), work.RefusedNoCapacity))
}

// Guards against a stop that is repeated while it is being carried out, and against a
// start that is neither accepted nor refused because its stop arrived first.
func TestStopBeforeStart(t *testing.T) {
	w := newConfirmedWorker(1)
	require.True(t, w.shouldStop(key(0), at(0)))
	w.settledRuns[key(0)] = settledRun{w.fence, at(0)}
	require.False(t, w.shouldStop(key(0), at(100)))
	require.True(t, w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(100)))
	require.Equal(t, []control.Refusal{{Key: key(0), Reason: work.RefusedOutdated}}, w.refused)
}

// Guards against late status reports of an earlier incarnation that are taken for the
// current one, and against a later incarnation with the same identifier that is not
// recognised.
func TestNewIncarnation(t *testing.T) {
	w := newConfirmedWorker(10)
	w.running = []work.RunStatus{{Key: key(0)}}
	require.False(t, w.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 5, Sequence: 9}, at(0)))
	require.False(t, w.applyAnnouncement(work.Announcement{ID: "old", StartedAtMS: 5, Sequence: 9}, at(0)))
	first, fence := w.incarnation(), w.fence
	require.True(t, w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 20}, w.fence, at(0)), "the reply is from a later incarnation")
	require.NotEqual(t, first, w.incarnation())
	require.Greater(t, w.fence, fence)
	require.Contains(t, w.endedIncarnations, first)
	require.Nil(t, w.report(at(0)).Worker, "no worker is reported until it has replied to the new fence")
	require.False(t, w.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 10, Sequence: 10}, at(0)))
}

// Guards against run ends that are dropped before the leader has recorded them, or
// reported again afterwards.
func TestRunEndsAreReportedUntilAcked(t *testing.T) {
	w := newConfirmedWorker(1)
	ended := []work.RunEnd{{Seq: 1, Key: key(0), Outcome: work.OutcomeDone}, {Seq: 2, Key: key(1), Outcome: work.OutcomeDone}}
	require.True(t, w.renewAt(work.RuntimeReply{Ended: ended}, w.fence, at(0)))
	require.Zero(t, w.ackedSeq)
	w.applyLease(control.Orders{Incarnation: w.incarnation(), AckedSeq: 1})
	require.Equal(t, uint64(1), w.ackedSeq)
	require.False(t, w.renewAt(work.RuntimeReply{Ended: ended}, w.fence, at(0)))
	require.Len(t, w.report(at(0)).Ended, 1)
	w.applyLease(control.Orders{Incarnation: "another", AckedSeq: 2})
	require.Equal(t, uint64(1), w.ackedSeq)
}

// Guards against an unresponsive worker that gets tasks, and against runs that are
// taken for ended before their leases have lapsed.
func TestUnresponsiveWorker(t *testing.T) {
	w := newConfirmedWorker(1)
	w.applyLease(control.Orders{Epoch: 1, Echo: at(0), ExtendsLease: true})
	w.grantLease(at(0))
	require.False(t, w.report(at(1000)).Worker.Unresponsive)
	worker := w.report(at(2000)).Worker
	require.True(t, worker.Unresponsive)
	require.False(t, worker.LeasesLapsed)
	lapsedAt := at(0).Add(control.Lease + control.LapseMargin)
	require.False(t, w.report(lapsedAt).Worker.LeasesLapsed)
	require.True(t, w.report(lapsedAt.Add(100*time.Millisecond)).Worker.LeasesLapsed)
}

// Guards against a leader that waits longer than the leases for runs that had begun: it
// tells them by this list from runs whose order may still be on its way.
func TestLapsedRunsAreReported(t *testing.T) {
	w := newConfirmedWorker(1)
	w.applyLease(control.Orders{Epoch: 1, Echo: at(0), ExtendsLease: true})
	w.grantLease(at(0))
	running := []work.RunStatus{{Key: key(0)}}
	ended := []work.RunEnd{{Seq: 1, Key: key(1), Outcome: work.OutcomeDone}}
	w.renewAt(work.RuntimeReply{Clock: time.Second, Running: running, Ended: ended}, w.fence, at(10))
	report := w.report(at(0).Add(control.Lease + control.LapseMargin + 100*time.Millisecond))
	require.True(t, report.Worker.LeasesLapsed)
	require.Equal(t, running, report.Running)
	require.Equal(t, ended, report.Ended, "the leader has not recorded it")
}

// Guards against fences that stay lower than those of an earlier process of the agent
// whose clock was ahead.
func TestFenceExceedsEarlierAgent(t *testing.T) {
	w := newConfirmedWorker(1)
	fence := w.fence
	w.applyReply(work.RuntimeReply{Refusal: work.RefusedFence}, fence, at(0))
	require.Greater(t, w.fence, fence+1000)
}

// Guards against runs of an unreachable worker that are never taken for ended: lease
// renewals that fail must not count as new leases.
func TestLeasesOfUnreachableWorkerLapse(t *testing.T) {
	w := newConfirmedWorker(1)
	lapsedAt := at(0).Add(unresponsiveAfter + control.Lease + control.LapseMargin + 100*time.Millisecond)
	for now := at(0); !now.After(lapsedAt); now = now.Add(100 * time.Millisecond) {
		w.applyLease(control.Orders{Epoch: 1, Echo: now, ExtendsLease: true})
		w.grantLease(now) // each renewal fails
	}
	require.True(t, w.report(lapsedAt).Worker.LeasesLapsed)
}

// Guards against an end that is presumed and not proved: a worker that only refuses
// connections goes on with its runs, so they count as ended only when its leases have
// lapsed. It gets no tasks and no leases meanwhile. Guards also against a worker that is
// reported for having refused connections for a moment.
func TestWorkerWithoutListener(t *testing.T) {
	w := newConfirmedWorker(1)
	first := w.incarnation()
	w.applyLease(control.Orders{Epoch: 1, Echo: at(0), ExtendsLease: true})
	require.NotZero(t, w.grantLease(at(0)))
	lapsedAt := at(0).Add(control.Lease + control.LapseMargin)
	refuse := func(ms int) bool { return w.recordNoListener(at(ms), at(ms)) }

	require.False(t, refuse(0))
	require.False(t, refuse(300))
	require.Zero(t, w.grantLease(at(300)), "the calls do not reach the worker")
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(350))
	require.NotZero(t, w.grantLease(at(360)))
	require.False(t, refuse(500))
	require.False(t, w.report(at(850)).Worker.NoListener, "it has replied in between")
	require.False(t, w.report(at(850)).Worker.Unresponsive)

	require.False(t, refuse(910))
	w.applyLease(control.Orders{Epoch: 1, Echo: at(900), ExtendsLease: true})
	for now := at(910); !now.After(lapsedAt); now = now.Add(100 * time.Millisecond) {
		require.False(t, w.recordNoListener(now, now))
		require.Zero(t, w.grantLease(now))
		report := w.report(now)
		require.True(t, report.Worker.NoListener)
		require.True(t, report.Worker.Unresponsive)
		require.False(t, report.Worker.LeasesLapsed)
		require.NotContains(t, report.EndedIncarnations, first)
	}
	require.True(t, w.report(lapsedAt.Add(100*time.Millisecond)).Worker.LeasesLapsed)

	w.renewAt(work.RuntimeReply{Clock: 8 * time.Second}, w.fence, at(8000))
	report := w.report(at(8000))
	require.False(t, report.Worker.NoListener, "it listens again")
	require.False(t, report.Worker.LeasesLapsed)
}

// Guards against a crashed worker whose runs wait for their leases to lapse although its
// next incarnation has confirmed, and against runs that are taken for ended before that:
// a start without a reply may have begun them in it.
func TestNextIncarnationProvesEnd(t *testing.T) {
	w := newConfirmedWorker(1)
	first := w.incarnation()
	w.recordNoListener(at(100), at(100))
	w.recordNoListener(at(600), at(600))
	require.True(t, w.report(at(600)).Worker.NoListener)
	w.announceNext(t, work.Announcement{ID: "i", StartedAtMS: 2, Sequence: 1, State: work.WorkerReady}, at(700))
	report := w.report(at(700))
	require.Nil(t, report.Worker)
	require.Empty(t, report.EndedIncarnations)
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(710))
	report = w.report(at(710))
	require.Contains(t, report.EndedIncarnations, first)
	require.False(t, report.Worker.NoListener)
	require.False(t, report.Worker.Unresponsive)
}

// Guards against a renewal reply that arrives out of order: it was made before a run
// was started and stopped, so it does not list the run. If this is taken for a refused
// start, the leader frees capacity that the run still uses while it is being stopped.
func TestOutOfOrderRenewalReply(t *testing.T) {
	w := newConfirmedWorker(1)
	w.recordAcceptedStart(key(0), at(100))
	w.settledRuns[key(0)] = settledRun{w.fence, at(120)}
	w.applyRenewal(work.RuntimeReply{Clock: time.Second}, w.fence, at(50), at(130))
	require.Empty(t, w.refused)
	require.True(t, w.hasRun(key(0)))
	w.applyRenewal(work.RuntimeReply{Clock: time.Second}, w.fence, at(110), at(140))
	require.Empty(t, w.refused, "the renewal was sent before the reply to the stop")
	w.applyRenewal(work.RuntimeReply{Clock: time.Second}, w.fence, at(130), at(150))
	require.Len(t, w.refused, 1)
}

// Guards against runs that are taken for ended with an earlier incarnation before it
// is known whether a late order has started them in the next one.
func TestEndedIncarnationIsReportedOnlyAfterNextIsConfirmed(t *testing.T) {
	w := newConfirmedWorker(1)
	first := w.incarnation()
	w.announceNext(t, work.Announcement{ID: "i", StartedAtMS: 2, Sequence: 1, State: work.WorkerReady}, at(100))
	require.Empty(t, w.report(at(110)).EndedIncarnations)
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(120))
	require.Contains(t, w.report(at(130)).EndedIncarnations, first)
}

// Guards against run ends of a new incarnation that the worker discards unreported:
// sequence numbers start again there, and after a call without a reply the next call
// may reach a new incarnation. Found by the soak test (seeds 103 and 142).
func TestAckedSeqIsNotSentAfterFailedCall(t *testing.T) {
	w := newConfirmedWorker(1)
	w.applyLease(control.Orders{Incarnation: w.incarnation(), AckedSeq: 30})
	require.Equal(t, uint64(30), w.discardableSeq())
	w.recordFailedCall()
	require.Zero(t, w.discardableSeq())
	w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 1}, w.fence, at(100))
	require.Equal(t, uint64(30), w.discardableSeq())
	w.recordFailedStart(key(0), w.fence)
	require.Zero(t, w.discardableSeq())
}

// Guards against a start that is refused because its run has already ended, and whose
// refusal is reported before the end is known: the end may say that the task is done.
// Found by the soak test (seed 315).
func TestOutdatedRefusalWaitsForRunEnd(t *testing.T) {
	w := newConfirmedWorker(1)
	w.recordFailedStart(key(0), w.fence)
	w.recordOutdatedStart(key(0), w.fence, at(10))
	require.Empty(t, w.report(at(10)).Refused)
	ended := []work.RunEnd{{Seq: 1, Key: key(0), Outcome: work.OutcomeDone}}
	w.applyRenewal(work.RuntimeReply{Clock: time.Second, Ended: ended}, w.fence, at(20), at(21))
	r := w.report(at(22))
	require.Len(t, r.Ended, 1)
	require.Empty(t, r.Refused)

	w.recordOutdatedStart(key(1), w.fence, at(30))
	w.applyRenewal(work.RuntimeReply{Clock: time.Second, Ended: ended}, w.fence, at(40), at(41))
	require.Equal(t, []control.Refusal{{Key: key(1), Reason: work.RefusedOutdated}}, w.report(at(42)).Refused, "the worker has already discarded its end")
}

// Guards against a run that is listed both as running and as ended in one report: its
// capacity would count as used until the next report.
func TestEndedRunIsNotListedAsRunning(t *testing.T) {
	w := newConfirmedWorker(1)
	w.recordAcceptedStart(key(0), at(100))
	ended := []work.RunEnd{{Seq: 1, Key: key(0), Outcome: work.OutcomeDone}}
	w.applyRenewal(work.RuntimeReply{Clock: time.Second, Ended: ended}, w.fence, at(50), at(300))
	r := w.report(at(301))
	require.Len(t, r.Ended, 1)
	require.Empty(t, r.Running)
}

// Guards against a worker that refuses all connections and gets tasks for another
// 1.5 s, the time allowed to a slow worker.
func TestFailedCallsMakeWorkerUnresponsive(t *testing.T) {
	w := newConfirmedWorker(1)
	w.recordFailedCall()
	w.recordFailedCall()
	require.False(t, w.report(at(400)).Worker.Unresponsive, "two failed calls are not enough")
	w.recordFailedCall()
	require.False(t, w.report(at(100)).Worker.Unresponsive, "three failed calls count only after failedCallsGrace")
	require.True(t, w.report(at(400)).Worker.Unresponsive)
	require.False(t, w.report(at(400)).Worker.LeasesLapsed)
	w.applyReply(work.RuntimeReply{Clock: time.Second}, w.fence, at(500))
	require.False(t, w.report(at(900)).Worker.Unresponsive)
}

// Guards against a run whose start is abandoned, and which starts on another worker,
// although a start without a reply was or may still be carried out.
func TestAbandonStartNeedsLaterRenewal(t *testing.T) {
	w := newConfirmedWorker(1)
	fence := w.fence
	w.recordFailedStart(key(0), fence)
	require.False(t, w.abandonStart(key(0)), "no lease renewal has been accepted since")
	w.applyRenewal(work.RuntimeReply{Clock: time.Second}, fence, at(10), at(20))
	require.False(t, w.abandonStart(key(0)), "the renewal had the fence of the start")
	running := []work.RunStatus{{Key: key(0)}}
	w.applyRenewal(work.RuntimeReply{Clock: time.Second, Running: running}, w.fence, at(30), at(40))
	require.False(t, w.abandonStart(key(0)), "the run is listed as running")
	require.False(t, w.abandonStart(key(1)), "all its starts have got a reply")
	w.applyRenewal(work.RuntimeReply{Clock: time.Second}, w.fence, at(50), at(60))
	require.True(t, w.abandonStart(key(0)))
}
