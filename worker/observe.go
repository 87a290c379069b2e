package worker

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// maxResult bounds the result of a member; a longer one is cut off by refusing
// it, because a part of a result is worth nothing.
const maxResult = 64 << 10

// Observe takes in the runtime's list of tasks, which was asked for at asked. A
// task that the list should not have, or not have any more, is stopped; one
// that it should have and does not is reported as stopped.
func (l *Ledger) Observe(list []rosemarysill.TaskStatus, asked, now time.Time) {
	l.expire(now)
	listed := make(map[rosemarysill.RuntimeTask]bool, len(list))
	for i := range list {
		listed[list[i].Task] = true
		l.observe(&list[i], asked, now)
	}
	for task, m := range l.members {
		// A list asked for before the start was confirmed may lack the task.
		if m.stage == running && !listed[task] && asked.After(m.confirmed) && m.inFlight == "" && !m.stopInFlight {
			m.finish(rosemarysill.TaskStopped, "the runtime no longer has the task", now)
		}
	}
}

func (l *Ledger) observe(s *rosemarysill.TaskStatus, asked, now time.Time) {
	m, ok := l.members[s.Task]
	over := s.State == rosemarysill.TaskDone || s.State == rosemarysill.TaskFailure || s.State == rosemarysill.TaskStopped
	switch {
	case ok && m.mayRun() && over:
		l.outcome(s, m, now)
	case ok && m.mayRun():
		// The effects in flight decide.
	case over:
		l.forget = append(l.forget, s.Task)
	case ok && m.stage == finished && !asked.After(m.finishedAt):
		// The list is older than the end of the task.
	default:
		l.orphans[s.Task] = struct{}{}
	}
}

// outcome takes in the end of a member that the runtime reports.
func (l *Ledger) outcome(s *rosemarysill.TaskStatus, m *member, now time.Time) {
	if s.Checkpoint != "" {
		m.checkpoint = s.Checkpoint
	}
	state, detail := s.State, s.Detail
	if len(s.Result) > maxResult {
		state, detail = rosemarysill.TaskFailure, "the result exceeds 64 KiB"
	} else {
		m.result = s.Result
	}
	if state == rosemarysill.TaskStopped && m.detail != "" {
		detail = m.detail
	}
	l.ended(s.Task, m, state, detail, now)
}
