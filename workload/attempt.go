package workload

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// begin starts an attempt of a job.
func (d *driver) begin(r *run, p rosemarysill.PlaceDecision) {
	r.attempt++
	r.placed, r.stopping, r.started, r.slots = true, false, d.now, p.Slots
	r.overhead = 0
	if r.remaining < r.arrival.Run {
		r.overhead = resumeTime
	}
	d.state.Placed = append(d.state.Placed, rosemarysill.PlacedJob{
		Spec: r.arrival.Spec, Attempt: r.attempt, Slots: p.Slots, Started: d.now, Guaranteed: p.Guaranteed,
	})
	d.result.started(r, d.now)
	attempt := r.attempt
	current := func(do func()) func() {
		return func() {
			if r.placed && r.attempt == attempt {
				do()
			}
		}
	}
	if worker := d.failing(r); worker != "" {
		d.at(d.now.Add(failAfter+d.lag()), current(func() { d.fail(r, worker) }))
		return
	}
	ends := d.now.Add(r.overhead + r.remaining)
	d.at(ends.Add(d.lag()), current(func() {
		if !r.stopping {
			d.end(r, ends)
		}
	}))
}

// lag is the delay of a report: up to one heartbeat.
func (d *driver) lag() time.Duration {
	return time.Duration(d.rng.Int64N(int64(d.timings.BeatEvery)))
}

// failing returns the worker on which the attempt will fail, or none.
func (d *driver) failing(r *run) string {
	if r.arrival.Fails {
		return r.slots[0].Worker
	}
	since := d.now.Sub(start)
	for _, s := range r.slots {
		for _, f := range d.scenario.Faults {
			if f.Worker == s.Worker && since >= f.From && since < f.Until {
				return s.Worker
			}
		}
	}
	return ""
}

func (d *driver) remove(r *run) {
	r.placed = false
	d.state.Placed = slices.DeleteFunc(d.state.Placed, func(j rosemarysill.PlacedJob) bool {
		return j.Spec.ID == r.arrival.Spec.ID
	})
}

// end enters a job that finished at the given time and was reported now.
func (d *driver) end(r *run, at time.Time) {
	d.remove(r)
	for _, s := range r.slots {
		d.health.Succeeded(s.Worker)
	}
	d.result.useful(r, r.started.Add(r.overhead), at)
	d.result.lost(r, r.overhead)
	d.result.done(r, at)
	spec := r.arrival.Spec
	d.at(d.now.Add(ratioLag), func() {
		d.ratios.Observe(spec.Account, time.Duration(spec.DeclaredSeconds)*time.Second, r.arrival.Run)
	})
}

// fail ends an attempt that failed on the worker. A job that cannot run again
// has failed for good.
func (d *driver) fail(r *run, worker string) {
	d.remove(r)
	d.result.lost(r, d.now.Sub(r.started))
	d.health.Failed(worker, r.arrival.Spec.ID, d.now)
	r.failedOn = append(r.failedOn, worker)
	d.again(r)
}

func (d *driver) again(r *run) {
	switch {
	case r.cancelled:
	case r.arrival.Spec.Idempotent:
		d.wait(r)
	default:
		d.result.Failed++
	}
}

// stop ends an attempt with a checkpoint, which takes up to maxStop.
func (d *driver) stop(r *run) {
	if !r.placed || r.stopping {
		return
	}
	r.stopping = true
	for i := range d.state.Placed {
		if d.state.Placed[i].Spec.ID == r.arrival.Spec.ID {
			d.state.Placed[i].Stopping = true
		}
	}
	attempt, from := r.attempt, d.now
	d.at(d.now.Add(2*time.Second+time.Duration(d.rng.Int64N(int64(maxStop-2*time.Second)))), func() {
		if !r.placed || r.attempt != attempt {
			return
		}
		d.remove(r)
		progress := min(max(from.Sub(r.started)-r.overhead, 0), r.remaining)
		if !r.cancelled {
			d.result.useful(r, r.started.Add(r.overhead), r.started.Add(r.overhead+progress))
			r.remaining = max(r.remaining-progress, time.Second)
		}
		d.result.lost(r, d.now.Sub(r.started)-progress)
		d.again(r)
	})
}

func (d *driver) setOut(domain string, out bool) {
	for i := range d.state.Config.Domains {
		if d.state.Config.Domains[i].Name == domain {
			d.state.Config.Domains[i].Out = out
		}
	}
	d.state.Config.Revision++
}

// switchOff ends all attempts in the domain; what no checkpoint has saved is
// lost.
func (d *driver) switchOff(domain string) {
	d.off[domain] = true
	in := map[string]bool{}
	for _, w := range d.state.Workers {
		in[w.Identity.Name] = w.Identity.Domain == domain
	}
	for _, j := range slices.Clone(d.state.Placed) {
		if !slices.ContainsFunc(j.Slots, func(s rosemarysill.Slot) bool { return in[s.Worker] }) {
			continue
		}
		r := d.jobs[j.Spec.ID]
		d.remove(r)
		ran := max(d.now.Sub(r.started)-r.overhead, 0)
		saved := min(ran.Truncate(checkpointEvery), r.remaining)
		if !j.Spec.Idempotent {
			saved = 0
		}
		d.result.useful(r, r.started.Add(r.overhead), r.started.Add(r.overhead+saved))
		r.remaining = max(r.remaining-saved, time.Second)
		d.result.lost(r, d.now.Sub(r.started)-saved)
		d.again(r)
	}
}
