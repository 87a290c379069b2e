package work

import (
	"slices"
	"time"
)

// Crash is the crash of a worker that had a run of the task.
type Crash struct {
	Run       int
	Worker    string        // incarnation
	Age       time.Duration `json:",omitempty"` // of the run
	Confirmed bool          `json:",omitempty"` // the worker had reported the run
}

// maxCrashes bounds the crashes that are kept for a task. A job is given up before one of
// its tasks has that many.
const maxCrashes = 16

// RecordCrash records the crash of the worker of the current run.
func (t *Task) RecordCrash(c Crash) {
	if len(t.Crashes) < maxCrashes {
		t.Crashes = append(slices.Clip(t.Crashes), c) // copies of the task share the earlier ones
	}
}
