// Package work defines jobs that consist of steps: their declaration, the
// progress of each task, and the state changes that follow from the end of a
// run. Its functions use no clock, network or logger. It also defines the
// interfaces of the services that the scheduler calls.
package work

import (
	"fmt"
	"time"
)

// Shape is a set of resources, such as those that one task needs.
type Shape struct {
	MilliCPU     int64 `json:",omitempty"` // thousandths of a core
	MemoryMB     int64 `json:",omitempty"`
	Accelerators int64 `json:",omitempty"`
}

// Add returns s + o, for each resource.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s - o, for each resource.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// FitsIn reports whether no resource of s exceeds that of o.
func (s Shape) FitsIn(o Shape) bool {
	return s.MilliCPU <= o.MilliCPU && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// coresPerAccelerator is the number of cores that an accelerator counts as in
// measures of work for users.
const coresPerAccelerator = 8

// Cores returns the size of the shape in cores, with accelerators converted.
func (s Shape) Cores() float64 {
	return float64(s.MilliCPU)/1000 + coresPerAccelerator*float64(s.Accelerators)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int
	Shape          Shape
	Estimate       time.Duration `json:",omitempty"`            // approximate duration of a task, declared by the caller
	DependsOn      []int         `json:"After,omitempty"`       // indexes of earlier steps that must be done first
	Checkpointing  bool          `json:",omitempty"`            // a run can continue from the checkpoint of an earlier one
	Gang           bool          `json:",omitempty"`            // the tasks run at the same time or not at all
	SameRack       bool          `json:",omitempty"`            // a gang runs slower on several racks
	RequiredLabel  string        `json:"Requirement,omitempty"` // label that the worker must have
	DataRack       string        `json:",omitempty"`            // tasks run slower in other racks
	MaxPerWorker   int           `json:",omitempty"`            // tasks of an occurrence on one worker; 0 means no limit
	Speculative    bool          `json:",omitempty"`            // several runs of a task may overlap
	LongRunning    bool          `json:",omitempty"`            // the tasks run until the job is cancelled
	Image          string        `json:",omitempty"`            // tasks with the same image behave alike
	TargetLatency  time.Duration `json:",omitempty"`            // bound on the tail latency of a long-running task that serves requests
	BestEffort     bool          `json:"Fills,omitempty"`       // uses only processor time that other tasks leave idle
	MaxUnavailable int           `json:"MayMiss,omitempty"`     // long-running tasks that the system may make unavailable at the same time; 0 means no limit
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID                  string
	Account             string
	Queue               string        // name of the queue
	Service             string        // service whose workers run the job
	Priority            int           // 0 is the highest
	MaxAttempts         int           `json:"Attempts"` // failed runs of a task after which the job fails
	MaxSlowdown         float64       `json:"Stretch"`
	Objective           time.Duration // target: Objective + MaxSlowdown * longest chain of steps
	Advised             bool          // only workers that the advice service returns may run the job
	AdviceCallTime      time.Duration `json:"Decide,omitempty"`     // duration of a call of the advice service
	AdviceTimePerWorker time.Duration `json:"DecideEach,omitempty"` // additional duration for each worker in the call
	Accepted            time.Time
	Spec                string
	Steps               []Step
	Occurrences         int           `json:",omitempty"` // times that the steps run; 0 means once, without a start time
	Start               time.Time     `json:",omitzero"`
	Interval            time.Duration `json:",omitempty"`
}

// ExpiredFactor is the multiple of its objective after which a job does not count any
// more in the users' measurements.
const ExpiredFactor = 3

// NumOccurrences returns the number of times that the steps run.
func (j *Job) NumOccurrences() int { return max(1, j.Occurrences) }

// OccurrenceStart returns the earliest start of an occurrence. It is zero for a
// job without a start time.
func (j *Job) OccurrenceStart(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// LongestChain returns the declared duration of the longest chain of steps, where only the
// included steps count; all of them if included is nil.
func (j *Job) LongestChain(included func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, dep := range s.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		if included == nil || included(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskKey identifies a task.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunKey identifies a run of a task. Each run has a higher number than the runs
// before it.
type RunKey struct {
	Task TaskKey
	Run  int
}

// Limits of a job. They keep each record of a job within the maximum size of a
// value in the store.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 1024
)

// Check returns why the job is invalid, or an empty string.
func (j *Job) Check() string {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Sprintf("the task specification has %d bytes; the limit is %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Sprintf("the job has %d steps; it must have 1 to %d", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.Occurrences > MaxOccurrences:
		return fmt.Sprintf("the job has %d occurrences; the range is 0 to %d", j.Occurrences, MaxOccurrences)
	case j.Interval < 0:
		return fmt.Sprintf("the interval is %s; it must not be negative", j.Interval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxTasks || s.Shape.MilliCPU < 0 || s.Shape.MemoryMB < 0 || s.Shape.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TargetLatency < 0 {
			return fmt.Sprintf("step %d is invalid: its count, %d, must be 1 to %d, and its other numbers must not be negative", i, s.Count, MaxTasks)
		}
		for _, dep := range s.DependsOn {
			if dep < 0 || dep >= i {
				return fmt.Sprintf("step %d depends on step %d; a step may depend only on earlier steps", i, dep)
			}
		}
		tasks += s.Count
	}
	if tasks*j.NumOccurrences() > MaxTasks {
		return fmt.Sprintf("the job has %d tasks in all occurrences; the limit is %d", tasks*j.NumOccurrences(), MaxTasks)
	}
	return ""
}

// String returns the occurrence, step and index of the task and the number of the
// run. The job is omitted because log entries have it in a field of its own.
func (k RunKey) String() string {
	return fmt.Sprintf("%d.%d.%d/%d", k.Task.Occurrence, k.Task.Step, k.Task.Index, k.Run)
}
