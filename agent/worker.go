package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// worker is the back end of a worker's agent.
type worker struct {
	cfg      Config
	opts     rosemarysill.Options
	runtime  rosemarysill.Runtime
	mu       sync.Mutex
	reserved map[uuid.UUID]rosemarysill.ReserveRequest
}

func newWorker(cfg Config, r rosemarysill.Runtime, opts rosemarysill.Options) *worker {
	return &worker{cfg: cfg, opts: opts, runtime: r, reserved: map[uuid.UUID]rosemarysill.ReserveRequest{}}
}

func (w *worker) start(context.Context) error { return nil }

func (w *worker) run(context.Context) {}

func (w *worker) report(*rosemarysill.AgentReport) {}

func (w *worker) obey(rosemarysill.AgentOrders, time.Time) {}

func (w *worker) leave() {}

func (w *worker) finish(context.Context) {}

// Forward is refused: calls run on upstreams.
func (w *worker) Forward(context.Context, rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.InvalidRequest, "%s is a worker and answers no calls", w.cfg.Identity.Name)
}

// Reserve holds capacity for one member of a gang.
func (w *worker) Reserve(_ context.Context, r rosemarysill.ReserveRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved[r.Spec.ID] = r
	return nil
}

// Commit starts a reserved member.
func (w *worker) Commit(ctx context.Context, r rosemarysill.CommitRequest) error {
	w.mu.Lock()
	held, ok := w.reserved[r.Job]
	w.mu.Unlock()
	if !ok {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "no reservation for job %s", r.Job)
	}
	return w.runtime.Start(ctx, rosemarysill.TaskStart{
		Task:         rosemarysill.RuntimeTask{Job: r.Job, Attempt: r.Attempt, Member: r.Member},
		Account:      held.Spec.Account,
		Accelerators: held.Slot.Accelerators,
		Processors:   held.Spec.Shape.Processors,
		MemoryMB:     held.Spec.Shape.MemoryMB,
		Body:         held.Spec.Body,
		Checkpoint:   held.Checkpoint,
		LeaseUntil:   w.opts.Now().Add(r.Lease),
	})
}

// Stop ends a member.
func (w *worker) Stop(ctx context.Context, r rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	task := rosemarysill.RuntimeTask{Job: r.Job, Attempt: r.Attempt, Member: r.Member}
	if err := w.runtime.Stop(ctx, task); err != nil {
		return rosemarysill.StopReply{}, err
	}
	return rosemarysill.StopReply{Stopped: true}, nil
}
