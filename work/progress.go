package work

import (
	"time"
)

// State is the state of a job that callers see.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is the progress of a task.
type Task struct {
	Run        int     `json:",omitempty"` // number of the latest run, 0 before the first
	Worker     string  `json:",omitempty"` // incarnation of the worker of the current run; empty if there is none
	Ticket     string  `json:",omitempty"` // ticket of the advice service for the current run
	Done       bool    `json:",omitempty"`
	Failures   int     `json:"Fails,omitempty"`
	FailedRun  int     `json:",omitempty"`      // latest run that was counted in Failures
	Checkpoint string  `json:"Saved,omitempty"` // latest checkpoint
	Crashes    []Crash `json:",omitempty"`      // crashes of workers that had a run of the task, oldest first
	Stalls     int     `json:",omitempty"`      // runs that were stopped as stalled before any progress
	LaterRuns  int     `json:",omitempty"`      // runs since the crash with the number LaterRunsFrom
	Percent    int     `json:"-"`               // progress of the run, as reported by the worker
	Stopping   bool    `json:"-"`               // the run is being stopped
}

// Placed reports whether the task has a run that was ordered and has not ended.
func (t *Task) Placed() bool { return t.Worker != "" }

// Progress is the progress of a job. Only the leader writes it.
type Progress struct {
	State State
	Ended time.Time `json:",omitzero"`
	Tasks []Task    // sorted by occurrence, step and index
}

// NewProgress returns the progress of a newly accepted job.
func NewProgress(j *Job) *Progress {
	return &Progress{State: Queued, Tasks: make([]Task, j.NumOccurrences()*j.occurrenceTasks())}
}

// Valid reports whether p has as many tasks as j.
func (p *Progress) Valid(j *Job) bool { return len(p.Tasks) == j.NumOccurrences()*j.occurrenceTasks() }

// occurrenceTasks returns the number of tasks in one occurrence.
func (j *Job) occurrenceTasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// offset returns the index in Tasks of the first task of a step.
func (j *Job) offset(occurrence, step int) int {
	n := occurrence * j.occurrenceTasks()
	for _, s := range j.Steps[:step] {
		n += s.Count
	}
	return n
}

// Step returns the tasks of a step of an occurrence. The slice aliases p.Tasks.
func (p *Progress) Step(j *Job, occurrence, step int) []Task {
	n := j.offset(occurrence, step)
	return p.Tasks[n : n+j.Steps[step].Count]
}

// Task returns the task with the key, or nil if the job has no such task.
func (p *Progress) Task(j *Job, k TaskKey) *Task {
	if k.Occurrence < 0 || k.Occurrence >= j.NumOccurrences() || k.Step < 0 || k.Step >= len(j.Steps) || k.Index < 0 || k.Index >= j.Steps[k.Step].Count {
		return nil
	}
	return &p.Step(j, k.Occurrence, k.Step)[k.Index]
}

// StepDone reports whether all tasks of a step of an occurrence are done.
func (p *Progress) StepDone(j *Job, occurrence, step int) bool {
	for _, t := range p.Step(j, occurrence, step) {
		if !t.Done {
			return false
		}
	}
	return true
}

// Ready reports whether the tasks of a step of an occurrence may start: the job
// has not ended, the occurrence has begun, and the steps that it depends on are
// done.
func (p *Progress) Ready(j *Job, occurrence, step int, now time.Time) bool {
	if p.State.Final() || now.Before(j.OccurrenceStart(occurrence)) {
		return false
	}
	for _, dep := range j.Steps[step].DependsOn {
		if !p.StepDone(j, occurrence, dep) {
			return false
		}
	}
	return true
}

// Started reports whether a run of any task was ever ordered.
func (p *Progress) Started() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Run > 0 {
			return true
		}
	}
	return false
}

// Placed reports whether any task has a run that was ordered and has not ended.
func (p *Progress) Placed() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Placed() {
			return true
		}
	}
	return false
}

// Outcome is the way in which a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // the task or its worker failed
	OutcomeStopped        Outcome = "stopped" // stopped by an order
	OutcomeLeaseLapsed    Outcome = "lapsed"  // its lease expired
	OutcomeGangBroken     Outcome = "broken"  // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"   // other members of the gang did not start in time
	OutcomeWorkerLost     Outcome = "lost"    // the worker is no longer available
	OutcomeRefused        Outcome = "refused" // it did not start and cannot start later
)

