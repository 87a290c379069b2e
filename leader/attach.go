package leader

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

var (
	errTermEnded   = errors.New("this entry is no longer the leader")
	errReportPanic = errors.New("receiving or applying a report of the agent panicked; the log of the leader has the stack")
	errSuperseded  = errors.New("the agent has opened a newer stream")
)

// attach serves the stream of an agent until it fails or the term ends.
func (t *term) attach(s control.AgentStream) error {
	received := make(chan error, 1)
	attached := t.newStream()
	go func() { received <- attached.receiveRecovering(s) }()
	defer attached.detach()
	for {
		select {
		case <-t.ended:
			return errors.Wrapf(errTermEnded, "term of epoch %d", t.rec.Epoch)
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
	number      uint64        // increases with each stream of the term
	wake        chan struct{} // signals that there may be new orders
	incarnation string        // of the agent's worker, from the latest report
	stamp       time.Time     // of the latest report; echoed in orders
}

func (t *term) newStream() *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streamsOpened++
	return &stream{term: t, number: t.streamsOpened, wake: make(chan struct{}, 1)}
}

// receiveRecovering receives reports until the stream fails. A report that causes a panic
// ends only its stream; the agent then opens another.
func (s *stream) receiveRecovering(from control.AgentStream) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			control.LogPanic(s.term.cfg.Log, "report of an agent", cause)
			err = errReportPanic
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

// detach removes the stream unless a newer one has replaced it.
func (s *stream) detach() {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[s.incarnation] == s.wake {
		delete(t.streams, s.incarnation)
	}
}

// orders returns the orders for the worker of a stream, and false if there are none
// because the term is over. The next leader does not know of the reports that arrive from
// then on, so they must not extend leases.
func (s *stream) orders() (control.Orders, bool) {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holdsLease() {
		return control.Orders{}, false
	}
	o := control.Orders{Epoch: t.rec.Epoch, Echo: s.stamp, ExtendsLease: true, Incarnation: s.incarnation}
	w, ok := t.workers[s.incarnation]
	if !ok || !w.attached {
		return o, true
	}
	o.AckedSeq = w.committedSeq
	listed := make(map[work.RunKey]bool, len(w.running))
	for _, r := range w.running {
		listed[r.Key] = true
	}
	startBytes := 0
	for k := range w.placedAt {
		t.addRunOrder(&o, &startBytes, w, k, listed[k])
	}
	for k := range w.orphans {
		o.Stops = append(o.Stops, k)
	}
	if len(o.Starts) > 0 {
		o.Reserved = t.reservations(w)
	}
	t.addThrottles(&o, w)
	return o, true
}

// addRunOrder adds the start or stop of a run that is placed on the worker. A start is
// ordered only once the placement is committed, and not if the worker lists the run, the
// task is done, the copies may lack a cancellation or a domain that was taken out, or the
// run will be taken for lost because the leases have lapsed. A placement by an earlier
// leader is withdrawn if the domain has been taken out since. A start is deferred if the
// starts in the message, which have startBytes, leave no room for it: the next report shows
// that some of them have been carried out.
func (t *term) addRunOrder(o *control.Orders, startBytes *int, w *workerState, k work.RunKey, listed bool) {
	s, task := t.placedRun(w, k)
	if task == nil {
		return
	}
	if !listed && !t.copiesOutdated && t.placedByEarlierLeader(w, k) && t.cfg.Declarations.DomainOut(w.Domain) {
		t.stop(k, task, domainTakenOut)
	}
	if task.Stopping {
		o.Stops = append(o.Stops, k)
		return
	}
	if listed || task.Done || w.LeasesLapsed || t.copiesOutdated || !t.isCommitted(s, k, w.Incarnation) {
		return
	}
	*startBytes += len(s.job.Spec) + len(task.Checkpoint) + len(task.Ticket)
	if len(o.Starts) > 0 && *startBytes > control.MaxStartBytes {
		o.Deferred = append(o.Deferred, k)
		return
	}
	o.Starts = append(o.Starts, work.Start{Key: k, Spec: s.job.Spec, Checkpoint: task.Checkpoint, Ticket: task.Ticket, Demand: schedule.Demand(s.job.Steps[k.Task.Step])})
}

// placedByEarlierLeader reports whether a run that is placed on the worker was placed before
// this term.
func (t *term) placedByEarlierLeader(w *workerState, k work.RunKey) bool {
	return !w.placedAt[k].After(t.elected)
}

// isCommitted reports whether the placement of a run on the worker is committed.
func (t *term) isCommitted(s *jobState, k work.RunKey, worker string) bool {
	p := work.Progress{Tasks: s.committed}
	task := p.Task(s.job, k.Task)
	return task.Run == k.Run && task.Worker == worker
}
