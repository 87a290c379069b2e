// Package worker keeps the ledger of a worker: reservations, running members,
// gang leases, epochs and attempts.
package worker

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// LedgerConfig is the capacity of a worker and the bounds of its ledger. Zero
// bounds stand for the defaults.
type LedgerConfig struct {
	Identity rosemarysill.AgentIdentity
	Timings  rosemarysill.Timings
	Jobs     int // jobs remembered; default 4,096
	Members  int // members at a time; default 512
	Finished int // outcomes kept for reports; default 64
	Results  int // bytes of the kept outcomes' results; default 1 MiB
	// RetryAfter is the delay before an effect that failed is tried again;
	// default 500 ms.
	RetryAfter time.Duration
}

// Ledger is the authority on one worker's capacity: it decides what is
// reserved, started, extended and stopped there. It does no I/O, and one
// goroutine uses it at a time.
type Ledger struct {
	cfg      LedgerConfig
	standing Standing
	members  map[rosemarysill.RuntimeTask]*member
	records  map[uuid.UUID]*record
	orphans  map[rosemarysill.RuntimeTask]struct{} // at the runtime without a reason
	forget   []rosemarysill.RuntimeTask
}

// NewLedger returns the empty ledger of a boot.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Jobs <= 0 {
		cfg.Jobs = 4096
	}
	if cfg.Members <= 0 {
		cfg.Members = 512
	}
	if cfg.Finished <= 0 {
		cfg.Finished = 64
	}
	if cfg.Results <= 0 {
		cfg.Results = 1 << 20
	}
	if cfg.RetryAfter <= 0 {
		cfg.RetryAfter = 500 * time.Millisecond
	}
	return &Ledger{
		cfg:     cfg,
		members: map[rosemarysill.RuntimeTask]*member{},
		records: map[uuid.UUID]*record{},
		orphans: map[rosemarysill.RuntimeTask]struct{}{},
	}
}

// Standing returns what entries have told the worker.
func (l *Ledger) Standing() Standing { return l.standing }

// Reserve holds capacity for a member until the request's remaining time has
// passed. A repeated request gets the same answer and does not extend the
// reservation. A reservation that lapsed or was stopped is never made again:
// the next try is a new attempt.
func (l *Ledger) Reserve(r rosemarysill.ReserveRequest, now time.Time) error {
	l.expire(now)
	if err := l.checkReserve(r); err != nil {
		return err
	}
	if r.Epoch < l.standing.Epoch {
		return staleEpoch(r.Epoch, l.standing.Epoch)
	}
	l.standing.Epoch = r.Epoch
	rec := l.recall(r.Spec.ID, now)
	if rec == nil {
		return rosemarysill.NewError(rosemarysill.Overloaded, "the ledger remembers %d jobs", len(l.records))
	}
	if r.Attempt < rec.attempt {
		return staleAttempt(r.Attempt, rec.attempt)
	}
	l.raise(rec, r.Spec.ID, r.Attempt)
	task := rosemarysill.RuntimeTask{Job: r.Spec.ID, Attempt: r.Attempt, Member: r.Member}
	if s, ok := rec.spent[r.Member]; ok {
		return spentError(task, s)
	}
	if m, ok := l.members[task]; ok {
		if m.request.Epoch != r.Epoch {
			// Two placing entries have used the same number; a commit may use
			// only the reservation of its own entry.
			return rosemarysill.NewError(rosemarysill.StaleAttempt, "member %d of attempt %d is reserved under epoch %d", r.Member, r.Attempt, m.request.Epoch)
		}
		if !slices.Equal(m.request.Slot.Accelerators, r.Slot.Accelerators) {
			return rosemarysill.NewError(rosemarysill.InvalidRequest, "member %d of attempt %d has other accelerators", r.Member, r.Attempt)
		}
		return nil
	}
	if err := l.standing.Refusal(now); err != nil {
		return err
	}
	if r.Revision < l.standing.Revision {
		return rosemarysill.NewError(rosemarysill.StaleConfiguration, "revision %d is older than %d", r.Revision, l.standing.Revision)
	}
	if err := l.checkCapacity(r); err != nil {
		return err
	}
	l.members[task] = &member{
		request:       r,
		reservedUntil: now.Add(min(r.Remaining, l.cfg.Timings.ReserveFor)),
	}
	return nil
}

