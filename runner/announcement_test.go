package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a worker that is lost for good because another sender reports under its
// identifier and start: with another service or label no task is placed there, and with a
// high sequence number the worker's own reports count as late.
func TestForeignReportUnderOwnIncarnation(t *testing.T) {
	other := func(change func(*work.Announcement)) work.Announcement {
		a := announcement("i", 1000, 1_000_000)
		change(&a)
		return a
	}
	for name, tc := range map[string]struct {
		foreign work.Announcement
		applied bool // for some heartbeats
	}{
		"another service": {foreign: other(func(a *work.Announcement) { a.Service = "another" })},
		"no labels":       {foreign: other(func(a *work.Announcement) { a.Labels, a.Rack = nil, "" })},
		"another domain":  {foreign: other(func(a *work.Announcement) { a.Domain = "" })},
		"draining":        {foreign: other(func(a *work.Announcement) { a.State = work.WorkerDraining }), applied: true},
		"no capacity":     {foreign: other(func(a *work.Announcement) { a.Capacity = work.Shape{} }), applied: true},
	} {
		for when, first := range map[string]bool{"later": false, "as the first report": true} {
			t.Run(name+" "+when, func(t *testing.T) {
				w := newWorkerState("a", 1)
				if !first {
					w.applyAnnouncement(announcement("i", 1000, 5), at(0))
				}
				w.applyAnnouncement(tc.foreign, at(100))
				w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 1000}, w.fence, at(200))
				if !first && !tc.applied {
					require.Equal(t, "s", w.report(at(200)).Worker.Service)
					require.Equal(t, []string{"b", "r1-1"}, w.report(at(200)).Worker.Labels)
					require.Equal(t, "d", w.report(at(200)).Worker.Domain)
				}
				reports := 1
				if first || tc.applied {
					reports = minSeries
				}
				const heartbeat = 1500
				now := 200
				for i := range reports {
					now += heartbeat
					w.applyAnnouncement(announcement("i", 1000, uint64(6+i)), at(now))
				}
				worker := w.report(at(now)).Worker
				require.Equal(t, accelerators(8), worker.Capacity)
				require.Equal(t, "s", worker.Service)
				require.Equal(t, "d", worker.Domain)
				require.Equal(t, []string{"b", "r1-1"}, worker.Labels)
				require.False(t, worker.Draining)
				require.Equal(t, uint64(5+reports), w.announcement.Sequence)
			})
		}
	}
}

// Guards against a worker that gets tasks although it drains, because reports from before
// were held up and arrive after the one that says so.
func TestReportsThatWereHeldUpChangeNothing(t *testing.T) {
	w := newWorkerState("a", 1)
	w.applyAnnouncement(announcement("i", 1000, 1), at(0))
	w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 1000}, w.fence, at(0))
	draining := announcement("i", 1000, 9)
	draining.State = work.WorkerDraining
	w.applyAnnouncement(draining, at(8000))
	for sequence := range uint64(7) {
		w.applyAnnouncement(announcement("i", 1000, sequence+2), at(8000+int(sequence)))
		require.True(t, w.report(at(8000)).Worker.Draining)
	}
}
