package leader

import (
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// shareKey identifies the use of a service by a client account.
type shareKey struct{ service, account string }

// addShares sets the shares of the units' client accounts. The accounts that use a service
// or wait for it have equal shares of it, apart from what jobs within a guarantee use.
func (t *term) addShares(units []*schedule.Unit, guaranteed map[string]bool) {
	capacity := make(map[string]work.Shape) // by service
	for _, w := range t.workers {
		if w.attached {
			capacity[w.Service] = capacity[w.Service].Add(w.Capacity)
		}
	}
	used := t.accountUse(capacity, guaranteed)
	for _, u := range units {
		if key := (shareKey{u.Job.Service, u.Job.Account}); !u.Guaranteed {
			used[key] = used[key].Add(work.Shape{}) // an account that waits counts
		}
	}
	accounts := make(map[string]int) // by service
	for key := range used {
		accounts[key.service]++
	}
	shares := make(map[shareKey]*schedule.Share, len(used))
	for key, shape := range used {
		shares[key] = &schedule.Share{Used: shape, Capacity: capacity[key.service], Part: 1 / float64(accounts[key.service])}
	}
	for _, u := range units {
		u.Share = shares[shareKey{u.Job.Service, u.Job.Account}]
	}
}

// accountUse returns what client accounts use beyond their guarantees. It takes what jobs
// within a guarantee use from the capacity.
func (t *term) accountUse(capacity map[string]work.Shape, guaranteed map[string]bool) map[shareKey]work.Shape {
	used := make(map[shareKey]work.Shape)
	for _, s := range t.jobs {
		if s.progress.State.Final() {
			continue
		}
		key := shareKey{s.job.Service, s.job.Account}
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if w := t.workers[task.Worker]; w == nil || !w.attached || task.Stopping {
				return
			}
			demand := schedule.Demand(s.job.Steps[k.Step])
			if guaranteed[s.job.ID] {
				capacity[s.job.Service] = capacity[s.job.Service].Sub(demand)
			} else {
				used[key] = used[key].Add(demand)
			}
		})
	}
	return used
}
