package runner

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// maxCandidates bounds the number of incarnations that wait for the worker's reply. The
// oldest one is dropped; the worker reports again.
const maxCandidates = 8

// candidateIndex returns the index of a candidate, or -1.
func (w *workerState) candidateIndex(incarnation string) int {
	return slices.IndexFunc(w.candidates, func(c work.Announcement) bool { return w.incarnationOf(c) == incarnation })
}

// addCandidate records a report of another incarnation than the current one.
func (w *workerState) addCandidate(a work.Announcement) {
	i := w.candidateIndex(w.incarnationOf(a))
	switch {
	case i < 0:
		w.candidates = append(w.candidates, a)
		w.candidates = w.candidates[max(0, len(w.candidates)-maxCandidates):]
	case a.Sequence > w.candidates[i].Sequence:
		w.candidates[i] = a
	}
}

// dropCandidate removes a candidate and returns its latest report.
func (w *workerState) dropCandidate(incarnation string) (a work.Announcement, ok bool) {
	i := w.candidateIndex(incarnation)
	if i < 0 {
		return a, false
	}
	a = w.candidates[i]
	w.candidates = slices.Delete(w.candidates, i, i+1)
	return a, true
}

// isOfAnother reports whether a reply is from another incarnation than the current one
// under the same identifier. A reply that does not say when its incarnation has started
// counts as one of the current incarnation.
func (w *workerState) isOfAnother(reply work.RuntimeReply) bool {
	return reply.StartedAtMS != 0 && reply.StartedAtMS != w.announcement.StartedAtMS
}

// verdict is what a reply of the worker says about a candidate.
type verdict string

const (
	confirmed verdict = "confirmed"
	denied    verdict = "denied"
	undecided verdict = "undecided"
)

// applyCandidateReply processes the reply to a call under the identifier of a candidate. It
// begins the incarnation if the reply confirms the candidate, and drops a candidate that is
// confirmed or denied. Only the start of the incarnation distinguishes those with the same
// identifier.
func (w *workerState) applyCandidateReply(a work.Announcement, reply work.RuntimeReply, fence int64, now time.Time) verdict {
	switch {
	case reply.Refusal == work.RefusedFence:
		w.raiseFence(fence + fenceJump)
		return undecided
	case reply.Refusal != work.Accepted && reply.Refusal != work.RefusedInstance:
		return undecided
	}
	latest, ok := w.dropCandidate(w.incarnationOf(a))
	matches := reply.StartedAtMS == a.StartedAtMS
	if reply.StartedAtMS == 0 { // not stated
		matches = a.ID != w.announcement.ID
	}
	if !ok || reply.Refusal == work.RefusedInstance || !matches {
		return denied
	}
	w.startIncarnation(latest, now)
	return confirmed
}

// confirmCandidates asks the worker about the candidates until ctx ends.
func (r *Runner) confirmCandidates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.askNow:
		}
		for r.confirmCandidate(ctx) {
			uptime.Sleep(ctx, renewalInterval) // the worker has not said which one it is
		}
	}
}

// confirmCandidate asks the worker about each candidate and reports whether there is one
// left. Its calls extend no lease and discard no end, because another incarnation than the
// candidate may receive them.
func (r *Runner) confirmCandidate(ctx context.Context) (left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	for _, a := range slices.Clone(w.candidates) {
		current, fence := w.incarnation(), w.fence
		r.mu.Unlock()
		reply, err := r.cfg.Runtime.RenewLeases(ctx, callTimeout, a.ID, fence, work.LeaseRenewal{})
		r.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", "hold").Str("Worker", w.incarnationOf(a)).Err(err).Send()
			continue
		}
		if w.incarnation() != current {
			continue // a reply from before the present incarnation decides nothing
		}
		v := w.applyCandidateReply(a, reply, fence, uptime.Now())
		event.RunnerVerdict.Log(r.cfg.Log).Str("Worker", current).Str("Candidate", w.incarnationOf(a)).Str("Verdict", string(v)).
			Str("Refusal", string(reply.Refusal)).Int64("StartedAtMS", reply.StartedAtMS).Send()
		if v == confirmed {
			r.logIncarnation()
			r.interruptRenewal()
		}
	}
	return len(w.candidates) > 0
}
