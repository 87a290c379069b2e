package agent

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// callKeep is the time for which a non-idempotent call is remembered. It is far
// longer than a message can be late: servers close connections without an
// answer to a ping within 65 s.
const callKeep = 10 * time.Minute

// delivery is one call that ran here or runs now.
type delivery struct {
	id         uuid.UUID
	attempt    int
	idempotent bool
	hash       uint64
	done       chan struct{} // closed when answer and err are set
	over       bool
	answer     rosemarysill.Answer
	err        error
	finished   time.Time
	waiters    int // requests that will read the answer
}

// notRun reports whether the upstream has proved that it did not begin.
func (d *delivery) notRun() bool {
	return d.over && rosemarysill.CodeOf(d.err).Truth() == rosemarysill.TruthNotRun
}

// journal remembers calls, so that a repeated delivery gets the answer of the
// first and a non-idempotent call never runs twice. Answers are bounded by
// number and size; that a non-idempotent call ran is remembered for callKeep.
// The agent's mutex guards it.
type journal struct {
	cfg        Config
	calls      map[uuid.UUID]*delivery
	answers    *list.List // deliveries whose answer is kept, oldest first
	bytes      int
	remembered *list.List // non-idempotent deliveries that are over, oldest first
}

func newJournal(cfg Config) *journal {
	return &journal{cfg: cfg, calls: map[uuid.UUID]*delivery{}, answers: list.New(), remembered: list.New()}
}

// find returns the delivery that answers the request, or nil when the request
// is to run.
func (j *journal) find(r rosemarysill.ForwardRequest) (*delivery, error) {
	d, ok := j.calls[r.Call.ID]
	switch {
	case !ok:
		return nil, nil
	case d.hash != contentHash(r.Call):
		return nil, rosemarysill.NewError(rosemarysill.IdentifierReused, "call %s has other content", r.Call.ID)
	case d.attempt == r.Attempt:
		return d, nil
	case r.Attempt < d.attempt:
		return nil, rosemarysill.NewError(rosemarysill.StaleAttempt, "attempt %d of call %s is older than %d", r.Attempt, r.Call.ID, d.attempt)
	case d.idempotent || d.notRun():
		return nil, nil
	default:
		return d, nil // a later attempt of a call that may have run
	}
}

// begin remembers a new delivery.
func (j *journal) begin(r rosemarysill.ForwardRequest, now time.Time) (*delivery, error) {
	j.trim(now)
	if !r.Call.Idempotent && len(j.calls) >= j.cfg.Calls {
		return nil, rosemarysill.NewError(rosemarysill.Overloaded, "%d calls are remembered", len(j.calls))
	}
	d := &delivery{
		id:         r.Call.ID,
		attempt:    r.Attempt,
		idempotent: r.Call.Idempotent,
		hash:       contentHash(r.Call),
		done:       make(chan struct{}),
	}
	j.calls[d.id] = d
	return d, nil
}

// finish sets the answer of a delivery.
func (j *journal) finish(d *delivery, a rosemarysill.Answer, err error, now time.Time) {
	d.over, d.answer, d.err, d.finished = true, a, err, now
	close(d.done)
	j.bytes += len(a.Body)
	j.answers.PushBack(d)
	if !d.idempotent {
		j.remembered.PushBack(d)
	}
	j.trim(now)
}

// trim drops the oldest answers beyond the bounds, except those that a request
// is about to read, and forgets old calls.
func (j *journal) trim(now time.Time) {
	for e := j.answers.Front(); e != nil && (j.answers.Len() > j.cfg.Answers || j.bytes > j.cfg.AnswerBytes); {
		next := e.Next()
		if d := e.Value.(*delivery); d.waiters == 0 {
			j.answers.Remove(e)
			j.bytes -= len(d.answer.Body)
			j.dropAnswer(d)
		}
		e = next
	}
	for e := j.remembered.Front(); e != nil && now.Sub(e.Value.(*delivery).finished) >= callKeep; e = j.remembered.Front() {
		j.forget(j.remembered.Remove(e).(*delivery))
	}
}

func (j *journal) dropAnswer(d *delivery) {
	if d.idempotent {
		j.forget(d)
		return
	}
	d.answer = rosemarysill.Answer{}
	if d.err == nil {
		d.err = rosemarysill.NewError(rosemarysill.OutcomeUnknown, "call %s ran; its answer is no longer kept", d.id)
	}
}

// forget drops a delivery unless a later attempt has replaced it.
func (j *journal) forget(d *delivery) {
	if j.calls[d.id] == d {
		delete(j.calls, d.id)
	}
}

// contentHash tells calls with the same identifier apart.
func contentHash(c rosemarysill.Call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Account + "\x00" + string(c.Class) + "\x00")
	_, _ = d.Write(c.Body)
	return d.Sum64()
}
