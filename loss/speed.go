package loss

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// speedRounds is the number of rounds in which the durations of steps and the time
	// factors of workers are estimated in turn. Days of 66 workers settle within ten.
	speedRounds = 20
	// groupGap is the ratio of neighbouring time factors from which on they are in different
	// groups. Tasks of a step differ by some 30%, and medians of many by less.
	groupGap = 1.3
)

// Group is a set of workers of similar speed.
type Group struct {
	Workers    int
	TimeFactor float64 // duration of a run there relative to the mean over all workers
	Capacity   work.Shape
}

// comparison is a run whose duration is compared with others of its step.
type comparison struct {
	worker, step int
	logDuration  float64
}

// estimateSpeeds sets the time factors of runs and the groups of workers. Runs of one step
// on different workers are compared; the duration of each is the product of that of the
// step and the time factor of the worker. The members of a gang end together, so that they
// tell nothing about their workers.
func (d *Day) estimateSpeeds() {
	incarnations := d.incarnations()
	factors := make(map[string]float64, len(incarnations))
	comparisons, workers := d.comparisons()
	for i, f := range timeFactors(comparisons, len(workers)) {
		factors[workers[i]] = f
	}
	for _, id := range incarnations {
		factors[id] = cmp.Or(factors[id], 1)
	}
	d.setGroups(incarnations, factors)
	for _, j := range d.Jobs {
		for _, r := range j.Runs {
			r.TimeFactor = cmp.Or(factors[r.Worker], 1)
		}
		j.slowestMembers()
	}
}

// slowestMembers sets the time factor of the members of each gang to that of the slowest
// one, with which they all end.
func (j *Job) slowestMembers() {
	type gang struct{ occurrence, step, number int }
	slowest := make(map[gang]float64)
	key := func(r *Run) gang { return gang{r.Occurrence, r.Step, r.Number} }
	for _, r := range j.Runs {
		slowest[key(r)] = max(slowest[key(r)], r.TimeFactor)
	}
	for _, r := range j.Runs {
		if j.Steps[r.Step].Gang {
			r.TimeFactor = slowest[key(r)]
		}
	}
}

// incarnations returns the workers that the logs show, sorted.
func (d *Day) incarnations() []string {
	var ids []string
	for _, c := range d.capacity {
		if c.worker.incarnation != "" {
			ids = append(ids, c.worker.incarnation)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// comparisons returns the runs to compare, with the workers that their indexes mean. A run
// that may have resumed from a checkpoint is left out.
func (d *Day) comparisons() (all []comparison, workers []string) {
	index := make(map[string]int)
	steps := 0
	for _, j := range d.Jobs {
		type step struct{ occurrence, step int }
		runs := make(map[step][]*Run)
		for _, r := range j.Runs {
			s := j.Steps[r.Step]
			if r.isDone() && !s.Gang && r.Worker != "" && r.Ended.After(r.Placed) && (r.Number == 1 || !s.Checkpointing) {
				key := step{r.Occurrence, r.Step}
				runs[key] = append(runs[key], r)
			}
		}
		for _, rs := range runs {
			if !slices.ContainsFunc(rs, func(r *Run) bool { return r.Worker != rs[0].Worker }) {
				continue
			}
			for _, r := range rs {
				i, ok := index[r.Worker]
				if !ok {
					i = len(workers)
					index[r.Worker] = i
					workers = append(workers, r.Worker)
				}
				all = append(all, comparison{i, steps, math.Log(r.Ended.Sub(r.Placed).Seconds())})
			}
			steps++
		}
	}
	return all, workers
}

// timeFactors returns the time factors of the workers, whose mean is 1. Medians keep out
// runs on a worker that is slow for some seconds only.
func timeFactors(comparisons []comparison, workers int) []float64 {
	logFactors := make([]float64, workers)
	byStep, byWorker := make(map[int][]comparison), make(map[int][]comparison)
	for _, c := range comparisons {
		byStep[c.step] = append(byStep[c.step], c)
		byWorker[c.worker] = append(byWorker[c.worker], c)
	}
	logSteps := make(map[int]float64, len(byStep))
	for range speedRounds {
		for step, cs := range byStep {
			logSteps[step] = medianOf(cs, func(c comparison) float64 { return c.logDuration - logFactors[c.worker] })
		}
		for w, cs := range byWorker {
			logFactors[w] = medianOf(cs, func(c comparison) float64 { return c.logDuration - logSteps[c.step] })
		}
	}
	factors, sum := make([]float64, workers), 0.0
	for i, l := range logFactors {
		factors[i] = math.Exp(l)
		sum += factors[i]
	}
	for i := range factors {
		factors[i] *= float64(workers) / sum
	}
	return factors
}

func medianOf(cs []comparison, value func(comparison) float64) float64 {
	values := make([]float64, len(cs))
	for i, c := range cs {
		values[i] = value(c)
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// setGroups groups the workers by their time factors, the fastest first.
func (d *Day) setGroups(incarnations []string, factors map[string]float64) {
	sorted := slices.Clone(incarnations)
	slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(factors[a], factors[b]) })
	capacity := make(map[string]work.Shape)
	for _, c := range d.capacity {
		if c.worker.incarnation != "" {
			capacity[c.worker.incarnation] = c.worker.capacity
		}
	}
	d.groupOf = make(map[string]int, len(sorted))
	for i, id := range sorted {
		if i == 0 || factors[id] > groupGap*factors[sorted[i-1]] {
			d.Groups = append(d.Groups, Group{})
		}
		last := len(d.Groups) - 1
		g := &d.Groups[last]
		g.TimeFactor = (g.TimeFactor*float64(g.Workers) + factors[id]) / float64(g.Workers+1)
		g.Workers++
		g.Capacity = g.Capacity.Add(capacity[id])
		d.groupOf[id] = last
	}
}
