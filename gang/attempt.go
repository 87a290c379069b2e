// Package gang decides on one attempt to run a job, as its placing entry
// drives it: reserve, recorded start, commit, stop, fence and final state. It
// uses no clock, network or random source.
package gang

import (
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// phase is the stage of an attempt.
type phase int

const (
	reserving phase = iota
	recording
	committing // the start is recorded, not all members run
	running
	stopping
	closing // the last write is under way
	ended
)

// Attempt is one attempt to run a job. It is not safe for concurrent use.
type Attempt struct {
	timings rosemarysill.Timings
	job     rosemarysill.Job // the record as last read or written
	epoch   uint64           // of the placing entry
	number  int
	slots   []rosemarysill.Slot
	members []member
	phase   phase
	outcome Outcome
	reason  reason

	reservedUntil time.Time
	startBy       time.Time // all members run, or the attempt is stopped
	resendAt      time.Time // stops without an answer are sent again
	lapsedAt      time.Time // after a complete fence: all gang leases have ended
	settleBy      time.Time // reports on the ends of members are awaited until then
	writing       *rosemarysill.Job
	stale         bool // an agent has seen a higher attempt
}

// reason is why an attempt is stopped.
type reason string

const (
	noReason    reason = ""
	startFailed reason = "a member could not be started"
	memberLost  reason = "a member was lost"
	taskFailed  reason = "a task failed"
	reclaimed   reason = "reclaimed"
	cancelled   reason = "cancelled"
)

// member is what is known about one member of the attempt.
type member struct {
	reserved     bool
	started      bool // seen running, or finished after running
	running      bool // reported running
	done         bool
	failed       bool
	stopped      bool // reported stopped before its end
	ended        bool // known to run no more
	neverStarted bool // proved not started, now and later
	result       []byte
	detail       string
}

// proved reports whether the member is known to run no more.
func (m member) proved() bool { return m.ended || m.neverStarted || m.done || m.failed || m.stopped }

// explained reports whether it is known how the member ended.
func (m member) explained() bool { return m.neverStarted || m.done || m.failed || m.stopped }

// NextAttempt returns the number of a new attempt. Tried is the highest number
// that this entry has used for the job, recorded or not. Refusals counts the
// refusals in a row because an agent has seen a higher number, from an earlier
// placing entry; the step doubles to pass it soon.
func NextAttempt(job rosemarysill.Job, tried, refusals int) int {
	return max(job.Attempt, tried) + 1<<min(refusals, 16)
}

// Begin starts an attempt of a queued job on the slots.
func Begin(job rosemarysill.Job, epoch uint64, number int, slots []rosemarysill.Slot, t rosemarysill.Timings, now time.Time) (*Attempt, []Effect) {
	a := &Attempt{
		timings: t, job: job, epoch: epoch, number: number, slots: slots,
		members: make([]member, len(slots)), reservedUntil: now.Add(t.ReserveFor),
	}
	var effects []Effect
	for i := range slots {
		effects = append(effects, Effect{Kind: SendReserve, Member: i, Job: a.record(rosemarysill.JobQueued), Deadline: a.reservedUntil})
	}
	return a, effects
}

// TakeOver continues an attempt from the job's record, at a new placing entry
// or after a write whose effect was not known. Reports of the agents follow as
// events. It returns nil when the record holds no attempt in progress.
func TakeOver(job rosemarysill.Job, epoch uint64, t rosemarysill.Timings, now time.Time) (*Attempt, []Effect) {
	a := &Attempt{
		timings: t, job: job, epoch: epoch, number: job.Attempt, slots: job.Slots,
		members: make([]member, len(job.Slots)),
	}
	switch job.State {
	case rosemarysill.JobStarting, rosemarysill.JobRunning:
		a.phase, a.startBy = committing, now.Add(t.GangLease)
		if job.CancelRequested {
			return a, a.stop(cancelled, now)
		}
		return a, nil
	case rosemarysill.JobStopping:
		why := memberLost
		if job.Code == rosemarysill.TaskFailed {
			why = taskFailed
		}
		if job.CancelRequested {
			why = cancelled
		}
		return a, a.stop(why, now)
	default:
		return nil, nil
	}
}

// record returns the job's record in the given state for this attempt.
func (a *Attempt) record(state rosemarysill.JobState) rosemarysill.Job {
	j := a.job
	j.State, j.Attempt, j.Epoch, j.Slots = state, a.number, a.epoch, a.slots
	return j
}

// Outcome returns how the attempt ended, or Open.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Job returns the record as last read or written.
func (a *Attempt) Job() rosemarysill.Job { return a.job }

// Number returns the number of the attempt.
func (a *Attempt) Number() int { return a.number }

// StaleAttempt reports whether an agent refused because it has seen a higher
// attempt number.
func (a *Attempt) StaleAttempt() bool { return a.stale }

// Deadline returns the time of the next Tick that matters, or zero.
func (a *Attempt) Deadline() time.Time {
	var next time.Time
	for _, d := range a.deadlines() {
		if !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

func (a *Attempt) deadlines() []time.Time {
	switch a.phase {
	case reserving:
		return []time.Time{a.reservedUntil}
	case committing:
		return []time.Time{a.startBy}
	case stopping:
		if a.writing != nil {
			return nil
		}
		if !a.settleBy.IsZero() {
			return []time.Time{a.settleBy}
		}
		return []time.Time{a.resendAt, a.lapsedAt}
	default:
		return nil
	}
}

// MayRenew reports whether the gang lease of an attempt may be renewed: each
// of its members is reported as running, or as finished well. The reports were
// made within MemberFresh, each by the boot that the job's slot names. The time
// of receipt does not show this: a beat may have waited at a paused entry.
func MayRenew(members int, attempt int, reports []rosemarysill.TaskReport) bool {
	alive := map[int]bool{}
	for _, r := range reports {
		if r.Attempt == attempt && r.Members == members && (r.State == rosemarysill.TaskRunning || r.State == rosemarysill.TaskDone) {
			alive[r.Member] = true
		}
	}
	return members > 0 && len(alive) == members
}

// isBoot reports whether the boot is the one that the member was reserved at.
func (a *Attempt) isBoot(i int, boot uuid.UUID) bool { return a.slots[i].Boot == boot }
