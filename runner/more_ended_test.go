package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a run whose end the worker has not listed yet, because it has ended more
// runs than a reply holds, and which is reported as refused: it would start again on
// another worker although it is done.
func TestRunWithUnlistedEndIsNotRefused(t *testing.T) {
	for name, refuse := range map[string]func(w *workerState){
		"start refused as outdated": func(w *workerState) { w.recordOutdatedStart(key(1), w.fence, at(20)) },
		"start without a reply": func(w *workerState) {
			w.recordFailedStart(key(1), w.fence)
			w.abandonStart(key(1))
		},
		"stop answered":                func(w *workerState) { w.settledRuns[key(1)] = settledRun{w.fence, at(20)} },
		"refused by a draining worker": func(w *workerState) { w.recordRefusal(key(1), work.RefusedDraining) },
		"refused for its capacity":     func(w *workerState) { w.recordRefusal(key(1), work.RefusedNoCapacity) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newConfirmedWorker(1)
			renew := func(ms int, more bool, ended ...work.RunEnd) bool {
				return w.renewAt(work.RuntimeReply{Clock: time.Second, Ended: ended, MoreEnded: more}, w.fence, at(ms))
			}
			first, second := work.RunEnd{Seq: 1, Key: key(0), Outcome: work.OutcomeDone}, work.RunEnd{Seq: 2, Key: key(1), Outcome: work.OutcomeDone}
			require.True(t, renew(10, true, first))
			refuse(w)
			require.False(t, renew(30, true, first))
			w.abandonStart(key(1))
			report := w.report(at(30))
			require.Empty(t, report.Refused)
			require.True(t, report.MoreEnded)
			require.Len(t, report.Ended, 1)

			w.applyLease(control.Orders{Epoch: 1, Incarnation: w.incarnation(), AckedSeq: 1})
			require.True(t, renew(40, false, second))
			w.abandonStart(key(1))
			report = w.report(at(40))
			require.Empty(t, report.Refused)
			require.False(t, report.MoreEnded)
			require.Equal(t, []work.RunEnd{second}, report.Ended)
		})
	}
}

// Guards against a refused run that is never reported once the worker lists all ends.
func TestRefusalAfterAllEndsAreListed(t *testing.T) {
	w := newConfirmedWorker(1)
	w.renewAt(work.RuntimeReply{Clock: time.Second, MoreEnded: true}, w.fence, at(10))
	w.recordOutdatedStart(key(1), w.fence, at(20))
	require.True(t, w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(30)))
	require.Equal(t, []control.Refusal{{Key: key(1), Reason: work.RefusedOutdated}}, w.report(at(30)).Refused)
}

// Guards against calls that repeat a start which the worker refuses as outdated, while it
// waits for the lists of ended runs.
func TestOutdatedStartIsNotRepeated(t *testing.T) {
	worker := &recoveringWorker{}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	now := uptime.Now()
	r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
	r.worker.renewAt(work.RuntimeReply{Clock: time.Second, MoreEnded: true}, r.worker.fence, now)
	r.worker.recordOutdatedStart(key(0), r.worker.fence, now)
	r.applyOrders(t.Context(), control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation(), Starts: []work.Start{{Key: key(0)}}})
	require.Empty(t, r.inFlight)
	require.Zero(t, worker.count())
}
