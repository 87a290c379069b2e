package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// listedStore is a store whose list has the given items, and whose watch delivers the
// changes once a channel is closed.
type listedStore struct {
	rosemarysill.TransactionalStore
	items    []rosemarysill.Item
	revision uint64 // of the list
	changes  []rosemarysill.Change
	next     uint64 // revision after the changes
	deliver  chan struct{}
}

func (s *listedStore) List(_ context.Context, prefix string) ([]rosemarysill.Item, uint64, error) {
	if prefix != jobstore.Prefix {
		return nil, s.revision, nil
	}
	return s.items, s.revision, nil
}

func (s *listedStore) Watch(ctx context.Context, prefix string, after uint64, _ time.Duration) ([]rosemarysill.Change, uint64, error) {
	if prefix == jobstore.Prefix && after < s.next {
		select {
		case <-s.deliver:
			return s.changes, s.next, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// loadTerm loads a term with a leader record of version 10 from a cache of the store.
func loadTerm(t *testing.T, store rosemarysill.TransactionalStore) *term {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	cache := jobstore.NewCache(store, zerolog.Nop())
	done := make(chan struct{})
	go func() { defer close(done); cache.Run(ctx) }()
	defer func() { cancel(); <-done }()
	term := newTerm(Config{Cache: cache, Store: store, Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 2}, 10, 1, uptime.Now().Add(time.Minute))
	require.True(t, term.load(ctx))
	return term
}

// storedJob returns a job of one task, the item of its record, and the encoded progress
// with run 1 of the task on a worker.
func storedJob(t *testing.T) (*work.Job, rosemarysill.Item, []byte) {
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 1}}}
	value, err := jobstore.EncodeJob(j)
	require.NoError(t, err)
	p := work.NewProgress(j)
	p.Place(&p.Tasks[0], "a/i/1", "", 1)
	progress, err := jobstore.EncodeProgress(p)
	require.NoError(t, err)
	return j, rosemarysill.Item{Key: jobstore.JobKey("j"), Value: value, Version: 3}, progress
}

func leaderItem(t *testing.T) rosemarysill.Item {
	value, err := jobstore.EncodeLeader(jobstore.LeaderRecord{Epoch: 2})
	require.NoError(t, err)
	return rosemarysill.Item{Key: jobstore.LeaderKey, Value: value, Version: 10}
}

// Guards against a leader that starts the tasks of an earlier leader again because its
// cache shows its own election, but not all changes before it.
func TestLoadAwaitsChangesBeforeElection(t *testing.T) {
	_, job, progress := storedJob(t)
	store := &listedStore{
		items: []rosemarysill.Item{job, leaderItem(t)}, revision: 5, deliver: make(chan struct{}), next: 10,
		changes: []rosemarysill.Change{{Item: rosemarysill.Item{Key: jobstore.ProgressKey("j"), Value: progress, Version: 8}, Revision: 8}},
	}
	time.AfterFunc(200*time.Millisecond, func() { close(store.deliver) })
	term := loadTerm(t, store)
	require.Equal(t, 1, term.jobs["j"].progress.Tasks[0].Run)
	require.EqualValues(t, 8, term.jobs["j"].version)
}

// Guards against tasks that start again because the record of their progress cannot be
// decoded or is that of another job.
func TestJobWithUnreadableProgressDoesNotStart(t *testing.T) {
	j, job, progress := storedJob(t)
	other, err := jobstore.EncodeProgress(work.NewProgress(&work.Job{ID: "j", Steps: []work.Step{{Count: 2}}}))
	require.NoError(t, err)
	for name, c := range map[string]struct {
		value   []byte
		changed []byte // value of a later change
		loaded  bool
	}{
		"readable":            {progress, nil, true},
		"truncated":           {progress[:len(progress)/2], nil, false},
		"empty":               {[]byte{}, nil, false},
		"of another job":      {other, nil, false},
		"undecodable change":  {progress, []byte("{"), false},
		"decodable afterward": {[]byte("{"), progress, true},
	} {
		t.Run(name, func(t *testing.T) {
			deliver := make(chan struct{})
			close(deliver)
			key := jobstore.ProgressKey("j")
			store := &listedStore{items: []rosemarysill.Item{job, {Key: key, Value: c.value, Version: 4}}, revision: 5, deliver: deliver, next: 10}
			if c.changed != nil {
				store.changes = append(store.changes, rosemarysill.Change{Item: rosemarysill.Item{Key: key, Value: c.changed, Version: 8}, Revision: 8})
			}
			store.changes = append(store.changes, rosemarysill.Change{Item: leaderItem(t), Revision: 10})
			term := loadTerm(t, store)
			s := term.jobs[j.ID]
			if !c.loaded {
				require.Nil(t, s)
				require.Empty(t, term.units(nil))
				return
			}
			require.Equal(t, 1, s.progress.Tasks[0].Run)
		})
	}
}
