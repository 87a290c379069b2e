package gang

import (
	"slices"
	"time"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// settle decides, while an attempt is stopped, whether all members are known
// to run no more, and then writes what became of the job.
func (a *Attempt) settle(e Event, now time.Time) []Effect {
	a.phase = stopping
	if a.job.CancelRequested {
		a.reason = cancelled
	}
	if e.Kind == FenceComplete && a.lapsedAt.IsZero() {
		// A commit of an earlier placing entry may still start a member while
		// its reservation lasts.
		a.lapsedAt = now.Add(a.timings.ReserveFor + a.timings.GangLease + a.timings.Margin)
	}
	lapsed := !a.lapsedAt.IsZero() && !now.Before(a.lapsedAt)
	over, explained := true, true
	for _, m := range a.members {
		over = over && (lapsed || m.proved())
		explained = explained && m.explained()
	}
	if !over {
		if a.resendAt.IsZero() || now.Before(a.resendAt) {
			return nil
		}
		a.resendAt = now.Add(a.timings.BeatEvery)
		return a.sendStops()
	}
	a.resendAt = time.Time{}
	if !explained {
		// The next report of an agent may tell how its member ended.
		if a.settleBy.IsZero() {
			a.settleBy = now.Add(a.timings.MemberFresh)
		}
		if now.Before(a.settleBy) {
			return nil
		}
	}
	if a.writing != nil {
		return nil
	}
	a.phase = closing
	return a.write(WriteState, a.final(now))
}

// final returns the record of the ended attempt.
func (a *Attempt) final(now time.Time) rosemarysill.Job {
	count := func(f func(member) bool) int {
		n := 0
		for _, m := range a.members {
			if f(m) {
				n++
			}
		}
		return n
	}
	n := len(a.members)
	unstarted := count(func(m member) bool { return m.neverStarted }) == n
	// A member that is known not to have finished proves that the job did not.
	unfinished := count(func(m member) bool { return m.stopped || m.failed || m.neverStarted }) > 0
	j := a.record(rosemarysill.JobUnknown)
	j.Changed = now
	set := func(s rosemarysill.JobState, c rosemarysill.Code, detail string) rosemarysill.Job {
		j.State, j.Code, j.Detail = s, c, detail
		return j
	}
	switch {
	case count(func(m member) bool { return m.done }) == n:
		j.Result = a.result()
		return set(rosemarysill.JobDone, rosemarysill.Done, "")
	case a.reason == cancelled && unstarted:
		return CancelQueued(j, now)
	case a.reason == cancelled && unfinished && count(func(m member) bool { return m.started }) > 0:
		return set(rosemarysill.JobCancelled, rosemarysill.StoppedByRequest, "stopped while it ran")
	case a.reason == cancelled:
		return set(rosemarysill.JobUnknown, rosemarysill.OutcomeUnknown, "cancelled; whether it finished before is not known")
	}
	if count(func(m member) bool { return m.failed }) > 0 || a.job.Code == rosemarysill.TaskFailed {
		j.FailedOn = a.failedOn()
		switch {
		case !a.job.Spec.Idempotent:
			return set(rosemarysill.JobFailed, rosemarysill.TaskFailed, a.detail())
		case len(j.FailedOn) >= MaxFailedWorkers:
			return set(rosemarysill.JobFailed, rosemarysill.FailedEverywhere, a.detail())
		}
	}
	if unstarted || a.job.Spec.Idempotent {
		j.Slots, j.MayHaveRun = nil, a.job.MayHaveRun || !unstarted
		return set(rosemarysill.JobQueued, rosemarysill.Done, string(a.reason))
	}
	return set(rosemarysill.JobUnknown, rosemarysill.OutcomeUnknown, string(a.reason))
}

// CancelQueued returns the record of a job that is cancelled while no attempt
// is in progress. It is reported as not run only if no earlier attempt ran.
func CancelQueued(j rosemarysill.Job, now time.Time) rosemarysill.Job {
	j.State, j.Code, j.Detail, j.Changed = rosemarysill.JobCancelled, rosemarysill.CancelledUnstarted, "no member has started", now
	if j.MayHaveRun {
		j.Code, j.Detail = rosemarysill.StoppedByRequest, "an earlier attempt ran"
	}
	return j
}

// detail returns what the failed members said.
func (a *Attempt) detail() string {
	i := slices.IndexFunc(a.members, func(m member) bool { return m.failed })
	if i < 0 {
		return a.job.Detail
	}
	return a.slots[i].Worker + ": " + a.members[i].detail
}

// result returns the result of member 0, which speaks for the gang: the results
// of 128 members would not fit into the job's record.
func (a *Attempt) result() []byte { return a.members[0].result }
