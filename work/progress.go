package work

import (
	"time"
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is how far a task is.
type Task struct {
	Run        int    `json:",omitempty"` // the latest run, 0 before the first
	Worker     string `json:",omitempty"` // incarnation that the run was ordered on; empty while none is
	Ticket     string `json:",omitempty"` // of the advice service, for the order
	Done       bool   `json:",omitempty"`
	Failures   int    `json:"Fails,omitempty"`
	FailedRun  int    `json:",omitempty"`      // latest run of a gang that was counted in Failures
	Checkpoint string `json:"Saved,omitempty"` // latest checkpoint
	Percent    int    `json:"-"`               // progress of the run, as the worker says
	Stopping   bool   `json:"-"`               // the run is being stopped
}

// Placed reports whether a run of the task was ordered and has not ended.
func (t *Task) Placed() bool { return t.Worker != "" }

// Progress is how far a job is. The leader is its only writer.
type Progress struct {
	State State
	Ended time.Time `json:",omitzero"`
	Tasks []Task    // by occurrence, then step, then index
}

// NewProgress returns the progress of a job that has just been accepted.
func NewProgress(j *Job) *Progress {
	return &Progress{State: Queued, Tasks: make([]Task, j.NumOccurrences()*j.perRun())}
}

// Valid reports whether p can be the progress of j.
func (p *Progress) Valid(j *Job) bool { return len(p.Tasks) == j.NumOccurrences()*j.perRun() }

func (j *Job) perRun() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// offset is the place in Tasks of the first task of a step.
func (j *Job) offset(occurrence, step int) int {
	n := occurrence * j.perRun()
	for _, s := range j.Steps[:step] {
		n += s.Count
	}
	return n
}

// Step returns the tasks of one step of one occurrence.
func (p *Progress) Step(j *Job, occurrence, step int) []Task {
	n := j.offset(occurrence, step)
	return p.Tasks[n : n+j.Steps[step].Count]
}

// Task returns the task of the key, or nil if the job has no such task.
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

// Ready reports whether the tasks of a step of an occurrence may start.
func (p *Progress) Ready(j *Job, occurrence, step int, now time.Time) bool {
	if p.State.Final() || now.Before(j.OccurrenceStart(occurrence)) {
		return false
	}
	for _, a := range j.Steps[step].DependsOn {
		if !p.StepDone(j, occurrence, a) {
			return false
		}
	}
	return true
}

// Started reports whether any task was ever ordered.
func (p *Progress) Started() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Run > 0 {
			return true
		}
	}
	return false
}

// Placed reports whether any run is ordered and has not ended.
func (p *Progress) Placed() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Placed() {
			return true
		}
	}
	return false
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // by its own fault or the worker's
	OutcomeStopped        Outcome = "stopped" // by an order
	OutcomeLeaseLapsed    Outcome = "lapsed"  // its lease ended
	OutcomeGangBroken     Outcome = "broken"  // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members of the gang did not come
	OutcomeWorkerLost     Outcome = "lost"    // the worker is gone
	OutcomeRefused        Outcome = "refused" // it was not started and never will be
)

// End records the end of a run on a worker and reports whether anything
// changed. An end of a run that is not the task's present one changes nothing.
func (p *Progress) End(j *Job, k RunKey, worker string, how Outcome, saved string, now time.Time) bool {
	t := p.Task(j, k.Task)
	if t == nil || t.Run != k.Run || t.Worker != worker {
		return false
	}
	t.Worker, t.Ticket, t.Stopping, t.Percent = "", "", false, 0
	if t.Done {
		return true
	}
	step := j.Steps[k.Task.Step]
	var members []Task
	if step.Gang {
		members = p.Step(j, k.Task.Occurrence, k.Task.Step)
	}
	p.SaveCheckpoint(t, members, saved)
	switch {
	case how == OutcomeDone && !step.LongRunning:
		p.done(t, members)
	case how == OutcomeFailed && !step.LongRunning:
		p.fail(j, t, members, now)
	}
	p.settle(now)
	return true
}

// fail counts a failed run. The members of a gang fail together, so a run of a
// gang counts once, at its first member.
func (p *Progress) fail(j *Job, t *Task, members []Task, now time.Time) {
	counted := t
	if len(members) > 0 {
		counted = &members[0]
		if counted.FailedRun == t.Run {
			return
		}
	}
	counted.Failures, counted.FailedRun = counted.Failures+1, t.Run
	if counted.Failures >= j.MaxAttempts && !p.State.Final() {
		p.State, p.Ended = Failed, now
	}
}

// SaveCheckpoint keeps the newest checkpoint of a task and reports whether it is new. A
// checkpoint of any member holds for the gang; members is empty for others.
func (p *Progress) SaveCheckpoint(t *Task, members []Task, saved string) bool {
	if saved == "" || saved == t.Checkpoint {
		return false
	}
	t.Checkpoint = saved
	for i := range members {
		members[i].Checkpoint = saved
	}
	return true
}

// done marks the task as done, and all members of a gang with it.
func (p *Progress) done(t *Task, members []Task) {
	t.Done = true
	for i := range members {
		members[i].Done = true
	}
}

// Cancel ends the job by its caller's wish.
func (p *Progress) Cancel(now time.Time) bool {
	if p.State.Final() {
		return false
	}
	p.State, p.Ended = Cancelled, now
	return true
}

// settle derives the state of the job from its tasks.
func (p *Progress) settle(now time.Time) {
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
	p.State, p.Ended = Completed, now
}

// Place records that a run of the task is ordered on a worker. Run numbers are
// above those of all runs of the task that may have started.
func (p *Progress) Place(t *Task, worker, ticket string, run int) {
	t.Run, t.Worker, t.Ticket, t.Stopping, t.Percent = run, worker, ticket, false, 0
	if !p.State.Final() {
		p.State = Running
	}
}
