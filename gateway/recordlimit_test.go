package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against legal jobs whose records take more memory than the smallest entry has for
// them, against one client account that takes all of it, and against a limit that jobs within
// the limits of the design meet.
func TestRecordLimit(t *testing.T) {
	large := work.Step{Count: work.MaxTasks}
	ordinary := work.Step{Count: 40}
	for name, tc := range map[string]struct {
		memoryMB  int64
		spec      int
		step      work.Step
		jobs      int  // submitted by the account
		wantOther bool // a job of another account is admitted afterwards
		wantAll   bool // all jobs are admitted
	}{
		"many tasks":                           {144, 0, large, 100, true, false},
		"ordinary jobs, smallest entry":        {144, work.MaxSpecBytes, ordinary, 700, true, true},
		"ordinary jobs without a memory limit": {0, work.MaxSpecBytes, ordinary, 5000, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Config{Cache: jobstore.NewCache(standin.NewTransactions().View("e"), zerolog.Nop()), MemoryMB: tc.memoryMB})
			now := time.Unix(1_800_000_000, 0)
			admitted, bytes := 0, int64(0)
			job := func(account string, n int) *work.Job {
				return &work.Job{ID: account + string(rune(n)), Account: account, Spec: string(make([]byte, tc.spec)), Steps: []work.Step{tc.step}}
			}
			for n := range tc.jobs {
				if j := job("a", n); g.admitRecords(j, now) {
					admitted++
					bytes += jobstore.Bytes(j)
					require.True(t, g.admitRecords(j, now), "another try of an admitted job")
				}
			}
			require.NotZero(t, admitted)
			require.Equal(t, tc.wantAll, admitted == tc.jobs)
			require.LessOrEqual(t, bytes, g.recordBytes()/accountDivisor)
			require.Equal(t, tc.wantOther, g.admitRecords(job("b", 0), now))
			require.True(t, g.admitRecords(job("a", tc.jobs), now.Add(2*unseenTime)), "jobs that were not written count no more")
		})
	}
}
