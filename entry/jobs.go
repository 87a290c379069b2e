package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
)

// cancelTries bounds the compare-and-swaps of one cancellation; each lost race
// means that the job has just moved on.
const cancelTries = 5

// Submit accepts a job by creating its record in the store.
func (e *Entry) Submit(ctx context.Context, spec rosemarysill.JobSpec) (rosemarysill.Job, error) {
	if known, ok := e.book.Get(spec.ID); ok {
		return sameJob(known.Job, spec)
	}
	now := e.opts.Now()
	if err := e.admit(spec, now); err != nil {
		return rosemarysill.Job{}, err
	}
	job := rosemarysill.Job{Spec: spec, State: rosemarysill.JobQueued, Submitted: now}
	stored, res := e.book.Write(ctx, job, 0, now)
	switch res.Effect {
	case kvstore.TookEffect:
		e.placer.Wake()
		return stored.Job, nil
	case kvstore.NoEffect:
		return e.refusedSubmit(ctx, spec, res.Err)
	default:
		return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown,
			"the store did not tell whether job %s was accepted; submit it again with the same identifier", spec.ID)
	}
}

// refusedSubmit answers a submission whose record was not created: the same
// job may have been accepted before.
func (e *Entry) refusedSubmit(ctx context.Context, spec rosemarysill.JobSpec, cause error) (rosemarysill.Job, error) {
	if !errors.Is(cause, rosemarysill.ErrVersion) {
		return rosemarysill.Job{}, storeError(cause)
	}
	known, err := e.book.Read(ctx, spec.ID)
	if err != nil {
		return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "job %s exists but cannot be read", spec.ID)
	}
	return sameJob(known.Job, spec)
}

// sameJob returns the accepted job if it has the same specification.
func sameJob(known rosemarysill.Job, spec rosemarysill.JobSpec) (rosemarysill.Job, error) {
	if !equalSpec(known.Spec, spec) {
		return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.IdentifierReused, "job %s was accepted with different content", spec.ID)
	}
	return known, nil
}

func equalSpec(a, b rosemarysill.JobSpec) bool {
	if string(a.Body) != string(b.Body) {
		return false
	}
	a.Body, b.Body = nil, nil
	return a.ID == b.ID && a.Account == b.Account && a.Class == b.Class && a.Idempotent == b.Idempotent &&
		a.Shape == b.Shape && a.DeclaredSeconds == b.DeclaredSeconds
}

// admit refuses a job that cannot be accepted now or ever.
func (e *Entry) admit(spec rosemarysill.JobSpec, now time.Time) error {
	if e.stopping.Load() {
		return rosemarysill.NewError(rosemarysill.ShuttingDown, "entry %s is shutting down", e.cfg.Name)
	}
	if err := checkAge(spec.ID, e.opts.Timings.RequestMemory/2, now); err != nil {
		return err
	}
	if n := len(spec.Body); n > e.cfg.MaxJobBodyBytes {
		return rosemarysill.NewError(rosemarysill.TooLarge, "the body has %d bytes, the limit is %d", n, e.cfg.MaxJobBodyBytes)
	}
	auth := e.members.Authority()
	if !auth.ByStore(now) {
		return rosemarysill.NewError(rosemarysill.StoreUnavailable, "a job is accepted only while the store answers")
	}
	account, ok := auth.Config.Account(spec.Account)
	if !ok {
		return rosemarysill.NewError(rosemarysill.UnknownAccount, "client account %q is not declared", spec.Account)
	}
	if q := account.QuotaAccelerators; q > 0 && spec.Shape.TotalAccelerators() > q {
		return rosemarysill.NewError(rosemarysill.QuotaExceeded, "%d accelerators exceed the quota of %d", spec.Shape.TotalAccelerators(), q)
	}
	if n := e.book.Open(); n >= e.cfg.MaxJobs {
		return rosemarysill.NewError(rosemarysill.QueueFull, "%d jobs are open, the limit is %d", n, e.cfg.MaxJobs)
	}
	return e.possible(spec.Shape, &auth.Config, now)
}

// checkAge refuses an identifier that is so old or so far ahead that a record
// of it may have been deleted.
func checkAge(id uuid.UUID, limit time.Duration, now time.Time) error {
	sec, nsec := id.Time().UnixTime()
	made := time.Unix(sec, nsec)
	if id.Version() != 7 || made.Before(now.Add(-limit)) || made.After(now.Add(limit)) {
		return rosemarysill.NewError(rosemarysill.IdentifierExpired, "identifier %s is not a version 7 UUID of the last %s", id, limit)
	}
	return nil
}

// Cancel ends a job that waits and asks for the end of one that has started.
func (e *Entry) Cancel(ctx context.Context, id uuid.UUID) (rosemarysill.Job, error) {
	for range cancelTries {
		known, err := e.book.Read(ctx, id)
		if err != nil {
			return rosemarysill.Job{}, jobError(id, err)
		}
		if known.Job.State.Final() || known.Job.CancelRequested {
			return known.Job, nil
		}
		stored, res := e.book.Write(ctx, cancelled(known.Job), known.Version, e.opts.Now())
		switch {
		case res.Effect == kvstore.TookEffect:
			e.placer.Wake()
			return stored.Job, nil
		case res.Effect == kvstore.Unresolved:
			return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the store did not tell whether job %s was cancelled", id)
		case !errors.Is(res.Err, rosemarysill.ErrVersion):
			return rosemarysill.Job{}, storeError(res.Err)
		}
	}
	return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.Overloaded, "job %s changes too often; cancel again", id)
}

// cancelled returns the job as a cancellation leaves it.
func cancelled(job rosemarysill.Job) rosemarysill.Job {
	if job.State == rosemarysill.JobQueued && job.Attempt == 0 {
		job.State, job.Code, job.Detail = rosemarysill.JobCancelled, rosemarysill.CancelledUnstarted, "cancelled while it waited"
		return job
	}
	job.CancelRequested = true
	return job
}

// Job returns a job. During an outage of the store it answers from its copy if
// the job is final there, because a final job does not change.
func (e *Entry) Job(ctx context.Context, id uuid.UUID) (rosemarysill.Job, error) {
	known, err := e.book.Read(ctx, id)
	if err == nil {
		return known.Job, nil
	}
	if !errors.Is(err, rosemarysill.ErrNotFound) {
		if known, ok := e.book.Get(id); ok && known.Job.State.Final() {
			return known.Job, nil
		}
	}
	return rosemarysill.Job{}, jobError(id, err)
}

// jobError turns a failed read of a job into a numbered error.
func jobError(id uuid.UUID, err error) error {
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return rosemarysill.NewError(rosemarysill.UnknownJob, "no job %s", id)
	}
	return storeError(err)
}

// storeError turns an error of the store that proves that nothing was done
// into a numbered error.
func storeError(err error) error {
	switch {
	case errors.Is(err, rosemarysill.ErrRateLimited):
		return rosemarysill.NewError(rosemarysill.Overloaded, "the rate of the store is used up")
	case rosemarysill.CodeOf(err).Truth() == rosemarysill.TruthNotRun:
		return err
	default:
		return rosemarysill.NewError(rosemarysill.StoreUnavailable, "the store does not answer: %v", err)
	}
}
