package workload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// Intervals of the virtual cluster.
const (
	checkpointEvery = 10 * time.Minute // between checkpoints of a running job
	resumeTime      = 10 * time.Second // to load a checkpoint
	failAfter       = 5 * time.Second  // a failing task runs that long
	recheckEvery    = 30 * time.Second // decisions without events while jobs wait
	ratioLag        = time.Minute      // of reports about run times
	maxStop         = 25 * time.Second // the longest stop with a checkpoint; within ReclaimWithin
)

// run is a job in the driver.
type run struct {
	arrival   *Arrival
	remaining time.Duration // run time that no checkpoint has saved
	attempt   int
	started   time.Time // of the current attempt
	overhead  time.Duration
	placed    bool
	stopping  bool
	slots     []rosemarysill.Slot
	failedOn  []string
	cancelled bool
	checked   bool // claimed a guarantee when it arrived
	first     time.Time
}

// event is something that happens at a virtual time. Events at one time happen
// in the order in which they were added.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event; use add.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; use next.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// driver runs one scenario with one policy.
type driver struct {
	scenario Scenario
	policy   rosemarysill.Policy
	options  Options
	timings  rosemarysill.Timings
	rng      *rand.Rand
	now      time.Time
	queue    events
	seq      int
	decideAt time.Time // zero when no decision is due
	state    rosemarysill.ClusterState
	jobs     map[uuid.UUID]*run
	off      map[string]bool // failure domains that are switched off
	health   *placement.Health
	ratios   *placement.Ratios
	result   *Result
}

// Options change what the driver does around the policy.
type Options struct {
	NoQuarantine bool // faulty workers stay in use
	NoRatios     bool // declared run times are not corrected
}

// Run runs a scenario with a policy until all jobs have ended.
func Run(p rosemarysill.Policy, s Scenario, o Options) *Result {
	d := &driver{
		scenario: s, policy: p, options: o, timings: rosemarysill.DefaultTimings(), now: start,
		rng: rand.New(rand.NewPCG(s.Seed, 2)), jobs: map[uuid.UUID]*run{}, off: map[string]bool{},
		health: placement.NewHealth(), ratios: placement.NewRatios(), result: newResult(p.Name(), s),
	}
	d.state.Config = s.Config
	d.state.Config.Domains = slices.Clone(s.Config.Domains)
	d.state.Workers = slices.Clone(s.Workers)
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		d.at(start.Add(a.At), func() { d.arrive(a) })
		if a.CancelAt > 0 {
			d.at(start.Add(a.CancelAt), func() { d.cancel(a.Spec.ID) })
		}
	}
	for _, m := range s.Moves {
		d.at(start.Add(m.TakeOut), func() { d.setOut(m.Domain, true) })
		d.at(start.Add(m.Off), func() { d.switchOff(m.Domain) })
		d.at(start.Add(m.Again), func() { d.off[m.Domain] = false; d.setOut(m.Domain, false) })
	}
	limit := start.Add(4 * s.Length)
	for d.now.Before(limit) && d.step() {
	}
	d.result.finish(d.now)
	return d.result
}

func (d *driver) at(t time.Time, do func()) {
	d.seq++
	heap.Push(&d.queue, event{t, d.seq, do})
}

// step goes to the next event or decision. It reports whether there was one.
func (d *driver) step() bool {
	if len(d.queue) == 0 && d.decideAt.IsZero() {
		return false
	}
	if d.decideAt.IsZero() || len(d.queue) > 0 && !d.queue[0].at.After(d.decideAt) {
		e := heap.Pop(&d.queue).(event)
		d.advance(e.at)
		e.do()
		d.due(d.timings.DecideEvery)
		return true
	}
	d.advance(d.decideAt)
	d.decideAt = time.Time{}
	d.decide()
	if len(d.state.Waiting) > 0 {
		d.due(recheckEvery)
	}
	return true
}

// due asks for a decision on the grid of DecideEvery, after at most the given
// time.
func (d *driver) due(after time.Duration) {
	t := d.now.Truncate(d.timings.DecideEvery).Add(after)
	if d.decideAt.IsZero() || t.Before(d.decideAt) {
		d.decideAt = t
	}
}

func (d *driver) advance(t time.Time) {
	d.result.sample(d.now, t, d.state)
	d.now = t
}

func (d *driver) arrive(a *Arrival) {
	r := &run{arrival: a, remaining: a.Run}
	d.jobs[a.Spec.ID] = r
	r.checked = d.claimable(a.Spec)
	d.wait(r)
}

// claimable reports whether the job is a whole gang of its account's guarantee
// that neither running nor waiting jobs have claimed.
func (d *driver) claimable(spec rosemarysill.JobSpec) bool {
	a, _ := d.state.Config.Account(spec.Account)
	for _, g := range a.Guarantees {
		if g.Shape != spec.Shape {
			continue
		}
		n := 0
		for _, j := range d.state.Placed {
			if j.Spec.Account == spec.Account && j.Spec.Shape == spec.Shape {
				n++
			}
		}
		for _, w := range d.state.Waiting {
			if w.Spec.Account == spec.Account && w.Spec.Shape == spec.Shape {
				n++
			}
		}
		return n < g.Count
	}
	return false
}

// wait enters a job into the queue by its time of submission.
func (d *driver) wait(r *run) {
	w := rosemarysill.WaitingJob{Spec: r.arrival.Spec, Submitted: start.Add(r.arrival.At), FailedOn: r.failedOn}
	i, _ := slices.BinarySearchFunc(d.state.Waiting, w, func(a, b rosemarysill.WaitingJob) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		return slices.Compare(a.Spec.ID[:], b.Spec.ID[:])
	})
	d.state.Waiting = slices.Insert(d.state.Waiting, i, w)
}

func (d *driver) cancel(id uuid.UUID) {
	r := d.jobs[id]
	switch {
	case r == nil || r.cancelled:
	case r.placed:
		r.cancelled = true
		d.stop(r)
	default:
		r.cancelled = true
		d.dequeue(id)
	}
}

func (d *driver) dequeue(id uuid.UUID) {
	d.state.Waiting = slices.DeleteFunc(d.state.Waiting, func(w rosemarysill.WaitingJob) bool { return w.Spec.ID == id })
}

func (d *driver) decide() {
	for i := range d.state.Workers {
		w := &d.state.Workers[i]
		in := !d.state.Config.DomainOut(w.Identity.Domain)
		aside := !d.options.NoQuarantine && d.health.Quarantined(w.Identity.Name)
		w.Usable = in && !aside
		w.Probe = in && aside && d.health.ProbeDue(w.Identity.Name, d.now)
	}
	if !d.options.NoRatios {
		d.state.RunRatio = d.ratios.Map()
	}
	for i := range d.state.Placed {
		j := &d.state.Placed[i]
		if n := d.now.Sub(j.Started) / checkpointEvery; n > 0 {
			j.CheckpointAt = j.Started.Add(n * checkpointEvery)
		}
	}
	decision := d.policy.Decide(d.state, d.now)
	d.result.Decisions++
	d.result.Examined += decision.Examined
	for _, r := range decision.Reject {
		if r.Code == rosemarysill.FailedEverywhere {
			d.health.Acquit(r.Job)
		}
		d.dequeue(r.Job)
		d.result.Rejected++
	}
	for _, r := range decision.Reclaim {
		d.result.Reclaimed++
		d.stop(d.jobs[r.Job])
	}
	for _, p := range decision.Place {
		d.dequeue(p.Job)
		d.begin(d.jobs[p.Job], p)
	}
}
