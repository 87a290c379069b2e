package placer

import (
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/attempt"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
)

// learn takes in how an attempt ended: the health of its workers, the run time
// of its job, and the number for the next attempt.
func (p *Placer) learn(d *attempt.Driver, a *gang.Attempt, outcome gang.Outcome) {
	now := p.parts.Opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	job := a.Job()
	if outcome == gang.Abandoned {
		t := p.tries[d.ID()]
		if t == nil {
			return
		}
		t.pause = min(max(2*t.pause, p.parts.Opts.Timings.DecideEvery), p.parts.Opts.Timings.BeatEvery)
		t.notUntil = now.Add(t.pause)
		t.refusals++
		if !a.StaleAttempt() {
			t.refusals = 0
		}
		return
	}
	delete(p.tries, d.ID())
	for i, slot := range a.Job().Slots {
		p.learnMember(d, a, i, slot, now)
	}
	switch outcome {
	case gang.Finished:
		if job.Code == rosemarysill.FailedEverywhere {
			p.health.Acquit(d.ID())
		}
		if job.Code == rosemarysill.Done && !d.RanFrom().IsZero() {
			p.ratios.Observe(job.Spec.Account, time.Duration(job.Spec.DeclaredSeconds)*time.Second, now.Sub(d.RanFrom()))
		}
		p.finished(job, d.Placed().Started)
	case gang.Requeued:
		event.JobRequeued.Log(p.parts.Opts.Log).Stringer("Job", d.ID()).Int("Attempt", a.Number()).Str("Detail", job.Detail).Send()
	}
}

// learnMember enters the end of one member into the health of its worker.
func (p *Placer) learnMember(d *attempt.Driver, a *gang.Attempt, i int, slot rosemarysill.Slot, now time.Time) {
	v, ok := p.parts.Table.Agent(slot.Worker, now)
	if !ok || v.Identity.Boot != slot.Boot {
		p.health.Forget(slot.Worker)
		return
	}
	for _, t := range v.Tasks {
		if t.Job != d.ID() || t.Attempt != a.Number() || t.Member != i {
			continue
		}
		switch t.State {
		case rosemarysill.TaskDone:
			p.health.Succeeded(slot.Worker)
		case rosemarysill.TaskFailure:
			if p.health.Failed(slot.Worker, d.ID(), now) {
				event.WorkerSetAside.Log(p.parts.Opts.Log).Str("Worker", slot.Worker).Send()
			}
		}
	}
}

// judged applies the quarantine of faulty workers.
func (p *Placer) judged(workers []rosemarysill.WorkerState, now time.Time) []rosemarysill.WorkerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range workers {
		w := &workers[i]
		if p.health.Quarantined(w.Identity.Name) {
			w.Probe = w.Usable && p.health.ProbeDue(w.Identity.Name, now)
			w.Usable = false
		}
	}
	return workers
}

// snapshot returns the attempts in hand and the learned run times.
func (p *Placer) snapshot() (attempts map[uuid.UUID]rosemarysill.PlacedJob, ratios map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempts = make(map[uuid.UUID]rosemarysill.PlacedJob, len(p.drivers))
	for id, d := range p.drivers {
		attempts[id] = d.Placed()
	}
	return attempts, p.ratios.Map()
}
