package rosemarysill

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// RuntimeTask is a task at a worker's runtime.
type RuntimeTask struct {
	Job     uuid.UUID
	Attempt int
	Member  int
}

// TaskStart is what a worker's runtime needs to start a task.
type TaskStart struct {
	Task         RuntimeTask
	Account      string
	Accelerators []int
	Processors   int
	MemoryMB     int
	Body         []byte
	Checkpoint   string // to resume from
	LeaseUntil   time.Time
}

// TaskStatus is a runtime's report on a task; usage has a lag.
type TaskStatus struct {
	Task       RuntimeTask
	State      TaskState
	Detail     string
	Result     []byte
	Checkpoint string
	UsedCores  float64
	UsedMB     int
	Measured   time.Time // of the usage
}

// Runtime is the platform's task runtime on one worker.
type Runtime interface {
	// Start starts a task under a lease. Starting a task that exists succeeds.
	Start(ctx context.Context, t TaskStart) error
	// Extend extends the lease of a task.
	Extend(ctx context.Context, t RuntimeTask, until time.Time) error
	// Checkpoint saves the task's state and returns the name to resume from.
	Checkpoint(ctx context.Context, t RuntimeTask) (string, error)
	// Throttle limits the task to a share of its processors, from 0 to 1.
	Throttle(ctx context.Context, t RuntimeTask, share float64) error
	// Stop ends a task and returns when it runs no more. Stopping a task that
	// does not exist succeeds.
	Stop(ctx context.Context, t RuntimeTask) error
	// Tasks returns all tasks, the finished ones included until forgotten.
	Tasks(ctx context.Context) ([]TaskStatus, error)
	// Forget drops a finished task.
	Forget(ctx context.Context, t RuntimeTask) error
}

// Upstream is a service instance that answers calls.
type Upstream interface {
	// Serve runs the call and returns the whole answer's body. An error with
	// a not-run code is proof that the upstream did not begin.
	Serve(ctx context.Context, c Call) ([]byte, error)
}
