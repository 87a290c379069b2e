package placement

import (
	"math"
	"time"
)

// Bounds of the learned ratios of observed to declared run time.
const (
	// ratioWeight is the weight of the newest observation. About ten jobs
	// change the estimate to a new level.
	ratioWeight = 0.2
	// maxRatio bounds one observation, so that a single job that was declared
	// with a second and ran for a day does not dominate.
	maxRatio = 100
)

// Ratios learns for each account how observed run times compare to declared
// ones. The average is geometric, because run times are wrong by factors.
type Ratios struct {
	logs map[string]float64
}

// NewRatios returns Ratios without observations.
func NewRatios() *Ratios { return &Ratios{logs: map[string]float64{}} }

// Observe enters a job that ended, from a report that may be late: ran is
// measured where the job ran. Jobs without a declared time are ignored.
func (r *Ratios) Observe(account string, declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	x := math.Log(min(max(float64(ran)/float64(declared), 1.0/maxRatio), maxRatio))
	if old, ok := r.logs[account]; ok {
		x = old + ratioWeight*(x-old)
	}
	r.logs[account] = x
}

// Map returns the ratios for ClusterState.RunRatio.
func (r *Ratios) Map() map[string]float64 {
	m := make(map[string]float64, len(r.logs))
	for name, x := range r.logs {
		m[name] = math.Exp(x)
	}
	return m
}
