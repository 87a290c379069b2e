package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Submit implements queue.Jobs.
func (g *Gateway) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	start := time.Now()
	c = withDecision(c)
	err := g.submit(ctx, c, decode)
	g.cfg.Meter.ObserveAnswer("Submit", rosemarysill.CodeOf(err), time.Since(start))
	g.logOutcome(event.QueueAccepted, "Submit", c, err).Send()
	return err
}

func (g *Gateway) submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	cfg, q, account, id, err := g.admit(c)
	if err != nil {
		return err
	}
	if !validJobID(id) {
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "job identifier %q does not have 16 hexadecimal digits", id)
	}
	draft, err := decode()
	if err != nil {
		return err
	}
	if problem := draft.Check(); problem != "" {
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "%s", problem)
	}
	if _, known := g.cfg.Cache.Job(id); !known && g.cfg.Cache.NumJobs() >= g.cfg.MaxJobs {
		return g.refuseMarked(ctx, c, id, g.queueFull())
	}
	checked := *draft
	applyQueue(&checked, id, account, q)
	if _, known := g.cfg.Cache.Job(id); !known && !g.admitRecords(&checked, time.Now()) {
		return g.refuseMarked(ctx, c, id, g.recordsFull())
	}
	if submit, err := g.checkLoad(ctx, c, cfg, &checked); !submit {
		return err
	}
	uncertain := false
	markVersion := c.MarkVersion
	for repeated := c.Repeated; ; repeated = true {
		j := *draft
		applyQueue(&j, id, account, q)
		known := markVersion // only the first attempt may take an unknown mark for an earlier one
		err := g.writeJob(ctx, cfg, &j, &markVersion)
		if repeated && markVersion != 0 && markVersion != known {
			return g.refuseMarked(ctx, c, id, errRefusedMeanwhile)
		}
		setFoundMark(c, markVersion)
		if errors.Is(err, rosemarysill.ErrStoreUnavailable) {
			uncertain = true
		}
		if err == nil || !g.waitRetry(ctx, c) {
			return commitError(err, uncertain)
		}
		if cfg, q, account, _, err = g.admit(c); err != nil {
			if uncertain {
				return g.refuseMarked(ctx, c, id, err)
			}
			return err
		}
	}
}

// errRefusedMeanwhile refuses a job of which another try was refused while this one was in
// progress. The caller may have given up this try and relies on that refusal. The mark that
// shows it proves nothing for this refusal: a write in progress may have it as its guard.
var errRefusedMeanwhile = rosemarysill.NewError(rosemarysill.Overloaded, "another try of the job was refused meanwhile")

// setFoundMark records the version of the mark that a repetition of the call at another
// entry may replace.
func setFoundMark(c queue.Call, version uint64) {
	if c.FoundMark != nil && version != 0 {
		*c.FoundMark = version
	}
}

// applyQueue sets the identifier and the account of a job, and the fields that its
// queue determines.
func applyQueue(j *work.Job, id, account string, q *queue.Queue) {
	j.ID, j.Account, j.Queue, j.Service = id, account, q.Name, q.Service
	j.Priority, j.MaxAttempts, j.MaxSlowdown, j.Objective = q.Priority, q.MaxAttempts, q.MaxSlowdown, q.Objective
	j.Accepted = time.Now()
	if a := q.Advice; a != nil {
		j.Advised, j.AdviceCallTime, j.AdviceTimePerWorker = true, a.CallTime, a.TimePerWorker
	}
}

// writeJob records a job on the condition that the configuration is still the
// latest one. A record that exists already was written by an earlier attempt of
// the same request, so it counts as success. A mark of an earlier refusal of the job is
// replaced if it has the version markVersion; otherwise the attempt fails and markVersion is
// set for the next one. Writes that were sent before the mark have another version as guard
// and fail.
func (g *Gateway) writeJob(ctx context.Context, cfg *queue.Configuration, j *work.Job, markVersion *uint64) error {
	value, err := jobstore.EncodeJob(j)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InternalError, "encode job: %v", err)
	}
	key, markKey := jobstore.JobKey(j.ID), jobstore.MarkKey(j.ID)
	commit := rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: cfg.Key, Version: cfg.Revision}, {Key: key}, {Key: markKey, Version: *markVersion}},
		Writes: []rosemarysill.Write{{Key: key, Value: value}},
	}
	if *markVersion != 0 {
		commit.Remove = []string{markKey}
	}
	sent := uptime.Now()
	_, items, err := g.cfg.Store.Commit(ctx, commit)
	if errors.Is(err, rosemarysill.ErrVersion) {
		if rosemarysill.VersionOf(items, key) != 0 {
			return nil
		}
		*markVersion = rosemarysill.VersionOf(items, markKey)
		for _, i := range items {
			if i.Key == cfg.Key && i.Version > cfg.Revision {
				// A slow store may take as long to deliver the change as it took to answer.
				now := uptime.Now()
				g.cfg.Declarations.Expect(i.Version, now.Add(max(configDelay, now.Sub(sent))))
			}
		}
	}
	return err
}

// commitError converts the error of a commit. With uncertain, an earlier attempt
// of the same commit may have taken effect.
func commitError(err error, uncertain bool) error {
	switch {
	case err == nil:
		return nil
	case uncertain || errors.Is(err, rosemarysill.ErrStoreUnavailable):
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the write may have taken effect: %v", err)
	default:
		return rosemarysill.NewError(rosemarysill.StoreUnavailable, "the store did not commit the write: %v", err)
	}
}
