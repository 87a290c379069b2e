package leader

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// conflictingStore rejects the first commit with the given items and accepts later ones.
type conflictingStore struct {
	rosemarysill.TransactionalStore
	items   []rosemarysill.Item
	commits int
}

func (s *conflictingStore) Commit(context.Context, rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	s.commits++
	if s.commits == 1 {
		return 0, s.items, rosemarysill.ErrVersion
	}
	return 20, nil, nil
}

// Guards against a leader that writes over the progress of a job that it has not read,
// so that the tasks of that job start again, and against one that gives up its commit
// because the answer of an earlier try was lost.
func TestCommitConflict(t *testing.T) {
	j, _, other := storedJob(t)
	p := work.NewProgress(j)
	p.Place(&p.Tasks[0], "b/i/1", "", 1)
	own, err := jobstore.EncodeProgress(p)
	require.NoError(t, err)
	leader := rosemarysill.Item{Key: jobstore.LeaderKey, Version: 10}
	key := jobstore.ProgressKey("j")
	for name, c := range map[string]struct {
		items []rosemarysill.Item
		want  error
	}{
		"earlier try took effect":        {[]rosemarysill.Item{leader, {Key: key, Value: own, Version: 15}}, nil},
		"progress of an earlier leader":  {[]rosemarysill.Item{leader, {Key: key, Value: other, Version: 8}}, errUnknownProgress},
		"progress removed":               {[]rosemarysill.Item{leader, {Key: key}}, errUnknownProgress},
		"another leader":                 {[]rosemarysill.Item{{Key: jobstore.LeaderKey, Version: 12}, {Key: key, Value: own, Version: 15}}, errDeposed},
		"leader record expired at store": {[]rosemarysill.Item{{Key: key, Value: other, Version: 8}}, errDeposed},
	} {
		t.Run(name, func(t *testing.T) {
			store := &conflictingStore{items: c.items}
			term := newTerm(Config{Store: store, Cache: jobstore.NewCache(store, zerolog.Nop()), Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 2}, 10, 1, uptime.Now().Add(time.Minute))
			s := &jobState{job: j, progress: work.NewProgress(j), version: 3}
			s.committed = append(s.committed, s.progress.Tasks...)
			term.jobs["j"] = s
			b := &batch{changes: []change{{s, own, p.Tasks}}}
			err := term.commit(context.Background(), b)
			require.Equal(t, 1, store.commits, "nothing is written over")
			if c.want != nil {
				require.True(t, errors.Is(err, c.want), "%v", err)
				require.Zero(t, s.committed[0].Run)
				return
			}
			require.NoError(t, err)
			require.Equal(t, 1, s.committed[0].Run)
			require.EqualValues(t, 15, s.version)
		})
	}
}