// Commit accepts a reserved member for its start; Due returns the start. A
// repeated request for a member that was accepted gets the same answer.
func (l *Ledger) Commit(r rosemarysill.CommitRequest, now time.Time) error {
	l.expire(now)
	task := rosemarysill.RuntimeTask{Job: r.Job, Attempt: r.Attempt, Member: r.Member}
	m, ok := l.members[task]
	if ok && m.unstarted() {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "member %d of attempt %d: %s", r.Member, r.Attempt, m.detail)
	}
	if ok && m.stage != reserved && m.epoch == r.Epoch {
		return nil
	}
	if r.Epoch < l.standing.Epoch {
		return staleEpoch(r.Epoch, l.standing.Epoch)
	}
	l.standing.Epoch = r.Epoch
	rec, known := l.records[r.Job]
	if known && r.Attempt < rec.attempt {
		return staleAttempt(r.Attempt, rec.attempt)
	}
	if ok && m.stage != reserved {
		return nil // the next placing entry commits again
	}
	if !ok {
		if known && r.Attempt == rec.attempt {
			if s, ok := rec.spent[r.Member]; ok {
				return spentError(task, s)
			}
		}
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "member %d of attempt %d is not reserved", r.Member, r.Attempt)
	}
	if r.Epoch != m.request.Epoch {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "member %d of attempt %d is reserved under epoch %d", r.Member, r.Attempt, m.request.Epoch)
	}
	if err := l.startRefusal(task, r.Epoch, m, now); err != nil {
		return err
	}
	m.stage, m.epoch = committed, r.Epoch
	m.leaseUntil = now.Add(min(r.Lease, l.cfg.Timings.GangLease))
	return nil
}

// startRefusal returns why a reserved or committed member may not start at now.
func (l *Ledger) startRefusal(task rosemarysill.RuntimeTask, epoch uint64, m *member, now time.Time) error {
	switch rec := l.records[task.Job]; {
	case epoch < l.standing.Epoch:
		return staleEpoch(epoch, l.standing.Epoch)
	case task.Attempt < rec.attempt:
		return staleAttempt(task.Attempt, rec.attempt)
	case !now.Before(m.reservedUntil):
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "the reservation has lapsed")
	default:
		return l.standing.Refusal(now)
	}
}

// Stop ends a member, or keeps it from starting. A member that may run is
// stopped by an effect; the reply tells what is known now, and the same request
// gives the newer answer later.
func (l *Ledger) Stop(r rosemarysill.StopRequest, now time.Time) (rosemarysill.StopReply, error) {
	l.expire(now)
	if r.Epoch < l.standing.Epoch {
		return rosemarysill.StopReply{}, staleEpoch(r.Epoch, l.standing.Epoch)
	}
	l.standing.Epoch = r.Epoch
	rec := l.recall(r.Job, now)
	if rec == nil {
		return rosemarysill.StopReply{}, rosemarysill.NewError(rosemarysill.Overloaded, "the ledger remembers %d jobs", len(l.records))
	}
	l.raise(rec, r.Job, r.Attempt)
	task := rosemarysill.RuntimeTask{Job: r.Job, Attempt: r.Attempt, Member: r.Member}
	if m, ok := l.members[task]; ok {
		return l.stop(rec, task, m, r.Checkpoint, now), nil
	}
	if r.Attempt < rec.attempt {
		return rosemarysill.StopReply{Boot: l.cfg.Identity.Boot, Stopped: true}, nil
	}
	s, ok := rec.spent[r.Member]
	if !ok && len(rec.spent) >= l.cfg.Members {
		return rosemarysill.StopReply{}, rosemarysill.NewError(rosemarysill.Overloaded, "%d members of job %s are stopped", len(rec.spent), r.Job)
	}
	s.stopped = true
	rec.spent[r.Member] = s
	return rosemarysill.StopReply{Boot: l.cfg.Identity.Boot, Stopped: true, NeverStarted: s.neverStarted}, nil
}

