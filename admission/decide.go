package admission

import (
	"math"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Reason is why a job is refused.
type Reason string

// Reasons.
const (
	NoWorker   Reason = "NoWorker"   // no worker seen has the service, the label or the size that a task needs
	NoGang     Reason = "NoGang"     // the workers seen cannot hold all members of a gang at once
	Overloaded Reason = "Overloaded" // the job would have no value before it could start
)

// certainty is the factor by which the work ahead has to exceed the time after which a job
// has no value. Declared durations are wrong by a factor of two.
const certainty = 2

// Refusal is the refusal of a job.
type Refusal struct {
	Reason Reason
	Step   int           // that cannot run; 0 for Overloaded
	Ahead  time.Duration // work ahead, for Overloaded
	Limit  time.Duration // after which the job has no value, for Overloaded
}

// Decide returns why a job cannot be served under a load, or nil. It accepts when in doubt:
// if the service is not settled, or the job starts later or does not end by itself.
func Decide(l Load, j *work.Job) *Refusal {
	s, ok := l.Services[j.Service]
	switch {
	case j.Occurrences > 0:
		return nil
	case !ok && l.settled():
		return &Refusal{Reason: NoWorker}
	case !s.Settled:
		return nil
	}
	endless := false
	for i, step := range j.Steps {
		endless = endless || step.LongRunning
		places := s.places(step)
		switch {
		case places == 0:
			return &Refusal{Reason: NoWorker, Step: i}
		case step.Gang && places < step.Count:
			return &Refusal{Reason: NoGang, Step: i}
		}
	}
	if endless || j.Priority < 0 || j.Priority >= len(s.Ahead) {
		return nil
	}
	limit := work.ExpiredFactor * (j.Objective + time.Duration(j.MaxSlowdown*float64(j.LongestChain(nil))))
	if ahead := s.Ahead[j.Priority]; limit > 0 && ahead/certainty > limit {
		return &Refusal{Reason: Overloaded, Ahead: ahead, Limit: limit}
	}
	return nil
}

// settled reports whether there are workers of some service, and all services are settled.
func (l Load) settled() bool {
	for _, s := range l.Services {
		if !s.Settled {
			return false
		}
	}
	return len(l.Services) > 0
}

// places returns how many tasks of a step the workers seen could run at once if they were
// empty.
func (s Service) places(step work.Step) int {
	demand, n := schedule.Demand(step), 0
	for _, k := range s.Kinds {
		if step.RequiredLabel != "" && !slices.Contains(k.Labels, step.RequiredLabel) || !demand.FitsIn(k.Capacity) {
			continue
		}
		perWorker := fits(demand, k.Capacity)
		if step.MaxPerWorker > 0 {
			perWorker = min(perWorker, step.MaxPerWorker)
		}
		n = min(n+min(perWorker, math.MaxInt32)*k.Count, math.MaxInt32)
	}
	return n
}

// fits returns how many times a demand fits into a capacity that holds it at least once.
func fits(demand, capacity work.Shape) int {
	n := int64(math.MaxInt32)
	for _, r := range [][2]int64{{demand.MilliCPU, capacity.MilliCPU}, {demand.MemoryMB, capacity.MemoryMB}, {demand.Accelerators, capacity.Accelerators}} {
		if r[0] > 0 {
			n = min(n, r[1]/r[0])
		}
	}
	return int(n)
}
