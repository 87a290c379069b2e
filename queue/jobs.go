package queue

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Call is a request of a caller.
type Call struct {
	Host     string
	Path     string
	Key      string // of a client account
	Deadline time.Time
}

// Jobs serves the calls about jobs. Errors carry a rosemarysill.Code; one
// between 10 and 39 says that the call had no effect.
type Jobs interface {
	// Submit accepts a job. It decodes the body after the queue and the key
	// have been found good.
	Submit(ctx context.Context, c Call, decode func() (*work.Job, error)) error
	// State returns the state of an accepted job.
	State(ctx context.Context, c Call) (work.State, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, c Call) error
	// Pending returns the number of jobs of a queue that have not begun.
	Pending(ctx context.Context, c Call) (int, error)
	// IsQueue reports whether the path of the call names a queue, not a job.
	IsQueue(c Call) bool
	// MaxBody is the largest body of a request in bytes.
	MaxBody() int64
}
