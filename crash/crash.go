// Package crash decides which tasks crash the workers that start them. A worker that
// crashes takes all of its runs with it, and workers also crash by themselves, so a crash
// says little about one run. The decisions rest on the ages of the runs, on the crashes
// under each task before, and on crashes of several workers at the same moment. The
// package reads no clock and does no I/O.
package crash

import (
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// EarlyAge is the age of a run up to which the crash of its worker points to its
	// start. Such a crash follows the start by some milliseconds, and agents report it up
	// to half a second later.
	EarlyAge = time.Second
	// probationFactor is the multiple of the age at its last crash that a run of a suspect
	// has to reach, besides EarlyAge, to be cleared. A task that crashes later in its run
	// does so at about the same point each time.
	probationFactor = 1.5
	// maxIsolation bounds the time for which a worker is kept for a suspect.
	maxIsolation = 5 * time.Second
	// IsolationWait is how long a suspect waits for a worker of its own. A worker on which
	// nothing has started for EarlyAge will do. Users expect a task that can start to do so
	// within 3 s, of which the report of the crash takes up to half a second.
	IsolationWait = 1500 * time.Millisecond
	// Settle is the time from the report of a crash until a task is given up for it. The
	// crashes of the other workers of a failure domain that loses power become known within
	// it, at the latest by their next incarnations.
	Settle = 1500 * time.Millisecond
	// coincidence is the time within which crashes of several workers have a common cause.
	coincidence = time.Second
)

// Bounds on the crashes under a task. Users promise that a task that crashes workers is
// not started three times more after three crashes, and that no job is given up before
// two.
const (
	minCrashes     = 2 // that give a task up on good evidence
	certainCrashes = 3 // that give a task up if nothing else explains them
	maxLaterRuns   = 2 // runs after the third crash
)

// Run is a run that was on a worker when it crashed.
type Run struct {
	Task    work.TaskKey
	Age     time.Duration
	Unknown bool         // the age is unknown
	Crashes []work.Crash // under the task before
}

// Attribute returns for each run whether it may have caused the crash of its worker. Runs
// that have just started come first, then suspects whose crash was still to be expected,
// then all.
func Attribute(runs []Run) []work.CrashCause {
	causes := make([]work.CrashCause, len(runs))
	candidates := firstNonEmpty(runs, Run.isEarly, Run.isOnProbation, func(r Run) bool { return !r.Unknown })
	isCandidate := make(map[int]bool, len(candidates))
	jobs := make(map[string]bool)
	for _, i := range candidates {
		isCandidate[i] = true
		jobs[runs[i].Task.Job] = true
	}
	for i, r := range runs {
		switch {
		case r.Unknown:
			causes[i] = work.CauseUnknown
		case !isCandidate[i]:
			causes[i] = work.CauseOther
		case len(jobs) > 1 || hasUnknown(runs):
			causes[i] = work.CauseShared
		default:
			causes[i] = work.CauseTask
		}
	}
	return causes
}

func (r Run) isEarly() bool { return !r.Unknown && r.Age <= EarlyAge }

func (r Run) isOnProbation() bool {
	s := streak(r.Crashes)
	return !r.Unknown && len(s) > 0 && r.Age <= probation(s)
}

func hasUnknown(runs []Run) bool {
	for _, r := range runs {
		if r.Unknown {
			return true
		}
	}
	return false
}

// firstNonEmpty returns the indexes of the runs that satisfy the first condition that any
// of them satisfies.
func firstNonEmpty(runs []Run, conditions ...func(Run) bool) []int {
	for _, satisfies := range conditions {
		var found []int
		for i, r := range runs {
			if satisfies(r) {
				found = append(found, i)
			}
		}
		if found != nil {
			return found
		}
	}
	return nil
}

// attributable reports whether the task may have caused the crash.
func attributable(c work.Crash) bool {
	return c.Cause == work.CauseTask || c.Cause == work.CauseShared
}

// streak returns the latest crashes that the task may have caused. A run that has outlived
// its probation clears the task of the crashes before it.
func streak(crashes []work.Crash) []work.Crash {
	var s []work.Crash
	for _, c := range crashes {
		if !attributable(c) {
			continue
		}
		if len(s) > 0 && c.Age > probation(s) {
			s = nil
		}
		s = append(s, c)
	}
	return s
}

// probation is the age up to which a run of a task with that streak may crash its worker.
func probation(streak []work.Crash) time.Duration {
	return EarlyAge + time.Duration(probationFactor*float64(streak[len(streak)-1].Age))
}

// Verdict says how a task is to be treated.
type Verdict int

// Verdicts.
const (
	Clear   Verdict = iota // like any other
	Suspect                // started alone on a worker
	GiveUp                 // not started any more
)

// Judge returns the verdict on a task that waits to be started.
//
// A task is given up after two crashes shortly after its start if nothing else on the
// workers can have caused them. It is given up after three that it may have caused one after
// the other. A task whose workers have crashed three times for other reasons has a
// bounded number of runs left. It is a suspect from the first crash shortly after its
// start, or from the second one later on: in the first, all runs on the worker are
// equally likely.
func Judge(t *work.Task) Verdict {
	s := streak(t.Crashes)
	switch {
	case isConclusive(s), len(s) >= certainCrashes, isExhausted(t):
		return GiveUp
	case len(s) >= minCrashes, len(s) == 1 && isEarly(s[0]), len(t.Crashes) >= certainCrashes:
		return Suspect
	default:
		return Clear
	}
}

func isEarly(c work.Crash) bool { return c.Age <= EarlyAge }

func isConclusive(s []work.Crash) bool {
	if len(s) < minCrashes {
		return false
	}
	last, before := s[len(s)-1], s[len(s)-2]
	return isCertain(before) && isCertain(last)
}

// isCertain reports whether only the start of the run explains the crash.
func isCertain(c work.Crash) bool { return isEarly(c) && c.Cause == work.CauseTask && c.Confirmed }

func isExhausted(t *work.Task) bool {
	return len(t.Crashes) >= work.LaterRunsFrom && t.LaterRuns >= maxLaterRuns
}

// Isolation returns the age of a run of a suspect up to which nothing else is started on
// its worker.
func Isolation(t *work.Task) time.Duration {
	if s := streak(t.Crashes); len(s) > 0 {
		return min(probation(s), maxIsolation)
	}
	return EarlyAge
}
