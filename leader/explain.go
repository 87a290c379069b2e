package leader

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// explanationTimeout bounds the computation of an explanation. A scheduling pass
	// over a large fleet takes some tens of milliseconds.
	explanationTimeout = 500 * time.Millisecond
	// explanationInterval is the least time between the begins of two explanations. Each
	// holds the lock of the term for as long as a pass needs to describe the fleet.
	explanationInterval = 500 * time.Millisecond
)

// explanationLimit admits one explanation at a time.
type explanationLimit struct {
	mu      sync.Mutex
	running bool
	begun   time.Time
}

func (e *explanationLimit) begin(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running || (!e.begun.IsZero() && now.Sub(e.begun) < explanationInterval) {
		return false
	}
	e.running, e.begun = true, now
	return true
}

func (e *explanationLimit) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = false
}

// Explain describes where a job that is not on record would be placed now. A refusal is why
// it would be refused at its submission; it is empty if it would not. Nothing is changed,
// recorded or ordered. The error is NotAuthoritative, with the name of the leader, if this
// entry does not lead, and Overloaded if there are too many calls or the time is up.
func (l *Leader) Explain(ctx context.Context, j *work.Job, refusal string) (explanation.Explanation, error) {
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil {
		rec, at := l.cfg.Cache.LeaderRecord()
		if at == 0 || rec.Name == l.cfg.Name {
			return explanation.Explanation{}, rosemarysill.NewError(rosemarysill.NotAuthoritative, "there is no leader at present")
		}
		return explanation.Explanation{}, rosemarysill.NewError(rosemarysill.NotAuthoritative, "entry %s leads, with the internal address %s; ask it", rec.Name, rec.Address)
	}
	if !l.explanations.begin(uptime.Now()) {
		return explanation.Explanation{}, rosemarysill.NewError(rosemarysill.Overloaded, "another explanation is in progress or has just been made")
	}
	defer l.explanations.end()
	ctx, cancel := context.WithTimeout(ctx, explanationTimeout)
	defer cancel()
	return t.explain(ctx, j, refusal)
}

// explain decides on a copy of the term, the last part without its lock.
func (t *term) explain(ctx context.Context, j *work.Job, refusal string) (explanation.Explanation, error) {
	t.mu.Lock()
	if !t.holdsLease() || t.copiesOutdated {
		t.mu.Unlock()
		return explanation.Explanation{}, rosemarysill.NewError(rosemarysill.NotAuthoritative, "the lease of the leader has expired or its copies are not up to date")
	}
	now := uptime.Now()
	c := t.copyWith(j)
	guaranteed := c.guaranteedJobs()
	c.totalCores = c.fleetCores()
	units := c.units(guaranteed)
	c.urgentUse.Observe(c.urgentCores(units), now)
	c.observeWaits(units, now)
	c.endWithholding(units, now)
	fleet := c.describeFleet(units, guaranteed, now)
	closed := make(map[string]schedule.Reason)
	for _, w := range c.workers {
		closed[w.Incarnation] = c.closedBy(w, now)
	}
	t.mu.Unlock()

	reserve := c.urgentUse.Expected()
	plan, steps, ok := schedule.Explain(fleet, units, reserve, j.ID, func() bool { return ctx.Err() != nil })
	if !ok {
		return explanation.Explanation{}, rosemarysill.NewError(rosemarysill.Overloaded, "the explanation was not ready in time")
	}
	e := explanation.New(explanation.Input{Job: j, Plan: plan, Steps: steps, Workers: fleet, Closed: closed, Refusal: refusal})
	e.Leader, e.Epoch, e.UrgentReserve = t.rec.Name, t.rec.Epoch, reserve
	for _, u := range units {
		if u.Job.ID != j.ID {
			e.WaitingUnits++
		}
	}
	return e, nil
}

// copyWith returns a copy of what a scheduling pass uses, with one more job. What the pass
// changes is copied, the rest is shared; the copy neither logs nor counts. The estimates of
// speeds and risks are those of the latest pass.
func (t *term) copyWith(j *work.Job) *term {
	cfg := t.cfg
	cfg.Log, cfg.Meter, cfg.Store = zerolog.Nop(), nil, nil
	c := &term{
		cfg: cfg, rec: t.rec, elected: t.elected, leaseExpiry: t.leaseExpiry, wake: make(chan struct{}, 1), adviceWanted: make(chan struct{}, 1),
		jobs: maps.Clone(t.jobs), workers: make(map[string]*workerState, len(t.workers)), streams: t.streams,
		advice: make(map[stepKey]*stepAdvice, len(t.advice)), urgentUse: t.urgentUse.Clone(), runDurations: t.runDurations, startWaits: t.startWaits,
		forecasts: make(map[occurrenceKey]delay.Forecast), speeds: t.speeds, speedDemands: maps.Clone(t.speedDemands), minSpeeds: make(map[stepKey]float64),
		restartSpeeds: t.restartSpeeds, waitingSince: t.waitingSince, withheldSince: t.withheldSince, riskRaised: t.riskRaised, incompleteGangs: maps.Clone(t.incompleteGangs),
	}
	for id, w := range t.workers {
		state := *w
		state.placedAt = maps.Clone(w.placedAt)
		state.trackers = make(map[work.RunKey]*tracker, len(w.trackers))
		for k, p := range w.trackers {
			run := *p
			state.trackers[k] = &run
		}
		c.workers[id] = &state
	}
	for k, a := range t.advice {
		step := *a
		c.advice[k] = &step
	}
	c.jobs[j.ID] = &jobState{job: j, progress: work.NewProgress(j)}
	return c
}
