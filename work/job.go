// Package work is the model of jobs made of steps: what callers declare, how
// far each task is, and the rules by which ends of runs change that. It is
// pure: it uses no clock, network or logger.
package work

import (
	"fmt"
	"time"
)

// Shape is what one task needs of a worker.
type Shape struct {
	MilliCPU     int64 `json:",omitempty"` // thousandths of a core
	MemoryMB     int64 `json:",omitempty"`
	Accelerators int64 `json:",omitempty"`
}

// Add returns the sum of two shapes.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two shapes.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// FitsIn reports whether s is within o.
func (s Shape) FitsIn(o Shape) bool {
	return s.MilliCPU <= o.MilliCPU && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// acceleratorCores is the number of cores that an accelerator counts as in the
// users' measure of work.
const acceleratorCores = 8

// Cores is the size of the shape in cores.
func (s Shape) Cores() float64 {
	return float64(s.MilliCPU)/1000 + acceleratorCores*float64(s.Accelerators)
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count          int
	Shape          Shape
	Estimate       time.Duration `json:",omitempty"`      // rough duration of a task, declared by the caller
	DependsOn      []int         `json:"After,omitempty"` // earlier steps that must be done first
	Checkpointing  bool          `json:",omitempty"`
	Gang           bool          `json:",omitempty"`            // the tasks run all at once or not at all
	SameRack       bool          `json:",omitempty"`            // a gang is slower on several racks
	RequiredLabel  string        `json:"Requirement,omitempty"` // a label that the worker has
	DataRack       string        `json:",omitempty"`            // a task is slower in other racks
	MaxPerWorker   int           `json:",omitempty"`            // tasks of an occurrence on one worker; 0 is any number
	Speculative    bool          `json:",omitempty"`            // copies of a task may run in parallel
	LongRunning    bool          `json:",omitempty"`            // the tasks run until the job is cancelled
	Image          string        `json:",omitempty"`            // tasks of one image behave alike
	TargetLatency  time.Duration `json:",omitempty"`            // bound on the tail latency that a long-running task serves with
	BestEffort     bool          `json:"Fills,omitempty"`       // uses the processor time that other tasks leave
	MaxUnavailable int           `json:"MayMiss,omitempty"`     // tasks that the system may make unavailable at a time
}

// Job is a job as it was accepted. It never changes.
type Job struct {
	ID                  string
	Account             string
	Queue               string        // name of the queue
	Service             string        // the workers that run it
	Priority            int           // 0 comes first
	MaxAttempts         int           `json:"Attempts"` // failed runs after which a task has failed
	MaxSlowdown         float64       `json:"Stretch"`
	Objective           time.Duration // added to MaxSlowdown times the chain of work
	Advised             bool          // only workers that the advice service names may run it
	AdviceCallTime      time.Duration `json:"Decide,omitempty"`     // time that the advice service needs for a call
	AdviceTimePerWorker time.Duration `json:"DecideEach,omitempty"` // and for each worker in it
	Accepted            time.Time
	Spec                string
	Steps               []Step
	Occurrences         int           `json:",omitempty"` // times that the steps run; 0 is once, at once
	Start               time.Time     `json:",omitzero"`
	Interval            time.Duration `json:",omitempty"`
}

// NumOccurrences is the number of times that the steps run.
func (j *Job) NumOccurrences() int { return max(1, j.Occurrences) }

// OccurrenceStart is the time from which an occurrence may start.
func (j *Job) OccurrenceStart(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// TaskKey names a task.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunKey names one run of a task. Run numbers rise with each start.
type RunKey struct {
	Task TaskKey
	Run  int
}

// Bounds of a job. They keep the records of one job within a value of the
// store.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 1024
)

// Check returns what makes the job impossible to carry out, or an empty string.
func (j *Job) Check() string {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return "the specification of the tasks is too long"
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return "number of steps out of range"
	case j.Occurrences < 0 || j.Occurrences > MaxOccurrences:
		return "number of occurrences out of range"
	case j.Interval < 0:
		return "negative interval"
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxTasks || s.Shape.MilliCPU < 0 || s.Shape.MemoryMB < 0 || s.Shape.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TargetLatency < 0 {
			return "a number of a step is out of range"
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return "a step waits for itself or a later one"
			}
		}
		tasks += s.Count
	}
	if tasks*j.NumOccurrences() > MaxTasks {
		return "too many tasks"
	}
	return ""
}

// String returns the occurrence, the step and the index of the task, and the
// number of the run. The job stands beside it in logs.
func (k RunKey) String() string {
	return fmt.Sprintf("%d.%d.%d/%d", k.Task.Occurrence, k.Task.Step, k.Task.Index, k.Run)
}
