package leader

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
)

const (
	// retentionFactor is the multiple of Config.StatusRetention after which the records
	// of a final job are removed. A client that repeats the submission late must still
	// find them.
	retentionFactor = 5
	// sweepInterval is the time between two sweeps for records to remove.
	sweepInterval = 10 * time.Second
	// maxSweepJobs is the number of jobs removed in one commit. The store takes 32
	// entries per commit: a guard, and three keys of each job.
	maxSweepJobs = 10
)

// sweep removes the records of jobs whose retention period has ended.
func (t *term) sweep(ctx context.Context, now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	c := rosemarysill.Commit{Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.leaderVersion}}}
	var ids []string
	t.mu.Lock()
	for id, s := range t.jobs {
		if len(ids) < maxSweepJobs && s.isRemovable() && time.Since(s.progress.Ended) > retentionFactor*t.cfg.StatusRetention {
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

// isRemovable reports whether a job is final in the store and none of its tasks is
// placed.
func (s *jobState) isRemovable() bool {
	return s.progress.State.Final() && !s.dirty && !s.progress.Ended.IsZero() && !s.progress.Placed()
}
