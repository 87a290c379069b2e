package standin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// RuntimeOptions are the capacity and limits of a stand-in runtime. A zero
// field takes the default.
type RuntimeOptions struct {
	Name         string           // of the worker, for the journal
	Now          func() time.Time // time.Now
	Accelerators int              // 8
	Processors   int              // 64
	MemoryMB     int              // 128 GiB
	MaxTasks     int              // 256, the finished ones included
	MaxBodyBytes int              // 1 MiB
	UsageLag     time.Duration    // 5 s
	Journal      *TaskJournal     // a new one
}

// RuntimeFaults are the faults of a stand-in runtime, switched at run time.
type RuntimeFaults struct {
	Outage          bool          // every call fails at once without effect
	FailTasks       bool          // every task that starts fails at once
	Hang            bool          // calls do not return until the fault ends
	CheckpointDelay time.Duration // added to each checkpoint
	Delay           time.Duration // before the effect of each call
	AnswerDelay     time.Duration // after the effect of each call
	LoseNext        int           // number of next starts whose answers are lost
}

// Runtime is a stand-in of a worker's task runtime. It implements
// rosemarysill.Runtime for use in-process and http.Handler for use over a
// socket. Tasks do not run; their ends are computed from the clock when the
// runtime is called.
type Runtime struct {
	opts  RuntimeOptions
	clock *clock

	mu      sync.Mutex
	tasks   map[rosemarysill.RuntimeTask]*runtimeTask
	refused []rosemarysill.RuntimeTask // stopped before they were started
	faults  RuntimeFaults
}

var _ rosemarysill.Runtime = (*Runtime)(nil)

// maxRefused bounds the stops of tasks that did not exist which are remembered.
const maxRefused = 1024

// NewRuntime returns a runtime without tasks.
func NewRuntime(o RuntimeOptions) *Runtime {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Journal == nil {
		o.Journal = NewTaskJournal()
	}
	o.Name = cmp.Or(o.Name, "worker")
	o.Accelerators = cmp.Or(o.Accelerators, 8)
	o.Processors = cmp.Or(o.Processors, 64)
	o.MemoryMB = cmp.Or(o.MemoryMB, 128<<10)
	o.MaxTasks = cmp.Or(o.MaxTasks, 256)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, 1<<20)
	o.UsageLag = cmp.Or(o.UsageLag, 5*time.Second)
	return &Runtime{opts: o, clock: newClock(o.Now), tasks: map[rosemarysill.RuntimeTask]*runtimeTask{}}
}

// SetFaults replaces the faults.
func (r *Runtime) SetFaults(f RuntimeFaults) {
	r.mu.Lock()
	r.faults = f
	r.mu.Unlock()
	r.clock.wake()
}

// Journal returns the journal, which holds all ends that are due by the clock.
func (r *Runtime) Journal() *TaskJournal {
	r.Tick()
	return r.opts.Journal
}

// Tick ends the tasks that are due by the injected clock. Each call does the
// same; a test calls Tick after it has advanced the clock.
func (r *Runtime) Tick() {
	r.mu.Lock()
	r.settle()
	r.mu.Unlock()
	r.clock.wake()
}

// Reset forgets all tasks, as the replacement of the worker's VM does.
func (r *Runtime) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	now := r.opts.Now()
	for _, t := range r.tasks {
		if t.live() {
			r.end(t, rosemarysill.TaskStopped, "worker replaced", now)
		}
	}
	r.tasks, r.refused = map[rosemarysill.RuntimeTask]*runtimeTask{}, nil
}

// settle ends the tasks that are due. The caller holds mu.
func (r *Runtime) settle() {
	now := r.opts.Now()
	for _, t := range r.tasks {
		if !t.live() {
			continue
		}
		at, state, detail := t.lease, rosemarysill.TaskStopped, "lease lapsed"
		if t.state == rosemarysill.TaskStopping && !t.stopAt.After(at) {
			at, detail = t.stopAt, "stopped"
		}
		if finish, ok := t.finish(); ok && t.state == rosemarysill.TaskRunning && !finish.After(at) {
			at, state, detail = finish, rosemarysill.TaskDone, ""
			if t.body.Fail {
				state, detail = rosemarysill.TaskFailure, "the task's body asked for a failure"
			}
		}
		if !now.Before(at) {
			r.end(t, state, detail, at)
		}
	}
}

