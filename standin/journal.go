package standin

import (
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// maxEntries bounds a journal; later entries are only counted. A test run
// makes a few thousand.
const maxEntries = 1 << 17

// The events of a task in a TaskJournal.
const (
	TaskStarted = "Started"
	TaskEnded   = "Ended"
)

// TaskEvent is the start or the end of a task. State is its state afterwards.
type TaskEvent struct {
	Time   time.Time
	Worker string
	Task   rosemarysill.RuntimeTask
	Event  string
	State  rosemarysill.TaskState
	Detail string
}

// TaskSpan is the time for which a task ran. End is zero while it runs.
type TaskSpan struct {
	Worker string
	Task   rosemarysill.RuntimeTask
	Start  time.Time
	End    time.Time
	State  rosemarysill.TaskState
}

// TaskJournal records the starts and ends of tasks on any number of workers,
// so that a test can prove that nothing ran twice or in part.
type TaskJournal struct {
	mu      sync.Mutex
	events  []TaskEvent
	dropped int
}

// NewTaskJournal returns an empty journal.
func NewTaskJournal() *TaskJournal { return &TaskJournal{} }

// Add appends events, for example those read from another process.
func (j *TaskJournal) Add(events ...TaskEvent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	room := min(len(events), maxEntries-len(j.events))
	j.events = append(j.events, events[:room]...)
	j.dropped += len(events) - room
}

// Events returns the events in order of time and the number of events that did
// not fit.
func (j *TaskJournal) Events() (events []TaskEvent, dropped int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	events = append([]TaskEvent(nil), j.events...)
	sort.SliceStable(events, func(a, b int) bool { return events[a].Time.Before(events[b].Time) })
	return events, j.dropped
}

// Spans returns the runs of all tasks in order of their start.
func (j *TaskJournal) Spans() []TaskSpan {
	type place struct {
		worker string
		task   rosemarysill.RuntimeTask
	}
	events, _ := j.Events()
	var spans []TaskSpan
	open := map[place]int{}
	for _, e := range events {
		at := place{e.Worker, e.Task}
		switch i, ok := open[at]; {
		case e.Event == TaskStarted:
			open[at] = len(spans)
			spans = append(spans, TaskSpan{Worker: e.Worker, Task: e.Task, Start: e.Time, State: e.State})
		case ok:
			spans[i].End, spans[i].State = e.Time, e.State
			delete(open, at)
		}
	}
	return spans
}

// StartedTwice returns the tasks (job, attempt, member) that started more than
// once, on one worker or on several.
func (j *TaskJournal) StartedTwice() []rosemarysill.RuntimeTask {
	starts := map[rosemarysill.RuntimeTask]int{}
	var twice []rosemarysill.RuntimeTask
	for _, s := range j.Spans() {
		if starts[s.Task]++; starts[s.Task] == 2 {
			twice = append(twice, s.Task)
		}
	}
	return twice
}

// Overlapping returns the jobs of which a member ran while a member of another
// attempt was running.
func (j *TaskJournal) Overlapping() []uuid.UUID {
	byJob := map[uuid.UUID][]TaskSpan{}
	seen := map[uuid.UUID]bool{}
	var jobs []uuid.UUID
	for _, s := range j.Spans() {
		for _, earlier := range byJob[s.Task.Job] {
			if earlier.Task.Attempt != s.Task.Attempt && (earlier.End.IsZero() || s.Start.Before(earlier.End)) && !seen[s.Task.Job] {
				seen[s.Task.Job] = true
				jobs = append(jobs, s.Task.Job)
			}
		}
		byJob[s.Task.Job] = append(byJob[s.Task.Job], s)
	}
	return jobs
}

// LongestPart returns the longest time for which some, but not all, of an
// attempt's members ran. A member that still runs counts as running until now.
func (j *TaskJournal) LongestPart(job uuid.UUID, attempt, members int, now time.Time) time.Duration {
	type step struct {
		at   time.Time
		by   int
		rank int
	}
	var steps []step
	for _, s := range j.Spans() {
		if s.Task.Job != job || s.Task.Attempt != attempt {
			continue
		}
		end := s.End
		if end.IsZero() {
			end = now
		}
		steps = append(steps, step{s.Start, 1, 0}, step{end, -1, 1})
	}
	sort.SliceStable(steps, func(a, b int) bool {
		if !steps[a].at.Equal(steps[b].at) {
			return steps[a].at.Before(steps[b].at)
		}
		return steps[a].rank < steps[b].rank
	})
	var longest time.Duration
	var since time.Time
	running := 0
	for _, s := range steps {
		if part := running > 0 && running < members; part {
			longest = max(longest, s.at.Sub(since))
		}
		before := running > 0 && running < members
		running += s.by
		if after := running > 0 && running < members; !after || !before {
			since = s.at
		}
	}
	return longest
}

// CallRun is one run of a call at an upstream. End is zero while it runs.
type CallRun struct {
	Upstream string
	ID       uuid.UUID
	Account  string
	Start    time.Time
	End      time.Time
}

// CallJournal records the runs of calls at any number of upstreams.
type CallJournal struct {
	mu      sync.Mutex
	runs    []CallRun
	dropped int
}

// NewCallJournal returns an empty journal.
func NewCallJournal() *CallJournal { return &CallJournal{} }

// Add appends runs, for example those read from another process.
func (j *CallJournal) Add(runs ...CallRun) {
	for _, r := range runs {
		j.begin(r)
	}
}

// begin records a run and returns its index, or -1 when the journal is full.
func (j *CallJournal) begin(r CallRun) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.runs) >= maxEntries {
		j.dropped++
		return -1
	}
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

func (j *CallJournal) end(index int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index >= 0 {
		j.runs[index].End = at
	}
}

// Runs returns all runs in order of their start and the number of runs that
// did not fit.
func (j *CallJournal) Runs() (runs []CallRun, dropped int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]CallRun(nil), j.runs...), j.dropped
}

// RunsOf returns how often a call ran.
func (j *CallJournal) RunsOf(id uuid.UUID) int {
	runs, _ := j.Runs()
	n := 0
	for _, r := range runs {
		if r.ID == id {
			n++
		}
	}
	return n
}