func (l *Ledger) stop(rec *record, task rosemarysill.RuntimeTask, m *member, checkpoint bool, now time.Time) rosemarysill.StopReply {
	switch m.stage {
	case reserved:
		delete(l.members, task)
		rec.spent[task.Member] = spending{stopped: true, neverStarted: true}
		return rosemarysill.StopReply{Boot: l.cfg.Identity.Boot, Stopped: true, NeverStarted: true}
	case committed:
		m.finish(rosemarysill.TaskStopped, "stopped before the start", now)
	case starting, running:
		m.wantStop(checkpoint, "stopped by request")
	}
	return rosemarysill.StopReply{
		Boot:         l.cfg.Identity.Boot,
		Stopped:      m.stage == finished,
		NeverStarted: m.stage == finished && m.neverStarted,
		Checkpoint:   m.checkpoint,
	}
}

// Obey takes in the orders of an entry; sent is when the heartbeat was sent.
func (l *Ledger) Obey(o rosemarysill.AgentOrders, sent, now time.Time) {
	l.expire(now)
	l.standing.Obey(o, sent, l.cfg.Timings.FreshFor)
	for _, g := range o.Leases {
		until := sent.Add(min(g.Duration, l.cfg.Timings.GangLease))
		for task, m := range l.members {
			if task.Job == g.Job && task.Attempt == g.Attempt && m.mayRun() && until.After(m.leaseUntil) {
				m.leaseUntil = until
			}
		}
	}
}

// Leave refuses new work from now on.
func (l *Ledger) Leave() { l.standing.Leaving = true }

// StopAll stops every member, with a checkpoint if possible.
func (l *Ledger) StopAll(now time.Time) {
	l.expire(now)
	for task, m := range l.members {
		l.stop(l.records[task.Job], task, m, true, now)
	}
}

// Active returns the number of members that hold capacity.
func (l *Ledger) Active() int {
	n := 0
	for _, m := range l.members {
		if m.active() {
			n++
		}
	}
	return n
}

// expire applies all deadlines up to now. Each event does so first, so that a
// pause of the process is noticed before anything else happens.
func (l *Ledger) expire(now time.Time) {
	for task, m := range l.members {
		switch {
		case m.stage == reserved && !now.Before(m.reservedUntil):
			delete(l.members, task)
			if rec := l.records[task.Job]; rec.attempt == task.Attempt {
				rec.spent[task.Member] = spending{neverStarted: true}
			}
		case m.mayRun() && !now.Before(m.leaseUntil):
			m.wantStop(false, "the gang lease lapsed")
		}
	}
	l.dropFinished(now)
}

// sorted returns the members in a fixed order, so that the same events give the
// same effects in the same order.
func (l *Ledger) sorted() []rosemarysill.RuntimeTask { return sortTasks(maps.Keys(l.members)) }

func sortTasks(tasks iter.Seq[rosemarysill.RuntimeTask]) []rosemarysill.RuntimeTask {
	return slices.SortedFunc(tasks, func(a, b rosemarysill.RuntimeTask) int {
		return cmp.Or(slices.Compare(a.Job[:], b.Job[:]), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Member, b.Member))
	})
}

func staleEpoch(got, seen uint64) error {
	return rosemarysill.NewError(rosemarysill.StaleEpoch, "epoch %d is older than %d", got, seen)
}

func staleAttempt(got, seen int) error {
	return rosemarysill.NewError(rosemarysill.StaleAttempt, "attempt %d is older than %d", got, seen)
}

func spentError(task rosemarysill.RuntimeTask, s spending) error {
	if s.stopped {
		return rosemarysill.NewError(rosemarysill.StaleAttempt, "member %d of attempt %d was stopped", task.Member, task.Attempt)
	}
	return rosemarysill.NewError(rosemarysill.ReservationLapsed, "the reservation of member %d of attempt %d has lapsed; the next try is a new attempt",
		task.Member, task.Attempt)
}
