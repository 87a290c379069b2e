package leader

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

var (
	errTermEnded  = errors.New("this entry leads no more")
	errBadReport  = errors.New("a report of the agent could not be taken")
	errSuperseded = errors.New("the agent has opened another stream since")
)

// attach serves the stream of an agent until it fails or the term ends.
func (t *term) attach(s control.AgentStream) error {
	received := make(chan error, 1)
	attached := t.newStream()
	go func() { received <- attached.receiveSafely(s) }()
	defer attached.detach()
	for {
		select {
		case <-t.ended:
			return errTermEnded
		case err := <-received:
			return err
		case <-s.Context().Done():
			return s.Context().Err()
		case <-attached.wake:
		}
		if o, ok := attached.orders(); ok {
			if err := s.Send(o); err != nil {
				return err
			}
		}
	}
}

// stream is one stream of an agent.
type stream struct {
	term        *term
	number      uint64 // rises with each stream of the term
	wake        chan struct{}
	incarnation string
	stamp       time.Time
}

func (t *term) newStream() *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened++
	return &stream{term: t, number: t.opened, wake: make(chan struct{}, 1)}
}

// receiveSafely receives until the stream fails. A report that causes a panic ends its
// stream; the agent opens another.
func (s *stream) receiveSafely(from control.AgentStream) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			control.LogPanic(s.term.cfg.Log, "report of an agent", cause)
			err = errBadReport
		}
	}()
	return s.receive(from)
}

func (s *stream) receive(from control.AgentStream) error {
	for {
		r, err := from.Receive()
		if err != nil {
			return err
		}
		if err := s.term.report(s, r); err != nil {
			return err
		}
		notify(s.wake)
	}
}

// detach forgets the stream.
func (s *stream) detach() {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[s.incarnation] == s.wake {
		delete(t.streams, s.incarnation)
	}
}

// orders returns the orders for a stream's worker.
func (s *stream) orders() (control.Orders, bool) {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	o := control.Orders{Epoch: t.rec.Epoch, Echo: s.stamp, ExtendsLease: now.Before(t.valid), Incarnation: s.incarnation}
	w, ok := t.workers[s.incarnation]
	if !ok || !w.attached {
		return o, true
	}
	o.AckedSeq = w.recorded
	listed := make(map[work.RunKey]bool, len(w.running))
	for _, r := range w.running {
		listed[r.Key] = true
	}
	for k := range w.placed {
		t.orderRun(&o, w, k, listed[k])
	}
	for k := range w.strays {
		o.Stops = append(o.Stops, k)
	}
	t.paces(&o, w)
	return o, true
}

// orderRun adds the order for a run that is ordered on the worker.
func (t *term) orderRun(o *control.Orders, w *workerState, k work.RunKey, listed bool) {
	s, task := t.task(k)
	if task == nil || task.Worker != w.Incarnation || task.Run != k.Run {
		return
	}
	if task.Stopping {
		o.Stops = append(o.Stops, k)
		return
	}
	if listed || !t.isRecorded(s, k, w.Incarnation) {
		return
	}
	o.Starts = append(o.Starts, work.Start{Key: k, Spec: s.job.Spec, Checkpoint: task.Checkpoint, Ticket: task.Ticket})
}

// isRecorded reports whether the store has the run on the worker.
func (t *term) isRecorded(s *jobState, k work.RunKey, worker string) bool {
	p := work.Progress{Tasks: s.recorded}
	task := p.Task(s.job, k.Task)
	return task.Run == k.Run && task.Worker == worker
}
