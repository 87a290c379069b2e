package runner

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// minSeries and minSeriesTime are the least length of a series that replaces the present
	// report. Reports that were held up arrive together, in less than minSeriesTime.
	minSeries     = 3
	minSeriesTime = 2 * time.Second
)

// reportSeries is a series of reports that were not applied. They agree with each other and
// arrived in order.
type reportSeries struct {
	latest    work.Announcement
	count     int
	replaceAt time.Time // the series replaces the present report from then on
}

// sameProperties reports whether two announcements agree in what does not change within an
// incarnation.
func sameProperties(a, b work.Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain &&
		slices.Equal(slices.Sorted(slices.Values(a.Labels)), slices.Sorted(slices.Values(b.Labels)))
}

// follows reports whether a report of the same incarnation is a later one of the same sender.
func follows(a, previous work.Announcement) bool {
	return a.Sequence > previous.Sequence && sameProperties(a, previous)
}

// shouldApply reports whether a report of the current incarnation replaces the present one.
// It has to follow the present one, unless that was derived from the one of the former
// incarnation, or a series of reports shows that it came from another sender.
func (w *workerState) shouldApply(a work.Announcement, now time.Time) bool {
	if w.announcement.Sequence == 0 && a.Sequence > 0 || follows(a, w.announcement) {
		w.series = reportSeries{}
		return true
	}
	s := &w.series
	if s.count == 0 || !follows(a, s.latest) {
		*s = reportSeries{latest: a, count: 1, replaceAt: now.Add(minSeriesTime)}
		return false
	}
	s.latest, s.count = a, s.count+1
	if s.count < minSeries || now.Before(s.replaceAt) {
		return false
	}
	w.series = reportSeries{}
	return true
}
