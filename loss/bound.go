package loss

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Worth is what a job of a priority is worth to users.
type Worth struct{ OnTime, Late float64 }

// Worths has the Worth of each priority; a priority that is absent counts as {1, 0.3}.
type Worths map[int]Worth

func (w Worths) of(priority int) Worth {
	if v, ok := w[priority]; ok {
		return v
	}
	return Worth{OnTime: 1, Late: 0.3}
}

const (
	// fixedShare is the part of a job's value that does not depend on its size.
	fixedShare = 0.3
	// maxSizeFactor bounds the value of a large job, as a multiple of the mean.
	maxSizeFactor = 4
)

// sizes returns the factor by which the value of each job differs from the worth of its
// priority: a fixed share, and a share by its work relative to the mean.
func (d *Day) sizes() map[*Job]float64 {
	sum, n := make(map[int]float64), make(map[int]float64)
	for _, j := range d.Jobs {
		sum[j.Priority] += j.Work()
		n[j.Priority]++
	}
	sizes := make(map[*Job]float64, len(d.Jobs))
	for _, j := range d.Jobs {
		sizes[j] = 1
		if mean := sum[j.Priority] / n[j.Priority]; mean > 0 {
			sizes[j] = min(maxSizeFactor, fixedShare+(1-fixedShare)*j.Work()/mean)
		}
	}
	return sizes
}

// Served is the value of the jobs that were on time or late, and of all that count.
type Served struct{ OnTime, Late, Owed float64 }

// Share returns the served part of the value that is owed.
func (s Served) Share() float64 {
	if s.Owed == 0 {
		return 1
	}
	return (s.OnTime + s.Late) / s.Owed
}

// Served rates the jobs as they were done.
func (d *Day) Served(w Worths) Served {
	var s Served
	for j, size := range d.sizes() {
		worth := w.of(j.Priority)
		switch j.Verdict(d.End) {
		case Excluded:
			continue
		case OnTime:
			s.OnTime += size * worth.OnTime
		case Late:
			s.Late += size * worth.Late
		}
		s.Owed += size * worth.OnTime
	}
	return s
}

// tick is the resolution of the bound.
const tick = 50 * time.Millisecond

// Bound estimates what a scheduler that knows all durations and losses of workers could
// have served. The workers of a group are one pool of processors, memory and accelerators
// that jobs share without fragmentation, the fastest group first. Stops cost nothing, and a step runs at most as wide as it
// is. Jobs are taken by value for their work, in descending order, and get the earliest
// capacity that is left before their deadline, else before they expire. It is an
// estimate and not a proven bound, because that order is not always the best one.
func (d *Day) Bound(w Worths) Served {
	free := d.freeTicks()
	sizes := d.sizes()
	jobs := slices.DeleteFunc(slices.Clone(d.Jobs), func(j *Job) bool { return j.Verdict(d.End) == Excluded || j.Work() == 0 })
	density := func(j *Job) float64 { return sizes[j] * w.of(j.Priority).OnTime / j.Work() }
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(density(b), density(a)) })
	var s Served
	for _, j := range jobs {
		worth := w.of(j.Priority)
		s.Owed += sizes[j] * worth.OnTime
		switch {
		case d.allocate(free, j, j.objective()):
			s.OnTime += sizes[j] * worth.OnTime
		case d.allocate(free, j, work.ExpiredFactor*j.objective()):
			s.Late += sizes[j] * worth.Late
		}
	}
	return s
}

// freeTicks returns the capacity of each group of workers in each tick.
func (d *Day) freeTicks() [][]work.Shape {
	free := make([][]work.Shape, d.tickAt(d.End)+1)
	next, total := 0, make([]work.Shape, len(d.Groups))
	workers := make(map[string]knownWorker)
	for i := range free {
		for ; next < len(d.capacity) && d.tickAt(d.capacity[next].at) <= i; next++ {
			c := d.capacity[next]
			if before := workers[c.agent]; before.incarnation != "" {
				g := d.groupOf[before.incarnation]
				total[g] = total[g].Sub(before.capacity)
			}
			if workers[c.agent] = c.worker; c.worker.incarnation != "" {
				g := d.groupOf[c.worker.incarnation]
				total[g] = total[g].Add(c.worker.capacity)
			}
		}
		free[i] = slices.Clone(total)
	}
	return free
}

func (d *Day) tickAt(at time.Time) int { return int(at.Sub(d.Begin) / tick) }

// allocate takes the capacity for a job within the given time after its acceptance. It
// takes nothing and reports false if there is not enough.
func (d *Day) allocate(free [][]work.Shape, j *Job, within time.Duration) bool {
	last := min(len(free)-1, d.tickAt(j.Accepted.Add(within)))
	i := d.tickAt(j.Accepted)
	taken := make(map[int][]work.Shape)
	for n, s := range j.Steps {
		remaining := j.stepDuration(n).Seconds()
		for ; i <= last && remaining > 0; i++ {
			var done float64
			taken[i], done = d.takeTick(s, free[i], remaining)
			remaining -= done
		}
		if remaining > 1e-9 {
			return false
		}
	}
	for i, groups := range taken {
		for g, n := range groups {
			free[i][g] = free[i][g].Sub(n)
		}
	}
	return true
}

// takeTick returns what a step takes of each group in one tick, and the part of its
// duration on workers of mean speed that is done by it.
func (d *Day) takeTick(s Step, free []work.Shape, remaining float64) (taken []work.Shape, done float64) {
	taken = make([]work.Shape, len(free))
	width := 1.0 // share of the step that has no capacity yet
	for g, f := range d.Groups {
		rate := tick.Seconds() / f.TimeFactor
		share := min(shareOf(s, free[g]), width, max(0, remaining-done)/rate)
		taken[g] = scale(s, share)
		width -= share
		if width < 1e-9 {
			width = 0 // rounding errors would take a whole accelerator of the next group
		}
		done += share * rate
	}
	return taken, done
}

// shareOf returns the share of a step, at most 1, that fits in the free capacity.
func shareOf(s Step, free work.Shape) float64 {
	share := 1.0
	for _, r := range [][2]int64{
		{s.Shape.MilliCPU, free.MilliCPU}, {s.Shape.MemoryMB, free.MemoryMB}, {s.Shape.Accelerators, free.Accelerators},
	} {
		if demand, available := r[0], r[1]; demand > 0 {
			share = min(share, float64(max(0, available))/(float64(demand)*float64(s.Tasks)))
		}
	}
	return share
}

// scale returns the capacity that a share of the step takes.
func scale(s Step, share float64) work.Shape {
	n := share * float64(s.Tasks)
	return work.Shape{
		MilliCPU:     int64(math.Ceil(n * float64(s.Shape.MilliCPU))),
		MemoryMB:     int64(math.Ceil(n * float64(s.Shape.MemoryMB))),
		Accelerators: int64(math.Ceil(n * float64(s.Shape.Accelerators))),
	}
}
