package entry

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gang"
)

// learn takes in how an attempt ended: the health of its workers, the run time
// of its job, and the number for the next attempt.
func (p *placer) learn(d *driver, a *gang.Attempt, outcome gang.Outcome) {
	now := p.e.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	job := a.Job()
	if outcome == gang.Abandoned {
		t := p.tries[d.id]
		if t == nil {
			return
		}
		t.pause = min(max(2*t.pause, p.e.opts.Timings.DecideEvery), p.e.opts.Timings.BeatEvery)
		t.notUntil = now.Add(t.pause)
		t.refusals++
		if !a.StaleAttempt() {
			t.refusals = 0
		}
		return
	}
	delete(p.tries, d.id)
	for i, slot := range a.Job().Slots {
		p.learnMember(d, a, i, slot, now)
	}
	switch outcome {
	case gang.Finished:
		if job.Code == rosemarysill.FailedEverywhere {
			p.health.Acquit(d.id)
		}
		if job.Code == rosemarysill.Done && !d.ranFrom.IsZero() {
			p.ratios.Observe(job.Spec.Account, time.Duration(job.Spec.DeclaredSeconds)*time.Second, now.Sub(d.ranFrom))
		}
		p.e.finishedJob(job)
	case gang.Requeued:
		event.JobRequeued.Log(p.e.opts.Log).Stringer("Job", d.id).Int("Attempt", a.Number()).Str("Detail", job.Detail).Send()
	}
}

// learnMember enters the end of one member into the health of its worker.
func (p *placer) learnMember(d *driver, a *gang.Attempt, i int, slot rosemarysill.Slot, now time.Time) {
	v, ok := p.e.table.view(slot.Worker, now)
	if !ok || v.identity.Boot != slot.Boot {
		p.health.Forget(slot.Worker)
		return
	}
	for _, t := range v.tasks {
		if t.Job != d.id || t.Attempt != a.Number() || t.Member != i {
			continue
		}
		switch t.State {
		case rosemarysill.TaskDone:
			p.health.Succeeded(slot.Worker)
		case rosemarysill.TaskFailure:
			if p.health.Failed(slot.Worker, d.id, now) {
				event.WorkerSetAside.Log(p.e.opts.Log).Str("Worker", slot.Worker).Send()
			}
		}
	}
}

// judged applies the quarantine of faulty workers.
func (p *placer) judged(workers []rosemarysill.WorkerState, now time.Time) []rosemarysill.WorkerState {
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
func (p *placer) snapshot() (attempts map[string]rosemarysill.PlacedJob, ratios map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempts = make(map[string]rosemarysill.PlacedJob, len(p.drivers))
	for id, d := range p.drivers {
		attempts[id.String()] = d.job()
	}
	return attempts, p.ratios.Map()
}
