package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/work"
)

// Submit implements queue.Jobs.
func (g *Gateway) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	began := time.Now()
	id, err := g.submit(ctx, c, decode)
	g.cfg.Meter.ObserveAnswer("Submit", rosemarysill.CodeOf(err), time.Since(began))
	g.log(event.QueueAccepted, id, err)
	return err
}

func (g *Gateway) submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) (string, error) {
	cfg, q, account, id, err := g.admit(c)
	if err != nil {
		return lastPart(c.Path), err
	}
	if !validID(id) {
		return id, rosemarysill.NewError(rosemarysill.InvalidRequest, "%q is not an identifier of 16 hexadecimal digits", id)
	}
	draft, err := decode()
	if err != nil {
		return id, err
	}
	if fault := draft.Check(); fault != "" {
		return id, rosemarysill.NewError(rosemarysill.InvalidRequest, "%s", fault)
	}
	if _, known := g.cfg.Cache.Job(id); !known && g.cfg.Cache.Len() >= g.cfg.MaxJobs {
		return id, rosemarysill.NewError(rosemarysill.QueueFull, "%d jobs are on record", g.cfg.MaxJobs)
	}
	uncertain := false
	for {
		j := *draft
		fill(&j, id, account, q)
		err := g.record(ctx, cfg, &j)
		if errors.Is(err, rosemarysill.ErrStoreUnavailable) {
			uncertain = true
		}
		if err == nil || !g.again(ctx, c, err) {
			return id, submitError(err, uncertain)
		}
		if cfg, q, account, _, err = g.admit(c); err != nil {
			if uncertain {
				return id, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "%v", err)
			}
			return id, err
		}
	}
}

// fill adds what the queue says about its jobs.
func fill(j *work.Job, id, account string, q *queue.Queue) {
	j.ID, j.Account, j.Queue, j.Service = id, account, q.Name, q.Service
	j.Priority, j.MaxAttempts, j.MaxSlowdown, j.Objective = q.Priority, q.MaxAttempts, q.MaxSlowdown, q.Objective
	j.Accepted = time.Now()
	if a := q.Advice; a != nil {
		j.Advised, j.AdviceCallTime, j.AdviceTimePerWorker = true, a.CallTime, a.TimePerWorker
	}
}

// record writes a job under the condition that the configuration is the
// newest. A job that is there already is an earlier try of the same request.
func (g *Gateway) record(ctx context.Context, cfg *queue.Configuration, j *work.Job) error {
	value, err := jobstore.EncodeJob(j)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InternalError, "encode job: %v", err)
	}
	key := jobstore.JobKey(j.ID)
	_, items, err := g.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: cfg.Key, Version: cfg.Revision}, {Key: key}},
		Writes: []rosemarysill.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, rosemarysill.ErrVersion) {
		for _, i := range items {
			if i.Key == key && i.Version != 0 {
				return nil
			}
		}
	}
	return err
}

// submitError says whether the request is known to have had no effect.
func submitError(err error, uncertain bool) error {
	switch {
	case err == nil:
		return nil
	case uncertain || errors.Is(err, rosemarysill.ErrStoreUnavailable):
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the store did not answer: %v", err)
	default:
		return rosemarysill.NewError(rosemarysill.StoreUnavailable, "%v", err)
	}
}
