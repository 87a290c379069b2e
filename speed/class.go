package speed

import "math"

// Class is what is known about the speed of a worker. Only workers that are clearly
// slower or faster than the mean have a speed other than 1, so that small deviations
// change no decision.
type Class int

// Classes.
const (
	Usual Class = iota // also a worker about which nothing is known
	Slow
	Fast
)

func (c Class) String() string { return [...]string{"usual", "slow", "fast"}[c] }

// Change is a change of the class of a worker.
type Change struct {
	Worker   string
	From, To Class
	Speed    float64
	Weight   float64 // of the evidence
	Recent   bool    // by the recent speed, which differs from the long-term one
}

const (
	// minEvidence is the weight from which an estimate is used: a second of a gang, or the
	// runs of three tasks.
	minEvidence = 2
	// A worker is slow or fast once the logarithm of its speed exceeds enterDeviation and
	// significance standard errors, until it falls below leaveDeviation.
	enterDeviation = 0.2
	leaveDeviation = 0.15
	significance   = 2.5
	// These replace them for slow workers of a service whose workers are known to differ. A
	// gang takes as long as its slowest member, so that a slow worker which is not known
	// costs far more than another that is taken for slow for a while.
	minMixedEvidence  = 0.7
	mixedSignificance = 1.3
	// usualEvidence is the weight from which a worker that shows no difference is known to
	// have none.
	usualEvidence = 4
	// classWeight is the weight of the mean of a class in the speed of its workers: kinds of
	// machines differ more than machines of a kind do. minCentreWeight is the evidence from
	// which the mean is used.
	classWeight     = 4
	minCentreWeight = 8
	// minSpeed and maxSpeed bound published speeds, which are measured far less exactly
	// when they are extreme.
	minSpeed, maxSpeed = 0.05, 20
)

// classify updates the class and the published speed of a worker, and reports whether the
// class has changed.
func (w *worker) classify() (Change, bool) {
	value, weight := w.value+w.offset, w.weight
	recent := w.recentWeight >= minRecentWeight && math.Abs(w.recent-w.value) > recentDeviation
	if recent {
		value, weight = w.recent+w.offset, w.recentWeight
	}
	class := Usual
	if direction := classOf(value); w.differs(value, weight, recent) || (direction == w.class && weight >= minMixedEvidence && math.Abs(value) > leaveDeviation) {
		class = direction
	}
	w.speed = 1
	if class != Usual {
		if !recent {
			value = w.towardsClass(value)
		}
		w.speed = min(max(math.Exp(value), minSpeed), maxSpeed)
	}
	from := w.class
	w.class = class
	return Change{w.id, from, class, w.speed, weight, recent}, class != from
}

// classOf returns the class of a worker whose speed is known to have the logarithm.
func classOf(value float64) Class {
	if value < 0 {
		return Slow
	}
	return Fast
}

// differs reports whether there is enough evidence that the logarithm of the speed is not 0.
func (w *worker) differs(value, weight float64, recent bool) bool {
	evidence, errors := float64(minEvidence), significance
	if value < 0 && w.mixed {
		evidence, errors = minMixedEvidence, mixedSignificance
	}
	return (recent || weight >= evidence) && math.Abs(value) > max(enterDeviation, errors*taskDeviation/math.Sqrt(weight))
}

// Speed returns the present speed of a worker, 1 if it is unknown or usual.
func (e *Estimator) Speed(id string) float64 {
	if w := e.workers[id]; w != nil {
		return w.speed
	}
	return 1
}

// IsKnown reports whether there is enough evidence about the speed of a worker: that it is
// slow or fast, or that it is neither.
func (e *Estimator) IsKnown(id string) bool {
	w := e.workers[id]
	return w != nil && (w.class != Usual || w.weight >= usualEvidence)
}

// IsMixed reports whether the workers of a service are known to differ in speed, beyond
// single workers that are slow.
func (e *Estimator) IsMixed(service string) bool { return e.mixed[service] }

// Classes returns the number of workers with an estimate in each class.
func (e *Estimator) Classes() map[string]int {
	n := make(map[string]int)
	for _, w := range e.order {
		n[w.class.String()]++
	}
	return n
}

// LongTerm returns the long-term speed of a worker, 1 if it is unknown or close to the
// mean.
func (e *Estimator) LongTerm(id string) float64 {
	w := e.workers[id]
	if w == nil {
		return 1
	}
	if value := w.value + w.offset; w.differs(value, w.weight, false) {
		return min(max(math.Exp(w.towardsClass(value)), minSpeed), maxSpeed)
	}
	return 1
}

// towardsClass returns the logarithm of the speed of a slow or fast worker of a mixed
// service: with little evidence, that of its class.
func (w *worker) towardsClass(value float64) float64 {
	c := w.centres[classOf(value)]
	if !w.mixed || c.weight < minCentreWeight {
		return value
	}
	return (value*w.weight + (c.value+w.offset)*classWeight) / (w.weight + classWeight)
}
