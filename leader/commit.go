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
	// maxBatch is the number of jobs in a commit. The store takes 32 entries:
	// a guard for the lead, and a guard and a write for each job.
	maxBatch = 15
	// commitPause is the pause before a commit is repeated.
	commitPause = 30 * time.Millisecond
)

// change is one job of a batch.
type change struct {
	state *jobState
	value []byte
	tasks []work.Task
}

// batch is a commit of progress.
type batch struct {
	changes []change
	whole   bool              // it has all that differs from the records
	applied map[string]uint64 // ends that it records, by worker
}

// gather collects the jobs whose progress differs from their records.
func (t *term) gather() *batch {
	b := &batch{whole: true, applied: make(map[string]uint64)}
	for _, s := range t.jobs {
		if !s.dirty {
			continue
		}
		if len(b.changes) == maxBatch {
			b.whole = false
			break
		}
		value, err := jobstore.EncodeProgress(s.progress)
		if err != nil {
			event.QueueRecordBad.Log(t.cfg.Log).Str("Job", s.job.ID).Err(err).Send()
			s.dirty = false
			continue
		}
		s.dirty, s.stale = false, false
		b.changes = append(b.changes, change{s, value, slices.Clone(s.progress.Tasks)})
	}
	for id, w := range t.workers {
		b.applied[id] = w.applied
	}
	if len(b.changes) == 0 {
		t.record(b)
		return nil
	}
	return b
}

// record notes which ends are committed.
func (t *term) record(b *batch) {
	if !b.whole {
		return
	}
	for id, n := range b.applied {
		if w, ok := t.workers[id]; ok && n > w.recorded {
			w.recorded = n
			t.poke(id)
		}
	}
}

var errDeposed = errors.New("another entry leads, or the record of the leader has lapsed")

// commit writes a batch. It is repeated until it is known whether it took
// effect: a repeated commit whose first try took effect finds its own values.
func (t *term) commit(ctx context.Context, b *batch) error {
	c := rosemarysill.Commit{Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.at}}}
	for _, ch := range b.changes {
		key := jobstore.ProgressKey(ch.state.job.ID)
		c.Guards = append(c.Guards, rosemarysill.Guard{Key: key, Version: ch.state.version})
		c.Writes = append(c.Writes, rosemarysill.Write{Key: key, Value: ch.value})
	}
	for {
		revision, items, err := t.cfg.Store.Commit(ctx, c)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case err == nil:
			t.committed(b, revision)
			return nil
		case errors.Is(err, rosemarysill.ErrVersion):
			done, err := t.resolve(b, &c, items)
			if err != nil || done {
				return err
			}
		default:
			event.LeaderCommitFailed.Log(t.cfg.Log).Int("Jobs", len(b.changes)).Err(err).Send()
			uptime.Sleep(ctx, commitPause)
		}
	}
}

// resolve looks at a commit whose guards did not hold. It reports whether an
// earlier try of the same commit took effect; otherwise it takes the versions
// over for the next try.
func (t *term) resolve(b *batch, c *rosemarysill.Commit, items []rosemarysill.Item) (bool, error) {
	found := make(map[string]rosemarysill.Item, len(items))
	for _, i := range items {
		found[i.Key] = i
	}
	if found[jobstore.LeaderKey].Version != t.at {
		return false, errDeposed
	}
	same := true
	for i, ch := range b.changes {
		item := found[c.Guards[i+1].Key]
		same = same && bytes.Equal(item.Value, ch.value)
		c.Guards[i+1].Version = item.Version
	}
	if same {
		t.committed(b, found[c.Guards[1].Key].Version)
	}
	return same, nil
}

// committed takes note of a commit and lets the agents know.
func (t *term) committed(b *batch, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ch := range b.changes {
		s := ch.state
		for i := range ch.tasks {
			if w := ch.tasks[i].Worker; w != "" && (s.recorded[i].Worker != w || s.recorded[i].Run != ch.tasks[i].Run) {
				t.poke(w)
			}
		}
		s.version, s.recorded = revision, ch.tasks
		if s.progress.State.Final() && !s.announced {
			s.announced = true
			t.cfg.Meter.ObserveEnd(s.job.Account, s.job.Priority, string(s.progress.State), time.Since(s.job.Accepted))
			event.LeaderJobEnded.Log(t.cfg.Log).Str("Job", s.job.ID).Str("State", string(s.progress.State)).
				Dur("Took", time.Since(s.job.Accepted)).Dur("Objective", objective(s.job)).Send()
		}
	}
	t.record(b)
}
