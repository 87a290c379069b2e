package work

import (
	"slices"
	"time"
)

// CrashCause says what a crash of a worker under a run of a task has to do with the task.
type CrashCause string

// Causes of a crash.
const (
	CauseTask        CrashCause = "task"        // nothing else on the worker can have caused it
	CauseShared      CrashCause = "shared"      // the task or another one on the worker may have caused it
	CauseOther       CrashCause = "other"       // another run on the worker explains it better
	CauseCoincidence CrashCause = "coincidence" // other workers crashed at the same moment
	CauseUnknown     CrashCause = "unknown"     // it became known too late to tell
)

// Crash is the crash of a worker that had a run of the task.
type Crash struct {
	Run       int
	Worker    string        // incarnation
	Age       time.Duration `json:",omitempty"` // of the run
	Confirmed bool          `json:",omitempty"` // the worker had reported the run
	Cause     CrashCause    `json:",omitempty"`
}

const (
	// LaterRunsFrom is the number of crashes from which the runs of a task are counted in
	// LaterRuns.
	LaterRunsFrom = 3
	// maxCrashes bounds the crashes that are kept for a task. A job is given up before one
	// of its tasks has that many.
	maxCrashes = 16
)

// RecordCrash records the crash of the worker of the current run.
func (t *Task) RecordCrash(c Crash) {
	if len(t.Crashes) < maxCrashes {
		t.Crashes = append(slices.Clip(t.Crashes), c) // copies of the task share the earlier ones
	}
}

// WithdrawCrash records that a crash of a worker was a coincidence and reports whether
// that is new.
func (t *Task) WithdrawCrash(worker string) bool {
	i := slices.IndexFunc(t.Crashes, func(c Crash) bool { return c.Worker == worker })
	if i < 0 || t.Crashes[i].Cause == CauseCoincidence {
		return false
	}
	t.Crashes = slices.Clone(t.Crashes) // copies of the task share the earlier ones
	t.Crashes[i].Cause = CauseCoincidence
	return true
}

// GiveUp marks the job as failed and reports whether it did. A job that has ended keeps its
// state.
func (p *Progress) GiveUp(now time.Time) bool { return p.finish(Failed, now) }
