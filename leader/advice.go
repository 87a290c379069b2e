package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// adviceWorkers is the number of workers in a call for advice. The users
	// count one call about 30 workers in the objective of a step.
	adviceWorkers = 30
	// adviceSlack is added to the time that the service says a call takes.
	adviceSlack = 500 * time.Millisecond
	// ticketMargin is the part of a ticket's time that is left for the order.
	ticketMargin = 300 * time.Millisecond
	// advicePause is the pause after a call that failed.
	advicePause = 100 * time.Millisecond
)

// advised is what the advice service has said about a step.
type advised struct {
	asked   map[string]bool   // workers, by identifier
	good    map[string]bool   // of them
	tickets map[string]string // of the good ones
	until   map[string]time.Time
	wanted  time.Time // the step waited for advice at this time
}

func newAdvised() *advised {
	return &advised{
		asked: make(map[string]bool), good: make(map[string]bool), tickets: make(map[string]string), until: make(map[string]time.Time),
	}
}

// take applies an answer about the workers asked.
func (a *advised) take(asked []string, answer work.Advice, at time.Time) {
	for _, id := range asked {
		a.asked[id] = true
		ticket, ok := answer.Tickets[id]
		if !ok {
			continue
		}
		a.good[id], a.tickets[id], a.until[id] = true, ticket, at.Add(answer.TicketTTL-ticketMargin)
	}
}

// next returns the workers to ask about: good ones whose tickets have lapsed,
// and then, if there are not enough tickets, ones not asked about yet. The
// candidates come in the order of preference.
func (a *advised) next(candidates []string, need int, now time.Time) []string {
	var lapsed, fresh []string
	valid := 0
	for _, id := range candidates {
		switch {
		case !a.asked[id]:
			fresh = append(fresh, id)
		case a.good[id] && now.Before(a.until[id]):
			valid++
		case a.good[id]:
			lapsed = append(lapsed, id)
		}
	}
	if valid >= need {
		return nil
	}
	ask := append(lapsed, fresh...)
	return ask[:min(len(ask), adviceWorkers)]
}

// valid returns the tickets that hold, by identifier.
func (a *advised) valid(now time.Time) map[string]string {
	out := make(map[string]string)
	for id, ticket := range a.tickets {
		if now.Before(a.until[id]) {
			out[id] = ticket
		}
	}
	return out
}

// advice returns the tickets for a step by incarnation, and notes that the
// step waits for some.
func (t *term) advice(s *jobState, occurrence, step int, now time.Time) map[string]string {
	key := stepKey{s.job.ID, occurrence, step}
	a := t.advised[key]
	if a == nil {
		a = newAdvised()
		t.advised[key] = a
	}
	a.wanted = now
	tickets := a.valid(now)
	out := make(map[string]string, len(tickets))
	for id, w := range t.workers {
		if ticket, ok := tickets[w.ID]; ok && w.attached {
			out[id] = ticket
		}
	}
	notify(t.asking)
	return out
}

// question is a call for advice.
type question struct {
	key     stepKey
	workers []string
	timeout time.Duration
}

// askAdvice asks the advice service about steps that wait, one call at a time.
func (t *term) askAdvice(ctx context.Context) {
	if t.cfg.Adviser == nil {
		return
	}
	for {
		q, ok := t.question()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-t.asking:
			}
			continue
		}
		asked := uptime.Now()
		step := work.TaskKey{Job: q.key.job, Occurrence: q.key.occurrence, Step: q.key.step}
		answer, err := t.cfg.Adviser.Advise(ctx, q.timeout, step, q.workers)
		event.LeaderAdvice.Log(t.cfg.Log).Str("Job", q.key.job).Int("Step", q.key.step).Int("Asked", len(q.workers)).Int("Good", len(answer.Tickets)).AnErr("Cause", err).Send()
		if err != nil {
			uptime.Sleep(ctx, advicePause)
			continue
		}
		t.mu.Lock()
		if a := t.advised[q.key]; a != nil {
			a.take(q.workers, answer, asked)
		}
		t.mu.Unlock()
		notify(t.wake)
	}
}

// wantedWithin is the age of the wish beyond which a step is taken to wait for
// advice no longer.
const wantedWithin = time.Second

// question chooses the step that waits and comes first.
func (t *term) question() (question, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var best question
	var bestJob *work.Job
	for key, a := range t.advised {
		s, ok := t.jobs[key.job]
		if !ok || s.progress.State.Final() {
			delete(t.advised, key)
			continue
		}
		if now.Sub(a.wanted) > wantedWithin || (bestJob != nil && !comesFirst(s.job, bestJob)) {
			continue
		}
		step := s.job.Steps[key.step]
		ids := a.next(t.candidates(s.job, step, now), step.Count, now)
		if len(ids) == 0 {
			continue
		}
		best = question{key, ids, s.job.AdviceCallTime + time.Duration(len(ids))*s.job.AdviceTimePerWorker + adviceSlack}
		bestJob = s.job
	}
	return best, bestJob != nil
}

func comesFirst(a, b *work.Job) bool {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), due(a, 0).Compare(due(b, 0))) < 0
}

// candidates returns the identifiers of the workers on which a step might run,
// the emptiest first.
func (t *term) candidates(j *work.Job, s work.Step, now time.Time) []string {
	var found []*workerState
	for _, w := range t.workers {
		if w.attached && w.Service == j.Service && t.open(w, now) && s.Shape.FitsIn(w.Capacity) &&
			(s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel)) && w.ID != "" {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(len(a.placed), len(b.placed)), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, len(found))
	for _, w := range found {
		ids = append(ids, w.ID)
	}
	return ids
}