// End records the end of a run on a worker and reports whether p changed. It
// ignores a run or worker that is not the current one of the task.
func (p *Progress) End(j *Job, k RunKey, worker string, outcome Outcome, checkpoint string, now time.Time) bool {
	t := p.Task(j, k.Task)
	if t == nil || t.Run != k.Run || t.Worker != worker {
		return false
	}
	t.Worker, t.Ticket, t.Stopping, t.Percent = "", "", false, 0
	if outcome == OutcomeRefused && t.LaterRuns > 0 {
		t.LaterRuns-- // it never started
	}
	if t.Done {
		return true
	}
	step := j.Steps[k.Task.Step]
	var members []Task
	if step.Gang {
		members = p.Step(j, k.Task.Occurrence, k.Task.Step)
	}
	p.SaveCheckpoint(t, members, checkpoint)
	switch {
	case outcome == OutcomeDone && !step.LongRunning:
		p.markDone(t, members)
	case outcome == OutcomeFailed && !step.LongRunning:
		p.countFailure(j, t, members, now)
	}
	p.updateState(now)
	return true
}

// EndLate records the end as done of a run that is not the current one of the task,
// because it counted as ended before, and reports whether p changed. The task is done:
// its end is acknowledged, so it must not start again. A later run of it stays placed
// until its own end.
func (p *Progress) EndLate(j *Job, k RunKey, now time.Time) bool {
	t := p.Task(j, k.Task)
	if t == nil || t.Done || k.Run < 1 || k.Run > t.Run || j.Steps[k.Task.Step].LongRunning {
		return false
	}
	var members []Task
	if j.Steps[k.Task.Step].Gang {
		members = p.Step(j, k.Task.Occurrence, k.Task.Step)
	}
	p.markDone(t, members)
	p.updateState(now)
	return true
}

// countFailure counts a failed run, and marks the job as failed when the task has
// no attempt left. The members of a gang fail together, so a run of a gang is
// counted once, in its first member.
func (p *Progress) countFailure(j *Job, t *Task, members []Task, now time.Time) {
	counted := t
	if len(members) > 0 {
		counted = &members[0]
		if counted.FailedRun == t.Run {
			return
		}
	}
	counted.Failures, counted.FailedRun = counted.Failures+1, t.Run
	if counted.Failures >= j.MaxAttempts {
		p.finish(Failed, now)
	}
}

// SaveCheckpoint stores the latest checkpoint of a task and reports whether it
// differs from the stored one. A checkpoint of one member of a gang applies to
// all members; members is empty for other tasks.
func (p *Progress) SaveCheckpoint(t *Task, members []Task, checkpoint string) bool {
	if checkpoint == "" || checkpoint == t.Checkpoint {
		return false
	}
	t.Checkpoint = checkpoint
	for i := range members {
		members[i].Checkpoint = checkpoint
	}
	return true
}

// markDone marks the task and all members of its gang as done.
func (p *Progress) markDone(t *Task, members []Task) {
	t.Done = true
	for i := range members {
		members[i].Done = true
	}
}

// Cancel marks the job as cancelled and reports whether it did. A job that has
// ended keeps its state.
func (p *Progress) Cancel(now time.Time) bool { return p.finish(Cancelled, now) }

// finish sets the final state of the job and reports whether it did. A job that has
// ended keeps its state.
func (p *Progress) finish(state State, now time.Time) bool {
	if p.State.Final() {
		return false
	}
	p.State, p.Ended = state, now
	return true
}

// updateState derives the state of the job from its tasks.
func (p *Progress) updateState(now time.Time) {
	if p.State.Final() {
		return
	}
	for i := range p.Tasks {
		if !p.Tasks[i].Done {
			p.State = Queued
			if p.Started() {
				p.State = Running
			}
			return
		}
	}
	p.finish(Completed, now)
}

// Place records that a run of the task is ordered on a worker. The run number must
// be higher than that of every run of the task that may have started.
func (p *Progress) Place(t *Task, worker, ticket string, run int) {
	t.Run, t.Worker, t.Ticket, t.Stopping, t.Percent = run, worker, ticket, false, 0
	if len(t.Crashes) >= LaterRunsFrom {
		t.LaterRuns++
	}
	if !p.State.Final() {
		p.State = Running
	}
}
