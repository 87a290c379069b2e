package leader

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against jobs that fail wherever they start and have one worker after the other
// avoided, until no other job has a worker, and against a worker that fails what it starts
// and is not avoided.
func TestFailuresOfJobsAndOfWorkers(t *testing.T) {
	const workers = 6
	type end struct {
		job, worker int
		outcome     work.Outcome
		ms          int
	}
	rounds := func(of func(worker int) []end) []end {
		var all []end
		for w := range workers {
			all = append(all, of(w)...)
		}
		return all
	}
	for name, tc := range map[string]struct {
		ends []end
		want int // number of workers that are avoided
	}{
		"two jobs fail everywhere": {rounds(func(w int) []end {
			return []end{{0, w, work.OutcomeFailed, 0}, {1, w, work.OutcomeFailed, 0}}
		}), 2},
		"the same after a success": {append([]end{{0, 0, work.OutcomeFailed, 0}, {0, 1, work.OutcomeFailed, 0}, {0, 5, work.OutcomeDone, 0}},
			rounds(func(w int) []end {
				return []end{{0, w, work.OutcomeFailed, 0}, {1, w, work.OutcomeFailed, 0}}
			})...), 2},
		"one worker fails all jobs": {rounds(func(w int) []end {
			return []end{{w, 0, work.OutcomeFailed, 0}, {w, 1 + w%(workers-1), work.OutcomeDone, 0}}
		}), 1},
		"failures of a job far apart": {[]end{
			{0, 1, work.OutcomeFailed, 0}, {0, 2, work.OutcomeFailed, 40_000}, {0, 3, work.OutcomeFailed, 80_000}, {1, 3, work.OutcomeFailed, 80_000},
		}, 1},
		"two workers fail the jobs of each other": {[]end{
			{0, 0, work.OutcomeFailed, 0}, {1, 1, work.OutcomeFailed, 0}, {0, 1, work.OutcomeFailed, 0}, {1, 0, work.OutcomeFailed, 0},
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, at(0))
			for i := range workers {
				id := fmt.Sprintf("a%d/i/1", i)
				term.workers[id] = newWorkerState(control.Worker{Incarnation: id}, fmt.Sprintf("a%d", i), at(0))
				j := &work.Job{ID: fmt.Sprintf("j%d", i), Steps: []work.Step{{Count: 1}}}
				term.jobs[j.ID] = &jobState{job: j, progress: work.NewProgress(j)}
			}
			for _, e := range tc.ends {
				w := term.workers[fmt.Sprintf("a%d/i/1", e.worker)]
				term.recordOutcome(w, work.RunKey{Task: work.TaskKey{Job: fmt.Sprintf("j%d", e.job)}, Run: 1}, e.outcome, at(e.ms))
			}
			avoided := 0
			for _, w := range term.workers {
				if w.health.isAvoided(at(tc.ends[len(tc.ends)-1].ms + 1000)) {
					avoided++
				}
			}
			require.Equal(t, tc.want, avoided)
		})
	}
}
