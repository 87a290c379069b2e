package speed

import "math"

// Estimate is the long-term estimate of a worker's incarnation, which outlasts a leader.
type Estimate struct {
	Worker string
	Speed  float64 // relative to the mean of its service
	Weight float64 // of the evidence
}

// Estimates returns the estimates of all workers with evidence, in the order of their
// first samples.
func (e *Estimator) Estimates() []Estimate {
	var all []Estimate
	for _, w := range e.order {
		if w.weight >= minMixedEvidence {
			all = append(all, Estimate{w.id, min(max(math.Exp(w.value+w.offset), minSpeed), maxSpeed), w.weight})
		}
	}
	return all
}

// Restore sets what an earlier leader knew about a worker's incarnation. Its weight is
// bounded, so that new samples soon outweigh it.
func (e *Estimator) Restore(service string, known Estimate) {
	if !(known.Speed > 0 && known.Weight > 0) {
		return
	}
	w := e.worker(known.Worker, service)
	w.prior, w.priorWeight = math.Log(min(max(known.Speed, minSpeed), maxSpeed)), min(known.Weight, maxPriorWeight)
	e.changed = true
}
