package leader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against shares that count work within a guarantee, work that has ended or
// accounts that use another service.
func TestAccountsHaveEqualShares(t *testing.T) {
	term := newTerm(Config{}, jobstore.LeaderRecord{}, 1, 1, at(0))
	for _, service := range []string{"s", "other"} {
		w := newWorkerState(control.Worker{Incarnation: service, Service: service, Capacity: work.Shape{MilliCPU: 100000}}, "a", at(0))
		w.attached = true
		term.workers[service] = w
	}
	add := func(id, account, service string, running bool, state work.State) *schedule.Unit {
		j := &work.Job{ID: id, Account: account, Service: service, Steps: []work.Step{{Count: 1, Shape: work.Shape{MilliCPU: 10000}}}}
		s := &jobState{job: j, progress: work.NewProgress(j)}
		if running {
			s.progress.Place(&s.progress.Tasks[0], service, "", 1)
		}
		s.progress.State = state
		term.jobs[id] = s
		return &schedule.Unit{Job: j, Indexes: []int{0}}
	}
	for _, id := range []string{"a1", "a2", "a3", "a4", "a5"} {
		add(id, "large", "s", true, work.Running)
	}
	add("ended", "ended", "s", true, work.Completed)
	add("claim", "small", "s", true, work.Running)
	add("elsewhere", "elsewhere", "other", true, work.Running)
	waiting := []*schedule.Unit{add("a6", "large", "s", false, work.Queued), add("b1", "small", "s", false, work.Queued)}
	term.addShares(waiting, map[string]bool{"claim": true})
	left := work.Shape{MilliCPU: 100000 - 10000}
	require.Equal(t, &schedule.Share{Used: work.Shape{MilliCPU: 50000}, Capacity: left, Part: 0.5}, waiting[0].Share)
	require.Equal(t, &schedule.Share{Capacity: left, Part: 0.5}, waiting[1].Share)
}
