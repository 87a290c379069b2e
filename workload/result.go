package workload

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarysill/rosemarysill"
)

// Result is what one policy did on one or more scenarios.
type Result struct {
	Policy    string
	Decisions int
	Examined  int
	Finished  int
	Rejected  int
	Failed    int
	Reclaimed int

	Completion Times            // from submission to the end
	ByClass    map[string]Times // completion
	ByAccount  map[string]Times // completion
	Reclaim    Times            // from the claim of a guarantee to its start, all domains in
	LargeWait  Times            // of large gangs from submission to the first start

	// Block is the largest free adjacent block, against what the free
	// accelerators would allow, over time; 1 is unfragmented.
	Block float64
	// MovesUseful and MovesLost are accelerator-hours from a quarter of an hour
	// before each failure domain move until half an hour after it.
	MovesUseful float64
	Useful      float64 // accelerator-hours
	Lost        float64 // accelerator-hours held without lasting progress
	// Fairness is the largest against the smallest borrowed use of accounts
	// while all of them have work waiting; 1 is equal.
	Fairness float64

	scenario   Scenario
	blockSum   float64
	blockHours float64
	held       map[string]float64
}

// Times is a distribution of durations with millisecond steps.
type Times struct{ h *hdrhistogram.Histogram }

func newTimes() Times { return Times{hdrhistogram.New(1, (10 * 24 * time.Hour).Milliseconds(), 3)} }

func (t Times) record(d time.Duration) {
	// The largest scenario is shorter than the range of the histogram.
	_ = t.h.RecordValue(max(d.Milliseconds(), 1))
}

// Count returns the number of durations.
func (t Times) Count() int64 { return t.h.TotalCount() }

// Mean returns the mean duration.
func (t Times) Mean() time.Duration { return time.Duration(t.h.Mean()) * time.Millisecond }

// Quantile returns the duration that the given percentage does not exceed.
func (t Times) Quantile(percent float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(percent)) * time.Millisecond
}

// Max returns the longest duration.
func (t Times) Max() time.Duration { return time.Duration(t.h.Max()) * time.Millisecond }

func newResult(policy string, s Scenario) *Result {
	return &Result{
		Policy: policy, scenario: s, Completion: newTimes(), Reclaim: newTimes(), LargeWait: newTimes(),
		ByClass: map[string]Times{}, ByAccount: map[string]Times{}, held: map[string]float64{},
	}
}

// add enters the result of another seed of the same scenario.
func (r *Result) add(o *Result) {
	r.Decisions += o.Decisions
	r.Examined += o.Examined
	r.Finished += o.Finished
	r.Rejected += o.Rejected
	r.Failed += o.Failed
	r.Reclaimed += o.Reclaimed
	r.Completion.h.Merge(o.Completion.h)
	r.Reclaim.h.Merge(o.Reclaim.h)
	r.LargeWait.h.Merge(o.LargeWait.h)
	merge := func(to, from map[string]Times) {
		for name, t := range from {
			if _, ok := to[name]; !ok {
				to[name] = newTimes()
			}
			to[name].h.Merge(t.h)
		}
	}
	merge(r.ByClass, o.ByClass)
	merge(r.ByAccount, o.ByAccount)
	r.MovesUseful += o.MovesUseful
	r.Useful += o.Useful
	r.Lost += o.Lost
	r.blockSum += o.blockSum
	r.blockHours += o.blockHours
	for name, h := range o.held {
		r.held[name] += h
	}
	r.conclude()
}

func (r *Result) started(j *run, now time.Time) {
	waited := now.Sub(start.Add(j.arrival.At))
	if !j.first.IsZero() {
		return
	}
	j.first = now
	if j.arrival.Spec.Shape.TotalAccelerators() >= LargeGang {
		r.LargeWait.record(waited)
	}
	if j.checked && !r.moving(j.arrival.At, now.Sub(start)) {
		r.Reclaim.record(waited)
	}
}

// moving reports whether a failure domain was out at any time in the interval,
// or shortly before.
func (r *Result) moving(from, to time.Duration) bool {
	for _, m := range r.scenario.Moves {
		if from < m.Again+30*time.Minute && to > m.TakeOut {
			return true
		}
	}
	return false
}

func (r *Result) done(j *run, at time.Time) {
	r.Finished++
	took := at.Sub(start.Add(j.arrival.At))
	r.Completion.record(took)
	for key, by := range map[string]map[string]Times{
		string(j.arrival.Spec.Class): r.ByClass, j.arrival.Spec.Account: r.ByAccount,
	} {
		if _, ok := by[key]; !ok {
			by[key] = newTimes()
		}
		by[key].record(took)
	}
}

// useful enters progress that lasts.
func (r *Result) useful(j *run, from, to time.Time) {
	n := float64(j.arrival.Spec.Shape.TotalAccelerators())
	r.Useful += n * to.Sub(from).Hours()
	for _, m := range r.scenario.Moves {
		a := max(from.Sub(start), m.TakeOut-15*time.Minute)
		b := min(to.Sub(start), m.Again+30*time.Minute)
		if b > a {
			r.MovesUseful += n * (b - a).Hours()
		}
	}
}

func (r *Result) lost(j *run, d time.Duration) {
	r.Lost += float64(j.arrival.Spec.Shape.TotalAccelerators()) * d.Hours()
}

// sample enters the state that lasts from one time to another: fragmentation,
// and the use of each account while all accounts have work waiting.
func (r *Result) sample(from, to time.Time, s rosemarysill.ClusterState) {
	hours := to.Sub(from).Hours()
	if hours <= 0 {
		return
	}
	free, largest, racks := freeBlocks(s)
	if whole := min(free, racks); whole > 0 {
		r.blockSum += hours * float64(largest) / float64(whole)
		r.blockHours += hours
	}
	waiting := map[string]bool{}
	for _, w := range s.Waiting {
		waiting[w.Spec.Account] = true
	}
	if len(waiting) < len(s.Config.Accounts) {
		return
	}
	for _, j := range s.Placed {
		if !j.Guaranteed {
			r.held[j.Spec.Account] += hours * float64(j.Spec.Shape.TotalAccelerators())
		}
	}
}

// freeBlocks returns the free accelerators, the most that are free in one rack,
// and the most that a whole rack has.
func freeBlocks(s rosemarysill.ClusterState) (free, largest, whole int) {
	type rack struct{ free, size int }
	racks := map[string]*rack{}
	of := map[string]*rack{}
	for _, w := range s.Workers {
		if !w.Usable {
			continue
		}
		k := racks[w.Identity.Rack]
		if k == nil {
			k = &rack{}
			racks[w.Identity.Rack] = k
		}
		k.free += w.Identity.Accelerators
		k.size += w.Identity.Accelerators
		of[w.Identity.Name] = k
	}
	for _, j := range s.Placed {
		for _, slot := range j.Slots {
			if k := of[slot.Worker]; k != nil {
				k.free -= len(slot.Accelerators)
			}
		}
	}
	for _, k := range racks {
		free += k.free
		largest, whole = max(largest, k.free), max(whole, k.size)
	}
	return free, largest, whole
}

func (r *Result) finish(time.Time) { r.conclude() }

func (r *Result) conclude() {
	if r.blockHours > 0 {
		r.Block = r.blockSum / r.blockHours
	}
	var held []float64
	for _, h := range r.held {
		held = append(held, h)
	}
	if len(held) > 0 && slices.Min(held) > 0 {
		r.Fairness = slices.Max(held) / slices.Min(held)
	}
}
