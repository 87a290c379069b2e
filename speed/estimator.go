package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// updateInterval is the least time between two evaluations of all samples, and
	// updateIntervalPerWorker that for each worker: an evaluation takes about 20 us a worker.
	updateInterval          = 250 * time.Millisecond
	updateIntervalPerWorker = time.Millisecond
	// bucketLength is the time whose samples count as one observation of the worker.
	bucketLength = time.Second
	// maxBuckets bounds the observations of a worker. A short slowdown takes seven of them,
	// which the median over all of them does not follow.
	maxBuckets = 24
	// maxBucketGroups bounds the groups in an observation.
	maxBucketGroups = 16
	// maxBucketWeight bounds the weight of an observation, so that a second with many runs
	// does not outweigh the others.
	maxBucketWeight = 4
	// maxPriorWeight bounds the weight of an estimate of an earlier leader.
	maxPriorWeight = 8
	// shrinkage is the weight of the assumption that a worker has the mean speed. Speeds
	// of workers differ somewhat more than the tasks of a step.
	shrinkage = 0.1
	// outlierDeviation is the deviation from the median at which an observation has half
	// its weight.
	outlierDeviation = 0.6
	// sweeps is the number of alternations between the levels of the groups and the
	// speeds of the workers in one evaluation, which starts from the result of the last.
	sweeps = 4
	// recentTime is the age up to which observations count as recent.
	recentTime = 2500 * time.Millisecond
	// recentDeviation is the deviation of the recent estimate from the long-term one from
	// which it replaces the long-term one: a factor of two, and minRecentWeight is its least
	// weight.
	recentDeviation = 0.7
	minRecentWeight = 1.5
)

// level is the logarithm of the rate at which runs of a group progress on a worker of the
// mean speed.
type level struct {
	value, weight float64
	sum           float64
	own           float64 // weight of the samples of owner
	owner         *worker // the worker that is being evaluated
	used          bool
}

// groupSamples are the samples of a group in an observation.
type groupSamples struct {
	level  *level
	value  float64 // mean of the logarithms of the rates
	weight float64
	recent float64 // sum of the weights of the samples by themselves
}

// bucket is an observation of a worker: the samples of one bucketLength.
type bucket struct {
	from     time.Time
	groups   []groupSamples
	residual float64 // mean deviation from the levels of the groups
	weight   float64 // of residual
	trust    float64 // factor of the weight, below 1 for an outlier
}

// worker is the state of a worker's incarnation. Values are logarithms of the speed.
type worker struct {
	id, service  string
	buckets      []bucket // oldest first
	prior        float64
	priorWeight  float64
	value        float64 // long-term
	weight       float64
	recent       float64
	recentWeight float64
	offset       float64   // of the service, which normalises its mean time to 1
	mixed        bool      // the speeds of the service's workers differ
	centres      [3]centre // of the classes of the service
	class        Class
	speed        float64 // published
}

// Estimator estimates the speeds of workers. It is not safe for concurrent use.
type Estimator struct {
	workers   map[string]*worker
	order     []*worker // in the order of their first samples, so that sums do not vary
	levels    map[Group]*level
	mixed     map[string]bool // services whose workers differ
	updatedAt time.Time
	changed   bool // there are new samples
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{workers: make(map[string]*worker), levels: make(map[Group]*level)}
}

func (e *Estimator) worker(id, service string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id, service: service, speed: 1}
		e.workers[id] = w
		e.order = append(e.order, w)
	}
	w.service = cmp.Or(service, w.service)
	return w
}

// Observe records a sample. An invalid sample is ignored.
func (e *Estimator) Observe(s Sample) {
	if !s.valid() {
		return
	}
	l := e.levels[s.Group]
	if l == nil {
		l = new(level)
		e.levels[s.Group] = l
	}
	e.worker(s.Worker, s.Service).add(l, s)
	e.changed = true
}

func (w *worker) add(l *level, s Sample) {
	value, weight, at := math.Log(s.Rate), s.weight(), s.At
	if n := len(w.buckets); n == 0 || at.Sub(w.buckets[n-1].from) >= bucketLength {
		if n == maxBuckets {
			w.buckets = slices.Delete(w.buckets, 0, 1)
		}
		w.buckets = append(w.buckets, bucket{from: at, trust: 1})
	}
	b := &w.buckets[len(w.buckets)-1]
	for i := range b.groups {
		if g := &b.groups[i]; g.level == l {
			g.weight += weight
			g.recent += s.recentWeight()
			g.value += (value - g.value) * weight / g.weight
			return
		}
	}
	if len(b.groups) < maxBucketGroups {
		b.groups = append(b.groups, groupSamples{l, value, weight, s.recentWeight()})
	}
}

// Forget drops the estimate of a worker's incarnation.
func (e *Estimator) Forget(id string) {
	if w := e.workers[id]; w != nil {
		delete(e.workers, id)
		e.order = slices.DeleteFunc(e.order, func(other *worker) bool { return other == w })
	}
}

