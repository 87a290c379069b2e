package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Parts of the time for which members of a gang wait for the others.
const (
	// waitShare is the part after which they are stopped. The stop arrives
	// before they end alone.
	waitShare = 0.6
	// completeShare is the part in which a member that was refused is started
	// elsewhere: the new start needs up to two tries.
	completeShare = 0.33
)

func (c Config) completeWithin() time.Duration {
	return time.Duration(completeShare * float64(c.GangWait))
}

func (c Config) gangPatience() time.Duration { return time.Duration(waitShare * float64(c.GangWait)) }

// memberOf returns the run of another member in the same run of a gang.
func memberOf(k work.RunKey, index int) work.RunKey {
	k.Task.Index = index
	return k
}

// isWhole reports whether all members of a run of a gang have been seen at
// their workers.
func (t *term) isWhole(s *jobState, k work.RunKey) bool {
	members := s.progress.Step(s.job, k.Task.Occurrence, k.Task.Step)
	for i := range members {
		w := t.workers[members[i].Worker]
		if w == nil || w.trackers[memberOf(k, i)] == nil {
			return false
		}
	}
	return true
}

// completes reports whether a gang goes on after a member was refused: that
// run never started, so it can be ordered elsewhere while the others wait.
func (t *term) completes(s *jobState, k work.RunKey, how work.Outcome, now time.Time) bool {
	if how != work.OutcomeRefused {
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
		if w == nil || m.Stopping || m.Run != k.Run || now.Sub(w.placed[memberOf(k, i)]) > t.cfg.completeWithin() {
			return false
		}
	}
	if placed > 0 {
		t.incomplete[stepKey{k.Task.Job, k.Task.Occurrence, k.Task.Step}] = true
	}
	return placed > 0
}

// rest makes the unit of a gang that of its missing members, if the others wait
// for them.
func (t *term) rest(u *schedule.Unit, tasks []work.Task) bool {
	key := stepKey{u.Job.ID, u.Occurrence, u.Step}
	if !t.incomplete[key] {
		return false
	}
	u.CompletesGang = true
	for i := range tasks {
		if tasks[i].Stopping {
			delete(t.incomplete, key)
			return false
		}
		if w := t.workers[tasks[i].Worker]; w != nil {
			u.GangRack = w.Rack
		}
	}
	return true
}

// breakUp stops the gangs whose missing members found no room.
func (t *term) breakUp(units []*schedule.Unit) {
	for _, u := range units {
		if !u.CompletesGang {
			continue
		}
		delete(t.incomplete, stepKey{u.Job.ID, u.Occurrence, u.Step})
		s := t.jobs[u.Job.ID]
		k := work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[0]}
		if !s.progress.Task(s.job, k).Placed() {
			t.stopGang(s, k, "a member was refused, and there is no room for it elsewhere")
		}
	}
}

// gangRun returns the number of the next run of a gang: that of the members
// which are placed already, or one that none has had.
func gangRun(members []work.Task) int {
	n := 0
	for i := range members {
		if members[i].Placed() {
			return members[i].Run
		}
		n = max(n, members[i].Run)
	}
	return n + 1
}
