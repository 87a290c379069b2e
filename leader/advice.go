package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maxAdviceWorkers bounds the workers in one advice call. Objectives of advised jobs
	// leave time for about one call for every 30 workers.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is added to the duration that the service declares for a call.
	adviceTimeoutMargin = 500 * time.Millisecond
	// ticketMargin is the part of a ticket's lifetime that is left for the order to
	// reach the agent.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 100 * time.Millisecond
)

// stepAdvice is the advice received for a step. The maps are keyed by worker identifier.
type stepAdvice struct {
	queried     map[string]bool      // workers that the service has been asked about
	allowed     map[string]bool      // workers that may run the step
	tickets     map[string]string    // of the allowed workers
	expiry      map[string]time.Time // of the tickets
	requestedAt time.Time            // when the step last requested advice
	askedAt     time.Time            // when the service was last asked about the step; zero if it has not been
	waitsSince  time.Time            // askedAt, or before that, when the step first requested advice
}

func newStepAdvice() *stepAdvice {
	return &stepAdvice{
		queried: make(map[string]bool), allowed: make(map[string]bool), tickets: make(map[string]string), expiry: make(map[string]time.Time),
	}
}

// apply adds the answer to a query about some workers. The lifetime of the tickets counts
// from the query.
func (a *stepAdvice) apply(asked []string, answer work.Advice, at time.Time) {
	for _, id := range asked {
		a.queried[id] = true
		ticket, ok := answer.Tickets[id]
		if !ok {
			continue
		}
		a.allowed[id], a.tickets[id], a.expiry[id] = true, ticket, at.Add(answer.TicketTTL-ticketMargin)
	}
}

// expire discards the ticket of a worker, which stays allowed.
func (a *stepAdvice) expire(worker string) { delete(a.expiry, worker) }

// nextWorkers returns the workers to query next if there are fewer than need valid
// tickets: allowed workers whose tickets have expired, then workers that have not been
// queried. The candidates are given in order of preference.
func (a *stepAdvice) nextWorkers(candidates []string, need int, now time.Time) []string {
	var expired, unqueried []string
	valid := 0
	for _, id := range candidates {
		switch {
		case !a.queried[id]:
			unqueried = append(unqueried, id)
		case a.allowed[id] && now.Before(a.expiry[id]):
			valid++
		case a.allowed[id]:
			expired = append(expired, id)
		}
	}
	if valid >= need {
		return nil
	}
	ask := append(expired, unqueried...)
	return ask[:min(len(ask), maxAdviceWorkers)]
}

// validTickets returns the tickets that have not expired, by worker identifier.
func (a *stepAdvice) validTickets(now time.Time) map[string]string {
	out := make(map[string]string)
	for id, ticket := range a.tickets {
		if now.Before(a.expiry[id]) {
			out[id] = ticket
		}
	}
	return out
}

// tickets returns the valid tickets for a step by incarnation, and records that the step
// waits for advice.
func (t *term) tickets(s *jobState, occurrence, step int, now time.Time) map[string]string {
	key := stepKey{s.job.ID, occurrence, step}
	a := t.advice[key]
	if a == nil {
		a = newStepAdvice()
		t.advice[key] = a
	}
	a.requestedAt = now
	if a.waitsSince.IsZero() {
		a.waitsSince = now
	}
	tickets := a.validTickets(now)
	out := make(map[string]string, len(tickets))
	for id, w := range t.workers {
		if ticket, ok := tickets[w.ID]; ok && w.attached {
			out[id] = ticket
		}
	}
	notify(t.adviceWanted)
	return out
}

// expireTickets discards the tickets of a worker, which hold for one incarnation.
func (t *term) expireTickets(worker string) {
	for _, a := range t.advice {
		a.expire(worker)
	}
}

// adviceQuery is a call of the advice service.
type adviceQuery struct {
	key     stepKey
	workers []string
	timeout time.Duration
}

// queryAdvice queries the advice service about waiting steps, one call at a time.
func (t *term) queryAdvice(ctx context.Context) {
	if t.cfg.Adviser == nil {
		return
	}
	for {
		q, ok := t.nextAdviceQuery()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-t.adviceWanted:
			}
			continue
		}
		asked := uptime.Now()
		step := work.TaskKey{Job: q.key.job, Occurrence: q.key.occurrence, Step: q.key.step}
		answer, err := t.cfg.Adviser.Advise(ctx, q.timeout, step, q.workers)
		event.LeaderAdvice.Log(t.cfg.Log).Str("Job", q.key.job).Int("Step", q.key.step).Int("Asked", len(q.workers)).Int("Good", len(answer.Tickets)).AnErr("Cause", err).Send()
		if err != nil {
			uptime.Sleep(ctx, adviceRetryDelay)
			continue
		}
		t.mu.Lock()
		if a := t.advice[q.key]; a != nil {
			a.apply(q.workers, answer, asked)
		}
		t.mu.Unlock()
		notify(t.wake)
	}
}

// adviceRequestMaxAge is the age of a step's last request beyond which the step counts as
// not waiting for advice any more.
const adviceRequestMaxAge = time.Second

// nextAdviceQuery returns the query for the waiting step whose turn it is.
func (t *term) nextAdviceQuery() (adviceQuery, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	free := t.freeCapacities()
	var usable, other *adviceTurn
	for key, a := range t.advice {
		s, ok := t.jobs[key.job]
		if !ok || s.progress.State.Final() {
			delete(t.advice, key)
			continue
		}
		if now.Sub(a.requestedAt) > adviceRequestMaxAge {
			continue
		}
		step := s.job.Steps[key.step]
		candidates := t.eligibleWorkers(s.job, step, now)
		ids := a.nextWorkers(candidates, step.Count, now)
		if len(ids) == 0 {
			continue
		}
		timeout := s.job.AdviceCallTime + time.Duration(len(ids))*s.job.AdviceTimePerWorker + adviceTimeoutMargin
		turn := &adviceTurn{adviceQuery{key, ids, timeout}, s.job, a.hasRoom(step, candidates, free), a.askedAt, a.waitsSince}
		// An urgent step may start where runs are stopped for it, if at all, at once.
		turn.usable = turn.usable || (s.job.Priority == 0 && a.askedAt.IsZero())
		best := &other
		if turn.usable {
			best = &usable
		}
		if *best == nil || turn.compare(*best) < 0 {
			*best = turn
		}
	}
	best := chooseTurn(usable, other, t.lastAdviceUsable, now)
	if best == nil {
		return adviceQuery{}, false
	}
	a := t.advice[best.query.key]
	a.askedAt, a.waitsSince, t.lastAdviceUsable = now, now, best.usable
	return best.query, true
}

// eligibleWorkers returns the identifiers of the workers on which a step may run, those
// with the fewest runs first.
func (t *term) eligibleWorkers(j *work.Job, s work.Step, now time.Time) []string {
	var found []*workerState
	for _, w := range t.workers {
		if w.attached && w.Service == j.Service && t.isSchedulable(w, now) && schedule.Demand(s).FitsIn(w.Capacity) &&
			(s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel)) && w.ID != "" {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(len(a.placedAt), len(b.placedAt)), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, len(found))
	for _, w := range found {
		ids = append(ids, w.ID)
	}
	return ids
}
