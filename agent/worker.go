package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	ledger "github.com/rosemarysill/rosemarysill/worker"
	"golang.org/x/sync/errgroup"
)

// worker is the back end of a worker's agent: it feeds the ledger and performs
// its effects at the runtime.
type worker struct {
	cfg     Config
	opts    rosemarysill.Options
	runtime rosemarysill.Runtime

	mu      sync.Mutex
	ledger  *ledger.Ledger
	changed chan struct{} // closed and replaced when an effect or a poll ends
	working map[work]context.CancelFunc
	effects sync.WaitGroup
	closed  bool // no more effects are begun
}

// work is an effect in progress.
type work struct {
	kind ledger.EffectKind
	task rosemarysill.RuntimeTask
}

func newWorker(cfg Config, r rosemarysill.Runtime, opts rosemarysill.Options) *worker {
	return &worker{
		cfg: cfg, opts: opts, runtime: r,
		ledger: ledger.NewLedger(ledger.LedgerConfig{
			Identity: cfg.Identity, Timings: opts.Timings, Jobs: cfg.Jobs, RetryAfter: cfg.PollEvery,
		}),
		changed: make(chan struct{}),
		working: map[work]context.CancelFunc{},
	}
}

// start stops the tasks that an earlier boot left at the runtime. It tries
// until none is left, because the new boot is the proof that they are gone.
func (w *worker) start(ctx context.Context) error {
	for {
		err := w.clean(ctx)
		if err == nil {
			return nil
		}
		event.AgentRuntimeFailed.Log(w.opts.Log).Str("Request", "clean").Err(err).Send()
		select {
		case <-ctx.Done():
			return rosemarysill.NewError(rosemarysill.ShuttingDown, "tasks of an earlier boot may be left: %v", err)
		case <-time.After(w.cfg.PollEvery):
		}
	}
}

func (w *worker) clean(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, w.cfg.CallWithin)
	list, err := w.runtime.Tasks(limit)
	cancel()
	if err != nil {
		return err
	}
	var stops errgroup.Group
	stops.SetLimit(8) // requests at a time to the runtime
	for _, s := range list {
		stops.Go(func() error {
			event.AgentLeftoverStopped.Log(w.opts.Log).Stringer("Job", s.Task.Job).Int("Attempt", s.Task.Attempt).Int("Member", s.Task.Member).Send()
			limit, cancel := context.WithTimeout(ctx, w.cfg.EndWithin)
			defer cancel()
			if err := w.runtime.Stop(limit, s.Task); err != nil {
				return err
			}
			return w.runtime.Forget(limit, s.Task)
		})
	}
	return stops.Wait()
}

// run polls the runtime and performs what is due until ctx ends, then waits for
// the effects in progress.
func (w *worker) run(ctx context.Context) {
	var polls sync.WaitGroup
	defer w.effects.Wait()
	defer w.close()
	defer polls.Wait()
	polls.Go(func() { w.poll(ctx) })
	// Deadlines are noticed within a part of the margin that other hosts add.
	tick := time.NewTicker(w.opts.Timings.Margin / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			w.settle(ctx)
		}
	}
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, cancel := range w.working {
		cancel()
	}
}

func (w *worker) poll(ctx context.Context) {
	tick := time.NewTicker(w.cfg.PollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		asked := w.opts.Now()
		limit, cancel := context.WithTimeout(ctx, w.cfg.CallWithin)
		list, err := w.runtime.Tasks(limit)
		cancel()
		if err != nil {
			event.AgentRuntimeFailed.Log(w.opts.Log).Str("Request", "Tasks").Err(err).Send()
			continue
		}
		w.mu.Lock()
		w.ledger.Observe(list, asked, w.opts.Now())
		w.announce()
		w.mu.Unlock()
		w.settle(ctx)
	}
}

// announce wakes those who wait for a change. The caller holds mu.
func (w *worker) announce() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// settle begins the effects that are due.
func (w *worker) settle(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	for _, e := range w.ledger.Due(w.opts.Now()) {
		w.begin(context.WithoutCancel(ctx), e)
	}
}

// begin performs an effect in the background. A stop ends the other requests
// for its task. The caller holds mu.
func (w *worker) begin(ctx context.Context, e ledger.Effect) {
	this := work{e.Kind, e.Task}
	if _, ok := w.working[this]; ok {
		return
	}
	if e.Kind == ledger.StopTask {
		for other, cancel := range w.working {
			if other.task == e.Task {
				cancel()
			}
		}
	}
	limit, cancel := context.WithTimeout(ctx, w.within(e.Kind))
	w.working[this] = cancel
	w.effects.Go(func() {
		defer cancel()
		w.perform(limit, e)
		w.settle(ctx)
	})
}

func (w *worker) within(kind ledger.EffectKind) time.Duration {
	switch kind {
	case ledger.CheckpointTask:
		return w.cfg.CheckpointWithin
	case ledger.StopTask:
		return w.cfg.EndWithin
	default:
		return w.cfg.CallWithin
	}
}

// perform sends the effect to the runtime and tells the ledger the result.
func (w *worker) perform(ctx context.Context, e ledger.Effect) {
	w.mu.Lock()
	due := w.ledger.Begin(e, w.opts.Now())
	w.mu.Unlock()
	var checkpoint string
	var err error
	if due {
		checkpoint, err = w.request(ctx, e)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.working, work{e.Kind, e.Task})
	if due {
		w.log(e, err)
		w.ledger.Did(e, checkpoint, err, w.opts.Now())
	}
	w.announce()
}

func (w *worker) request(ctx context.Context, e ledger.Effect) (string, error) {
	switch e.Kind {
	case ledger.StartTask:
		return "", w.runtime.Start(ctx, e.Start)
	case ledger.ExtendTask:
		return "", w.runtime.Extend(ctx, e.Task, e.Until)
	case ledger.CheckpointTask:
		return w.runtime.Checkpoint(ctx, e.Task)
	case ledger.StopTask:
		return "", w.runtime.Stop(ctx, e.Task)
	default:
		return "", w.runtime.Forget(ctx, e.Task)
	}
}

func (w *worker) log(e ledger.Effect, err error) {
	number := event.AgentTaskRequest
	if err != nil {
		number = event.AgentRuntimeFailed
	}
	number.Log(w.opts.Log).Str("Request", string(e.Kind)).Stringer("Job", e.Task.Job).Int("Attempt", e.Task.Attempt).
		Int("Member", e.Task.Member).Err(err).Send()
}
