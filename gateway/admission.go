package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// maxLoadAge is the age of the copy of the records from which on the load is not used.
const maxLoadAge = 3 * time.Second

// checkLoad refuses a job that cannot be served under the load that the leader has
// published. It returns nil if the job may be submitted, and false if it is on record
// already.
func (g *Gateway) checkLoad(ctx context.Context, c queue.Call, cfg *queue.Configuration, j *work.Job) (submit bool, err error) {
	if _, known := g.cfg.Cache.Job(j.ID); known {
		return true, nil
	}
	r, load, age := g.loadRefusal(cfg, j)
	if r == nil {
		return true, nil
	}
	event.QueueNotServable.Log(g.cfg.Log).Str("Job", j.ID).Str("Reason", string(r.Reason)).Int("Step", r.Step).Int("Priority", j.Priority).
		Dur("Ahead", r.Ahead).Dur("Limit", r.Limit).Dur("LoadAge", age).Uint64("Epoch", load.Epoch).Send()
	g.cfg.Meter.CountRefused(string(r.Reason))
	err = g.refuseMarked(ctx, c, j.ID, refusalError(r))
	return false, err
}

// loadRefusal returns why a job cannot be served, or nil, and the load that says so with
// its age.
func (g *Gateway) loadRefusal(cfg *queue.Configuration, j *work.Job) (*admission.Refusal, admission.Load, time.Duration) {
	load, ok := g.cfg.Cache.Load()
	age := uptime.Now().Sub(g.cfg.Cache.FreshAsOf())
	if !ok || age > maxLoadAge || cfg.Services[j.Service].Standby || withinGuarantee(cfg, j) {
		return nil, load, age
	}
	return admission.Decide(load, j), load, age
}

// withinGuarantee reports whether a job may be within the guarantee of its client account.
// The jobs of the account that run are not counted: such a job is never refused.
func withinGuarantee(cfg *queue.Configuration, j *work.Job) bool {
	guaranteed := cfg.Accounts[j.Account].GuaranteedAccelerators
	for _, s := range j.Steps {
		if int64(s.Count)*s.Shape.Accelerators > guaranteed {
			return false
		}
	}
	return j.Priority == 0 && guaranteed > 0
}

// refusalError returns the error of a refusal. Workers that are missing may come back at
// any time, so the pause is the shortest.
func refusalError(r *admission.Refusal) error {
	switch spread := rand.Float64(); r.Reason {
	case admission.Overloaded:
		return rosemarysill.NewRefusal(rosemarysill.Overloaded, admission.DrainPause(r.Ahead-r.Limit, spread), "the work ahead takes %v, and the job has no value after %v", r.Ahead.Round(time.Second), r.Limit.Round(time.Millisecond))
	default:
		return rosemarysill.NewRefusal(rosemarysill.NoCapacity, admission.OutagePause(0, spread), "step %d: no worker of the last %v can run it (%s)", r.Step, admission.SeenFor, r.Reason)
	}
}
