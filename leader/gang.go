package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Shares of Config.GangWait, the time for which members of a gang wait for the others.
const (
	// gangTimeoutShare is the share after which the members are stopped. The stop
	// arrives before they give up by themselves.
	gangTimeoutShare = 0.6
	// gangCompletionShare is the share within which a refused member is started on
	// another worker, which takes up to two tries.
	gangCompletionShare = 0.33
)

// gangCompletionTimeout is the age of a gang run up to which refused members are
// replaced.
func (c Config) gangCompletionTimeout() time.Duration {
	return time.Duration(gangCompletionShare * float64(c.GangWait))
}

// gangTimeout is how long members of a gang may wait for the others before they are
// stopped.
func (c Config) gangTimeout() time.Duration {
	return time.Duration(gangTimeoutShare * float64(c.GangWait))
}

// memberRun returns the key of the member with that index in the same run of the gang.
func memberRun(k work.RunKey, index int) work.RunKey {
	k.Task.Index = index
	return k
}

// allMembersSeen reports whether the workers of all members of a gang run have reported
// them.
func (t *term) allMembersSeen(s *jobState, k work.RunKey) bool {
	members := s.progress.Step(s.job, k.Task.Occurrence, k.Task.Step)
	for i := range members {
		w := t.workers[members[i].Worker]
		if w == nil || w.trackers[memberRun(k, i)] == nil {
			return false
		}
	}
	return true
}

// awaitsReplacement reports whether a gang keeps waiting after the run of a member has
// ended. A refused run has never started, so the member can be placed on another worker
// while the others wait; the gang is then marked as incomplete.
func (t *term) awaitsReplacement(s *jobState, k work.RunKey, outcome work.Outcome, now time.Time) bool {
	if outcome != work.OutcomeRefused {
		return false
	}
	members := s.progress.Step(s.job, k.Task.Occurrence, k.Task.Step)
	placed := 0
	for i := range members {
		m := &members[i]
		if !m.Placed() {
			continue
		}
		placed++
		w := t.workers[m.Worker]
		if w == nil || m.Stopping || m.Run != k.Run || now.Sub(w.placedAt[memberRun(k, i)]) > t.cfg.gangCompletionTimeout() {
			return false
		}
	}
	if placed > 0 {
		t.incompleteGangs[keyOfStep(k.Task)] = true
	}
	return placed > 0
}

// stepsWithRefusedMember returns the gangs of which a member would be placed on a worker
// that has refused it. None of their members is placed, so that the gang is stopped at once.
func (t *term) stepsWithRefusedMember(placements []schedule.Placement) map[stepKey]bool {
	steps := make(map[stepKey]bool)
	for _, p := range placements {
		if t.hasRefusedMember(p) {
			steps[keyOfStep(p.Task)] = true
		}
	}
	return steps
}

// hasRefusedMember reports whether the worker has refused the run of the gang member that
// would be placed on it. A later report may repeat that refusal, because the run keeps its
// number, and it cannot be told from the refusal of a second start there.
func (t *term) hasRefusedMember(p schedule.Placement) bool {
	s, _ := t.task(work.RunKey{Task: p.Task})
	if !s.job.Steps[p.Task.Step].Gang {
		return false
	}
	run := gangRunNumber(s.progress.Step(s.job, p.Task.Occurrence, p.Task.Step))
	return t.workers[p.Worker].refusedMembers[work.RunKey{Task: p.Task, Run: run}]
}

// maxRefusedMembers bounds the refused runs that are remembered for a worker. Only those
// of the last second matter, while other members of the gang wait.
const maxRefusedMembers = 256

// recordRefusedMember records that a worker has refused the run of a gang member.
func (w *workerState) recordRefusedMember(s *jobState, k work.RunKey) {
	if !s.job.Steps[k.Task.Step].Gang {
		return
	}
	if w.refusedMembers == nil || len(w.refusedMembers) >= maxRefusedMembers {
		w.refusedMembers = make(map[work.RunKey]bool)
	}
	w.refusedMembers[k] = true
}

// markAsCompletion marks the unit as one that completes a gang, in the rack of the
// placed members. It reports false, and the unit must not be used, if the placed members
// do not wait or are being stopped.
func (t *term) markAsCompletion(u *schedule.Unit, tasks []work.Task) bool {
	key := keyOfUnit(u)
	if !t.incompleteGangs[key] {
		return false
	}
	u.CompletesGang = true
	for i := range tasks {
		if tasks[i].Stopping {
			delete(t.incompleteGangs, key)
			return false
		}
		if w := t.workers[tasks[i].Worker]; w != nil {
			u.GangRack = w.Rack
		}
	}
	return true
}

// stopIncompleteGangs stops the gangs whose missing members could not be placed.
func (t *term) stopIncompleteGangs(units []*schedule.Unit) {
	for _, u := range units {
		if !u.CompletesGang {
			continue
		}
		delete(t.incompleteGangs, keyOfUnit(u))
		s := t.jobs[u.Job.ID]
		k := work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[0]}
		if !s.progress.Task(s.job, k).Placed() {
			t.stopGang(s, k, "a gang member was refused and fits on no other worker")
		}
	}
}

// gangRunNumber returns the number of the next run of a gang: that of the members that
// are already placed, or else one that no member has used.
func gangRunNumber(members []work.Task) int {
	n := 0
	for i := range members {
		if members[i].Placed() {
			return members[i].Run
		}
		n = max(n, members[i].Run)
	}
	return n + 1
}
