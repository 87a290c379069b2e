package leader

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
)

const (
	// retainFactor is the multiple of the time for which the state of a job is
	// told after which its records are removed. A late repetition of the
	// request must find them.
	retainFactor = 5
	// sweepEvery is the time between two looks for records to remove.
	sweepEvery = 10 * time.Second
	// maxSwept is the number of jobs removed in a commit: three keys of each
	// and a guard are within the 32 entries that the store takes.
	maxSwept = 10
)

// sweep removes the records of jobs that ended long ago.
func (t *term) sweep(ctx context.Context, now time.Time) {
	if now.Sub(t.sweptAt) < sweepEvery {
		return
	}
	t.sweptAt = now
	c := rosemarysill.Commit{Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.at}}}
	var ids []string
	t.mu.Lock()
	for id, s := range t.jobs {
		if len(ids) < maxSwept && s.settled() && time.Since(s.progress.Ended) > retainFactor*t.cfg.StatusRetention {
			ids = append(ids, id)
			c.Remove = append(c.Remove, jobstore.JobKey(id), jobstore.ProgressKey(id), jobstore.CancelKey(id))
		}
	}
	t.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	if _, _, err := t.cfg.Store.Commit(ctx, c); err != nil {
		event.LeaderCommitFailed.Log(t.cfg.Log).Int("Removed", len(ids)).Err(err).Send()
		return // the next sweep tries again
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		delete(t.jobs, id)
	}
}

// settled reports whether a job is final in the store and nothing of it runs.
func (s *jobState) settled() bool {
	return s.progress.State.Final() && !s.dirty && !s.progress.Ended.IsZero() && !s.progress.Placed()
}
