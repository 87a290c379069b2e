package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maxIdleWait is how long a job with no run waits for the capacity that suits it best,
	// if much of its service is idle, and how long each long-running task does. Users take
	// such a job for lost after 3 s, in which the start also has to be committed and
	// ordered.
	maxIdleWait = 2 * time.Second
	// idleLoad is the load of a service below which much of it is idle.
	idleLoad = 0.5
	// defaultRemoteSlowdown is used if the settings give no Config.RemoteSlowdown.
	defaultRemoteSlowdown = 2
)

// observeWaits records since when the steps of the units wait. A step whose tasks end by
// themselves waits only while no task of its job has a run.
func (t *term) observeWaits(units []*schedule.Unit, now time.Time) {
	waits := make(map[stepKey]time.Time, len(t.waitingSince))
	for _, u := range units {
		key := keyOfUnit(u)
		if _, ok := waits[key]; ok {
			continue
		}
		since, ok := t.waitingSince[key]
		if !ok || (!u.Job.Steps[u.Step].LongRunning && t.jobs[u.Job.ID].progress.Placed()) {
			since = now
		}
		waits[key] = since
	}
	t.waitingSince = waits
}

// endWaits lets units that have waited long enough start in any rack. Those that users
// would take for lost use the capacity that is kept for urgent work as well, and in a
// service of which much is idle that held for gangs; they wait for no better place there.
func (t *term) endWaits(units []*schedule.Unit, fleet []*schedule.Worker, now time.Time) {
	loads := serviceLoads(fleet)
	for _, u := range units {
		waited := now.Sub(t.waitingSince[keyOfUnit(u)])
		u.Waited = waited
		isIdle := loads[u.Job.Service] < idleLoad
		overdue := waited > maxIdleWait && (u.Job.Steps[u.Step].LongRunning || isIdle)
		u.AnyRack = overdue || waited > t.rackWait(u.Job, u.Step)
		u.Deferrable = u.Deferrable && !overdue
		u.AcceptsSuspects = u.AcceptsSuspects || overdue
		u.MustStartNow = u.MustStartNow || (overdue && isIdle)
	}
}

// rackWait returns how long a step waits for the rack where it runs at full speed: as long
// as it would lose by running elsewhere.
func (t *term) rackWait(j *work.Job, step int) time.Duration {
	duration := max(j.Steps[step].Estimate, t.runDurations[j.Queue].mean)
	return max(maxIdleWait, time.Duration((t.cfg.RemoteSlowdown-1)*float64(duration)))
}

// serviceLoads returns the share of the capacity of each service that is in use.
func serviceLoads(fleet []*schedule.Worker) map[string]float64 {
	used, total := make(map[string]float64), make(map[string]float64)
	for _, w := range fleet {
		total[w.Service] += w.Capacity.Cores()
		for i := range w.Runs {
			used[w.Service] += w.Runs[i].Demand.Cores()
		}
	}
	for service, cores := range total {
		if cores > 0 {
			used[service] /= cores
		}
	}
	return used
}

func keyOfUnit(u *schedule.Unit) stepKey { return stepKey{u.Job.ID, u.Occurrence, u.Step} }
