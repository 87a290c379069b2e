package placer

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/attempt"
	"github.com/rosemarysill/rosemarysill/job"
)

// TestForget guards against memory that grows with each job that ends while it
// waits, and against a number of an attempt that is used again while its job
// still waits.
func TestForget(t *testing.T) {
	p := New(attempt.Parts{}, 0, nil)
	stored := func(state rosemarysill.JobState) job.Stored {
		s := job.Stored{Job: rosemarysill.Job{Spec: rosemarysill.JobSpec{ID: uuid.New()}, State: state}}
		p.triesOf(s.Job.Spec.ID).highest = 3
		return s
	}
	waiting, cancelled, deleted := stored(rosemarysill.JobQueued), stored(rosemarysill.JobCancelled), stored(rosemarysill.JobDone)
	p.forget([]job.Stored{waiting, cancelled})
	require.Len(t, p.tries, 1)
	require.Equal(t, 3, p.triesOf(waiting.Job.Spec.ID).highest)
	require.NotContains(t, p.tries, deleted.Job.Spec.ID)
}
