package standin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

var (
	errNoTask      = rosemarysill.NewError(rosemarysill.UnknownJob, "runtime: no such task")
	errNotRunning  = rosemarysill.NewError(rosemarysill.UnknownJob, "runtime: task does not run")
	errUnavailable = errors.New("runtime: unavailable")
	errStartLost   = errors.New("runtime: answer lost")
)

// enter applies the faults before a call. It waits as long as the runtime
// hangs.
func (r *Runtime) enter(ctx context.Context) error {
	due := time.Time{}
	for {
		ticked := r.clock.ticked()
		r.mu.Lock()
		f := r.faults
		r.mu.Unlock()
		now := r.opts.Now()
		if due.IsZero() {
			due = now.Add(f.Delay)
		}
		switch {
		case f.Outage:
			return errUnavailable
		case !f.Hang:
			if !r.clock.until(ctx, due) {
				return errUnavailable
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return errUnavailable
		case <-ticked:
		}
	}
}

// change carries out a call under the lock.
func (r *Runtime) change(ctx context.Context, effect func() error) error {
	if err := r.enter(serverContext(ctx)); err != nil {
		return err
	}
	r.mu.Lock()
	r.settle()
	err := effect()
	answer := r.opts.Now().Add(r.faults.AnswerDelay)
	r.mu.Unlock()
	if !r.clock.until(ctx, answer) {
		return errUnavailable
	}
	return err
}

// Start implements rosemarysill.Runtime.
func (r *Runtime) Start(ctx context.Context, s rosemarysill.TaskStart) error {
	return r.startCall(ctx, s, func(time.Time) time.Time { return s.LeaseUntil })
}

func (r *Runtime) startCall(ctx context.Context, s rosemarysill.TaskStart, until func(now time.Time) time.Time) error {
	received := r.opts.Now()
	return r.change(ctx, func() error {
		err := r.startTask(s, until(received))
		if err == nil && r.faults.LoseNext > 0 {
			r.faults.LoseNext--
			return errStartLost
		}
		return err
	})
}

// Extend implements rosemarysill.Runtime. A lease is never shortened.
func (r *Runtime) Extend(ctx context.Context, id rosemarysill.RuntimeTask, until time.Time) error {
	return r.change(ctx, func() error {
		t, err := r.running(id)
		if err == nil && until.After(t.lease) {
			t.lease = until
		}
		return err
	})
}

// Checkpoint implements rosemarysill.Runtime. The task goes on meanwhile; when
// it ends before the checkpoint is saved, there is none.
func (r *Runtime) Checkpoint(ctx context.Context, id rosemarysill.RuntimeTask) (string, error) {
	var saved time.Time
	err := r.change(ctx, func() error {
		t, err := r.running(id)
		if err == nil {
			saved = r.opts.Now().Add(seconds(t.body.CheckpointSeconds) + r.faults.CheckpointDelay)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	if !r.clock.until(ctx, saved) {
		return "", errUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	t, err := r.running(id)
	if err != nil {
		return "", err
	}
	t.saved = checkpointName(id, min(t.body.RunSeconds, t.progressAt(r.opts.Now())))
	return t.saved, nil
}

// Throttle implements rosemarysill.Runtime.
func (r *Runtime) Throttle(ctx context.Context, id rosemarysill.RuntimeTask, share float64) error {
	return r.change(ctx, func() error {
		if !(share >= 0 && share <= 1) {
			return rosemarysill.NewError(rosemarysill.InvalidRequest, "runtime: share %g is not from 0 to 1", share)
		}
		t, err := r.running(id)
		if err != nil {
			return err
		}
		now := r.opts.Now()
		t.progress, t.since, t.share = t.progressAt(now), now, share
		return nil
	})
}

// Stop implements rosemarysill.Runtime.
func (r *Runtime) Stop(ctx context.Context, id rosemarysill.RuntimeTask) error {
	err := r.change(ctx, func() error {
		t := r.tasks[id]
		if t == nil {
			r.refused = append(r.refused, id)
			r.refused = r.refused[max(0, len(r.refused)-maxRefused):]
			return nil
		}
		if t.state == rosemarysill.TaskRunning {
			t.state, t.stopAt = rosemarysill.TaskStopping, r.opts.Now().Add(seconds(t.body.StopSeconds))
			r.settle()
		}
		return nil
	})
	if err != nil {
		return err
	}
	for {
		r.mu.Lock()
		r.settle()
		t := r.tasks[id]
		stopped := t == nil || !t.live()
		var due time.Time
		if !stopped {
			due = t.stopAt
			if t.lease.Before(due) {
				due = t.lease
			}
		}
		r.mu.Unlock()
		if stopped {
			return nil
		}
		if !r.clock.until(ctx, due) {
			return errUnavailable
		}
	}
}

// Tasks implements rosemarysill.Runtime.
func (r *Runtime) Tasks(ctx context.Context) ([]rosemarysill.TaskStatus, error) {
	var all []rosemarysill.TaskStatus
	err := r.change(ctx, func() error {
		all = r.statuses()
		return nil
	})
	return all, err
}

// Forget implements rosemarysill.Runtime.
func (r *Runtime) Forget(ctx context.Context, id rosemarysill.RuntimeTask) error {
	return r.change(ctx, func() error {
		t := r.tasks[id]
		if t != nil && t.live() {
			return rosemarysill.NewError(rosemarysill.InvalidRequest, "runtime: task still runs")
		}
		delete(r.tasks, id)
		return nil
	})
}

type taskRequest struct {
	Task  rosemarysill.RuntimeTask
	Start rosemarysill.TaskStart
	Lease time.Duration
	Share float64
}

// ServeHTTP implements the runtime protocol of the package's documentation.
func (r *Runtime) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	ctx := req.Context()
	var in taskRequest
	switch req.Method + " " + req.URL.Path {
	case "GET /v1/tasks":
		all, err := r.Tasks(ctx)
		r.answer(w, map[string]any{"Tasks": all}, err)
	case "GET /control/journal":
		events, _ := r.Journal().Events()
		writeJSON(w, http.StatusOK, events)
	case "POST /control/faults":
		var f RuntimeFaults
		if err := readJSON(w, req, 64<<10, &f); err != nil {
			writeJSON(w, http.StatusBadRequest, refusal{Error: "Invalid", Detail: err.Error()})
			return
		}
		r.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	case "POST /v1/start", "POST /v1/extend", "POST /v1/checkpoint", "POST /v1/throttle", "POST /v1/stop", "POST /v1/forget":
		if err := readJSON(w, req, int64(r.opts.MaxBodyBytes)*3/2+64<<10, &in); err != nil {
			writeJSON(w, http.StatusBadRequest, refusal{Error: "Invalid", Detail: err.Error()})
			return
		}
		v, err := r.post(ctx, req.URL.Path, in)
		r.answer(w, v, err)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *Runtime) post(ctx context.Context, path string, in taskRequest) (any, error) {
	received := r.opts.Now()
	switch path {
	case "/v1/start":
		return struct{}{}, r.startCall(ctx, in.Start, func(now time.Time) time.Time { return now.Add(in.Lease) })
	case "/v1/extend":
		return struct{}{}, r.Extend(ctx, in.Task, received.Add(in.Lease))
	case "/v1/checkpoint":
		name, err := r.Checkpoint(ctx, in.Task)
		return map[string]string{"Checkpoint": name}, err
	case "/v1/throttle":
		return struct{}{}, r.Throttle(ctx, in.Task, in.Share)
	case "/v1/stop":
		return struct{}{}, r.Stop(ctx, in.Task)
	default:
		return struct{}{}, r.Forget(ctx, in.Task)
	}
}

func (r *Runtime) answer(w http.ResponseWriter, v any, err error) {
	refuse := func(status int, name string) {
		writeJSON(w, status, refusal{Error: name, Detail: rosemarysill.DetailOf(err)})
	}
	code := rosemarysill.CodeOf(err)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, errStartLost):
		dropConnection()
	case errors.Is(err, errNoTask):
		refuse(http.StatusNotFound, "NotFound")
	case errors.Is(err, errNotRunning):
		refuse(http.StatusConflict, "NotRunning")
	case code == rosemarysill.NoCapacity:
		refuse(http.StatusConflict, "NoCapacity")
	case code == rosemarysill.ReservationLapsed:
		refuse(http.StatusConflict, "Lapsed")
	case code == rosemarysill.StaleAttempt:
		refuse(http.StatusConflict, "Stopped")
	case code.Truth() == rosemarysill.TruthNotRun:
		refuse(http.StatusBadRequest, "Invalid")
	default:
		refuse(http.StatusServiceUnavailable, "Unavailable")
	}
}