// Update evaluates the samples if there may be a change, and returns the workers whose
// class has changed.
func (e *Estimator) Update(now time.Time) []Change {
	if now.Sub(e.updatedAt) < max(updateInterval, time.Duration(len(e.order))*updateIntervalPerWorker) {
		return nil
	}
	e.updatedAt = now
	if e.changed {
		e.changed = false
		for range sweeps {
			e.updateLevels()
			for _, w := range e.order {
				w.update()
			}
		}
		e.dropUnusedLevels()
	}
	e.normalise()
	var changes []Change
	for _, w := range e.order {
		w.updateRecent(now)
		if c, ok := w.classify(); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// updateLevels estimates the levels of the groups from the speeds of the workers.
func (e *Estimator) updateLevels() {
	for _, l := range e.levels {
		l.sum, l.weight, l.owner, l.used = 0, 0, nil, false
	}
	for _, w := range e.order {
		for i := range w.buckets {
			b := &w.buckets[i]
			for _, g := range b.groups {
				weight := g.weight * b.trust
				g.level.sum += weight * (g.value - w.value)
				g.level.weight += weight
				g.level.used = true
			}
		}
	}
	for _, l := range e.levels {
		if l.weight > 0 {
			l.value = l.sum / l.weight
		}
	}
}

func (e *Estimator) dropUnusedLevels() {
	for g, l := range e.levels {
		if !l.used {
			delete(e.levels, g)
		}
	}
}

// update estimates the long-term speed from the levels of the groups. What the worker
// itself contributes to a level is no evidence.
func (w *worker) update() {
	for i := range w.buckets {
		b := &w.buckets[i]
		for _, g := range b.groups {
			if g.level.owner != w {
				g.level.owner, g.level.own = w, 0
			}
			g.level.own += g.weight * b.trust
		}
	}
	for i := range w.buckets {
		b := &w.buckets[i]
		b.residual, b.weight = 0, 0
		for _, g := range b.groups {
			others := 1 - g.level.own/g.level.weight
			if weight := g.weight * max(0, others); weight > 0 {
				b.weight += weight
				b.residual += (g.value - g.level.value - b.residual) * weight / b.weight
			}
		}
		b.weight = min(maxBucketWeight, b.weight)
	}
	middle := w.median()
	sum, weight := w.priorWeight*w.prior, w.priorWeight
	for i := range w.buckets {
		b := &w.buckets[i]
		deviation := (b.residual - middle) / outlierDeviation
		b.trust = 1 / (1 + deviation*deviation)
		weight += b.weight * b.trust
		sum += b.weight * b.trust * b.residual
	}
	w.value, w.weight = sum/(weight+shrinkage), weight
}

// median returns the weighted median of the residuals of all observations and the prior.
func (w *worker) median() float64 {
	type point struct{ value, weight float64 }
	points := make([]point, 0, len(w.buckets)+1)
	points = append(points, point{w.prior, w.priorWeight})
	total := w.priorWeight
	for i := range w.buckets {
		points = append(points, point{w.buckets[i].residual, w.buckets[i].weight})
		total += w.buckets[i].weight
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) })
	var below float64
	for _, p := range points {
		if below += p.weight; below >= total/2 && p.weight > 0 {
			return p.value
		}
	}
	return w.value
}

// updateRecent estimates the speed from the recent observations. Their weight fades with
// their age, so that a slowdown does not outlast its measurements.
func (w *worker) updateRecent(now time.Time) {
	w.recent, w.recentWeight = 0, 0
	for i := range w.buckets {
		b := &w.buckets[i]
		// A bucket gets samples until bucketLength after its start.
		age := max(0, now.Sub(b.from)-bucketLength)
		if weight := b.recentWeight() * (1 - age.Seconds()/recentTime.Seconds()); weight > 0 {
			w.recentWeight += weight
			w.recent += (b.recentResidual() - w.recent) * weight / w.recentWeight
		}
	}
}

// recentResidual returns the mean deviation of all samples from the levels, including
// those of groups without other workers: the level then is that of the run's earlier
// samples.
func (b *bucket) recentResidual() float64 {
	var sum, weight float64
	for _, g := range b.groups {
		sum += g.recent * (g.value - g.level.value)
		weight += g.recent
	}
	return sum / weight
}

func (b *bucket) recentWeight() float64 {
	var weight float64
	for _, g := range b.groups {
		weight += g.recent
	}
	return min(maxBucketWeight, weight)
}

const (
	// minMixedWorkers is the number of known workers from which their spread is used, and
	// minSpread the least standard deviation of the logarithms of their speeds, beyond that
	// of the measurements, with which a service counts as mixed.
	minMixedWorkers = 8
	minSpread       = 0.2
	// maxCentreWeight bounds the weight of a worker in the mean of its class.
	maxCentreWeight = 8
)

// service holds sums over the workers of a service that have enough evidence.
type service struct {
	n, time, value, square, noise float64
	centres                       [3]centre // by class
}

// centre is the mean of the long-term values of a class, before the offset.
type centre struct{ value, weight float64 }

func (c centre) add(value, weight float64) centre {
	c.weight += weight
	c.value += (value - c.value) * weight / c.weight
	return c
}

// isMixed reports whether the speeds differ by more than the measurements do.
func (s service) isMixed() bool {
	mean := s.value / s.n
	return s.n >= minMixedWorkers && s.square/s.n-mean*mean-s.noise/s.n > minSpread*minSpread
}

// normalise sets the offsets of the services, so that the mean time of their workers with
// an estimate is that of a worker of speed 1, and finds the services with unequal workers.
func (e *Estimator) normalise() {
	services := make(map[string]service)
	for _, w := range e.order {
		if w.weight >= minMixedEvidence {
			s := services[w.service]
			s.n++
			s.time += math.Exp(-w.value)
			s.value += w.value
			s.square += w.value * w.value
			s.noise += taskDeviation * taskDeviation / w.weight
			s.centres[w.class] = s.centres[w.class].add(w.value, min(w.weight, maxCentreWeight))
			services[w.service] = s
		}
	}
	e.mixed = make(map[string]bool)
	for name, s := range services {
		e.mixed[name] = s.isMixed()
	}
	for _, w := range e.order {
		w.offset, w.mixed = 0, false
		if s := services[w.service]; s.n > 0 {
			w.offset, w.mixed, w.centres = math.Log(s.time/s.n), s.isMixed(), s.centres
		}
	}
}