func (r *Runtime) end(t *runtimeTask, state rosemarysill.TaskState, detail string, at time.Time) {
	t.state, t.detail, t.ended = state, detail, at
	r.opts.Journal.Add(TaskEvent{at, r.opts.Name, t.start.Task, TaskEnded, state, detail})
	r.clock.wake()
}

// startTask starts a task under a lease that ends at until. The caller holds mu.
func (r *Runtime) startTask(s rosemarysill.TaskStart, until time.Time) error {
	if r.tasks[s.Task] != nil {
		return nil
	}
	now := r.opts.Now()
	for _, t := range r.refused {
		if t == s.Task {
			return rosemarysill.NewError(rosemarysill.StaleAttempt, "runtime: task was stopped before its start")
		}
	}
	if !now.Before(until) {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "runtime: lease has lapsed")
	}
	if len(s.Body) > r.opts.MaxBodyBytes {
		return rosemarysill.NewError(rosemarysill.TooLarge, "runtime: body has %d bytes", len(s.Body))
	}
	if err := r.room(s); err != nil {
		return err
	}
	t := &runtimeTask{start: s, state: rosemarysill.TaskRunning, started: now, since: now, lease: until, share: 1}
	failure := ""
	if len(s.Body) > 0 {
		d := json.NewDecoder(bytes.NewReader(s.Body))
		d.DisallowUnknownFields()
		if err := d.Decode(&t.body); err != nil {
			failure = fmt.Sprintf("body: %v", err)
		}
	}
	if s.Checkpoint != "" {
		done, err := parseCheckpoint(s.Checkpoint)
		if err != nil {
			failure = fmt.Sprintf("checkpoint: %v", err)
		}
		t.progress = done
	}
	if r.faults.FailTasks {
		failure = "fault: every task fails"
	}
	r.tasks[s.Task] = t
	r.opts.Journal.Add(TaskEvent{now, r.opts.Name, s.Task, TaskStarted, t.state, ""})
	if failure != "" {
		r.end(t, rosemarysill.TaskFailure, failure, now)
	}
	return nil
}

// room checks the capacity for a new task. The caller holds mu.
func (r *Runtime) room(s rosemarysill.TaskStart) error {
	used := map[int]bool{}
	processors, memory := s.Processors, s.MemoryMB
	for _, t := range r.tasks {
		if t.live() {
			processors, memory = processors+t.start.Processors, memory+t.start.MemoryMB
			for _, a := range t.start.Accelerators {
				used[a] = true
			}
		}
	}
	for _, a := range s.Accelerators {
		if a < 0 || a >= r.opts.Accelerators || used[a] {
			return rosemarysill.NewError(rosemarysill.NoCapacity, "runtime: accelerator %d is in use or absent", a)
		}
		used[a] = true
	}
	if processors > r.opts.Processors || memory > r.opts.MemoryMB || len(r.tasks) >= r.opts.MaxTasks {
		return rosemarysill.NewError(rosemarysill.NoCapacity, "runtime: processors, memory or tasks are used up")
	}
	return nil
}

// running returns a task that runs. The caller holds mu.
func (r *Runtime) running(id rosemarysill.RuntimeTask) (*runtimeTask, error) {
	t := r.tasks[id]
	switch {
	case t == nil:
		return nil, errNoTask
	case t.state != rosemarysill.TaskRunning:
		return nil, errNotRunning
	}
	return t, nil
}

// statuses returns all tasks, sorted. The usage is that of UsageLag ago.
func (r *Runtime) statuses() []rosemarysill.TaskStatus {
	measured := r.opts.Now().Add(-r.opts.UsageLag)
	all := make([]rosemarysill.TaskStatus, 0, len(r.tasks))
	for id, t := range r.tasks {
		s := rosemarysill.TaskStatus{Task: id, State: t.state, Detail: t.detail, Checkpoint: t.saved, Measured: measured}
		if t.state == rosemarysill.TaskDone {
			s.Result = []byte(t.body.Result)
		}
		if !measured.Before(t.started) && (t.ended.IsZero() || measured.Before(t.ended)) {
			s.UsedCores, s.UsedMB = t.body.Cores*t.share, t.body.MB
		}
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Task, all[j].Task
		if a.Job != b.Job {
			return a.Job.String() < b.Job.String()
		}
		if a.Attempt != b.Attempt {
			return a.Attempt < b.Attempt
		}
		return a.Member < b.Member
	})
	return all
}
