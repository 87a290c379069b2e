package standin

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// StepEventKind is what has happened at a worker.
type StepEventKind string

// Kinds of events.
const (
	StartCalled StepEventKind = "called"  // a start has arrived; the detail is its fault
	RunStarted  StepEventKind = "started" // a run that the worker did not have
	RunRefused  StepEventKind = "refused"
	RunStopped  StepEventKind = "stopping"
	RunEnded    StepEventKind = "ended" // the worker lists the end from now on
	EndNoted    StepEventKind = "noted"
	WorkerDown  StepEventKind = "down"
	WorkerUp    StepEventKind = "up"
	RuleBroken  StepEventKind = "BREACH"
)

// StepEvent is an event at a worker, or a breach of a rule.
type StepEvent struct {
	Kind   StepEventKind
	At     time.Time
	Worker *StepWorker // nil for a breach
	ID     string      // of the worker
	Run    work.RunKey
	Detail string
}

// String returns a line for a log.
func (e StepEvent) String() string {
	return fmt.Sprintf("%s %s %s %s %v %s", e.At.Format("15:04:05.000"), e.ID, e.Kind, e.Run.Task.Job, e.Run, e.Detail)
}

func (w *StepWorker) observe(kind StepEventKind, k work.RunKey, detail string) {
	if w.set.Observe != nil {
		w.set.Observe(StepEvent{Kind: kind, At: time.Now(), Worker: w, ID: w.id, Run: k, Detail: detail})
	}
}

// breach records that a rule was broken.
func (s *Steps) breach(format string, args ...any) {
	now := time.Now()
	text := fmt.Sprintf(format, args...)
	s.breaches = append(s.breaches, now.Format("15:04:05.000 ")+text)
	if s.Observe != nil {
		s.Observe(StepEvent{Kind: RuleBroken, At: now, Detail: text})
	}
}

// Breaches returns what broke the rules TWICE, BUDGET and LIMIT.
func (s *Steps) Breaches() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.breaches...)
}
