package leader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maxBatchJobs is the number of jobs in one commit. The store takes 32 entries per
	// commit: the guard of the leader record, and a guard and a write for each job.
	maxBatchJobs = 15
	// commitRetryDelay is the delay before a commit is repeated.
	commitRetryDelay = 30 * time.Millisecond
	// commitLogInterval is the least time between two lines about the failures of one
	// commit. A store that refuses calls may do so for as long as maxSuspension.
	commitLogInterval = time.Second
	// A commit is expected in the watch of the records within minDeliveryDelay, or within
	// deliveryFactor times the duration of its call if the store is slow.
	minDeliveryDelay = 150 * time.Millisecond
	deliveryFactor   = 3
)

// change is the new progress of one job in a batch.
type change struct {
	state *jobState
	value []byte
	tasks []work.Task
}

// batch is one commit of the progress of jobs.
type batch struct {
	changes     []change
	complete    bool              // contains all progress that differs from the records
	appliedSeqs map[string]uint64 // last run end that the progress contains, by incarnation
}

// collectBatch collects the jobs whose progress differs from their records. It returns
// nil if there are none.
func (t *term) collectBatch() *batch {
	b := &batch{complete: true, appliedSeqs: make(map[string]uint64)}
	for _, s := range t.jobs {
		if !s.dirty {
			continue
		}
		if len(b.changes) == maxBatchJobs {
			b.complete = false
			break
		}
		value, err := jobstore.EncodeProgress(s.progress)
		if err != nil {
			event.QueueRecordBad.Log(t.cfg.Log).Str("Job", s.job.ID).Err(err).Send()
			s.dirty = false
			continue
		}
		s.dirty, s.checkpointsDirty = false, false
		b.changes = append(b.changes, change{s, value, slices.Clone(s.progress.Tasks)})
	}
	for id, w := range t.workers {
		b.appliedSeqs[id] = w.appliedSeq
	}
	if len(b.changes) == 0 {
		t.markEndsCommitted(b)
		return nil
	}
	return b
}

// markEndsCommitted marks the run ends that a complete batch contains as committed, so
// that they are acknowledged to the agents.
func (t *term) markEndsCommitted(b *batch) {
	if !b.complete {
		return
	}
	for id, n := range b.appliedSeqs {
		if w, ok := t.workers[id]; ok && n > w.committedSeq {
			w.committedSeq = n
			t.wakeStream(id)
		}
	}
}

var (
	errDeposed         = errors.New("another entry leads, or the leader record has expired")
	errUnknownProgress = errors.New("the store has progress of a job that this leader has not read")
)

// commit writes a batch. It repeats the commit until the outcome is known. If a try took
// effect but its response was lost, the next one fails on its guards, and
// resolveConflict finds the values of the batch in the store.
func (t *term) commit(ctx context.Context, b *batch) error {
	c := rosemarysill.Commit{Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.leaderVersion}}}
	for _, ch := range b.changes {
		key := jobstore.ProgressKey(ch.state.job.ID)
		c.Guards = append(c.Guards, rosemarysill.Guard{Key: key, Version: ch.state.version})
		c.Writes = append(c.Writes, rosemarysill.Write{Key: key, Value: ch.value})
	}
	var logged time.Time
	for {
		sent := uptime.Now()
		callCtx, end := t.contact.begin(ctx)
		revision, items, err := t.cfg.Store.Commit(callCtx, c)
		interrupted := end()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case err == nil:
			t.applyCommit(b, revision)
			t.expectDelivery(revision, sent)
			return nil
		case errors.Is(err, rosemarysill.ErrVersion):
			return t.resolveConflict(b, c, items)
		case interrupted:
			t.cfg.Log.Debug().Err(err).Msg("the store replies to later calls; the commit is repeated")
		default:
			if now := uptime.Now(); now.Sub(logged) >= commitLogInterval {
				logged = now
				event.LeaderCommitFailed.Log(t.cfg.Log).Int("Jobs", len(b.changes)).Err(err).Send()
			}
			uptime.Sleep(ctx, commitRetryDelay)
		}
	}
}

// expectDelivery has the cache check that its watch delivers the commit. New jobs arrive
// by the same watch, and no other call shows that it has stopped delivering.
func (t *term) expectDelivery(revision uint64, sent time.Time) {
	now := uptime.Now()
	t.cfg.Cache.Expect(revision, now.Add(max(minDeliveryDelay, deliveryFactor*now.Sub(sent))))
}

// resolveConflict handles a commit whose guards did not hold. An earlier try of the same
// commit may have taken effect. Otherwise the records have changes that this leader has
// not read, and it must not write over them.
func (t *term) resolveConflict(b *batch, c rosemarysill.Commit, items []rosemarysill.Item) error {
	found := make(map[string]rosemarysill.Item, len(items))
	for _, i := range items {
		found[i.Key] = i
	}
	if version := found[jobstore.LeaderKey].Version; version != t.leaderVersion {
		t.mu.Lock()
		t.recordGone = version == 0
		t.mu.Unlock()
		return errors.Wrapf(errDeposed, "commit of %d jobs: leader record has version %d, expected %d", len(b.changes), version, t.leaderVersion)
	}
	for i, ch := range b.changes {
		guard := c.Guards[i+1]
		if item := found[guard.Key]; !bytes.Equal(item.Value, ch.value) {
			return errors.Wrapf(errUnknownProgress, "commit of %d jobs: %s has version %d, expected %d", len(b.changes), guard.Key, item.Version, guard.Version)
		}
	}
	t.applyCommit(b, found[c.Guards[1].Key].Version)
	return nil
}

// applyCommit records that a batch is committed and wakes the streams of the workers
// whose placements it contains.
func (t *term) applyCommit(b *batch, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ch := range b.changes {
		s := ch.state
		for i := range ch.tasks {
			if w := ch.tasks[i].Worker; w != "" && (s.committed[i].Worker != w || s.committed[i].Run != ch.tasks[i].Run) {
				t.wakeStream(w)
			}
		}
		s.version, s.committed = revision, ch.tasks
		if s.progress.State.Final() && !s.endLogged {
			s.endLogged = true
			t.cfg.Meter.ObserveEnd(s.job.Account, s.job.Priority, string(s.progress.State), time.Since(s.job.Accepted))
			event.LeaderJobEnded.Log(t.cfg.Log).Str("Job", s.job.ID).Str("State", string(s.progress.State)).
				Dur("Took", time.Since(s.job.Accepted)).Dur("Objective", objective(s.job)).Send()
		}
	}
	t.markEndsCommitted(b)
}
