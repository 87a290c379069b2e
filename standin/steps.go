package standin

import (
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Words of the specification of a task, which say what its runs do. They are
// separated by spaces.
const (
	SpecFor   = "for="  // duration of a run: for=300ms
	SpecGang  = "gang=" // members of its gang: gang=3
	SpecFails = "fails" // each run fails at its end
	SpecHangs = "hangs" // a run makes no progress
	SpecSaves = "saves" // a run makes a checkpoint in each tenth of its duration
)

// Steps is a set of workers that run steps. Members of a gang wait for each
// other.
type Steps struct {
	GangWait  time.Duration // after which a member that waits ends alone
	StopGrace time.Duration // that a stop takes

	mu      sync.Mutex
	workers []*StepWorker
	started map[work.RunKey]int
	overlap []string // breaches of the promise that a task runs once
	done    map[work.TaskKey]int
	noted   map[work.TaskKey]bool      // tasks of which an end as done was taken note of
	latest  map[work.TaskKey]time.Time // latest start
}

// NewSteps returns an empty set.
func NewSteps() *Steps {
	return &Steps{
		GangWait: 3 * time.Second, StopGrace: 50 * time.Millisecond,
		started: make(map[work.RunKey]int), done: make(map[work.TaskKey]int),
		noted: make(map[work.TaskKey]bool), latest: make(map[work.TaskKey]time.Time),
	}
}

// StepWorker is a worker that runs steps. It implements work.Runtime.
type StepWorker struct {
	set  *Steps
	born time.Time
	id   string

	dark   bool // answers nothing
	closed bool // refuses connections
	deaf   bool // answers no start, and carries none out
	mute   bool // carries calls out late, and answers nothing
	late   time.Duration
	starts int
	calls  int
	fence  int64
	until  time.Duration
	seq    uint64
	runs   map[work.RunKey]*stepRun
	ended  []endedRun
	latest map[work.TaskKey]int // highest run that was stopped or has ended

	capacity work.Shape // that starts must not exceed; zero if there is no limit
}

var _ work.Runtime = (*StepWorker)(nil)

// Add adds a worker.
func (s *Steps) Add(id string) *StepWorker {
	w := &StepWorker{set: s, id: id}
	w.reset(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return w
}

func (w *StepWorker) reset(now time.Time) {
	w.born, w.fence, w.until, w.seq = now, 0, 0, 0
	w.runs, w.latest, w.ended = make(map[work.RunKey]*stepRun), make(map[work.TaskKey]int), nil
}

// Born is the start of the present incarnation, in Unix milliseconds.
func (w *StepWorker) Born() int64 {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	return w.born.UnixMilli()
}

// Restart begins a new incarnation under the same identifier.
func (w *StepWorker) Restart() {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.reset(time.Now())
	w.dark, w.closed = false, false
}

// SetDark makes the worker answer nothing. Its runs go on until their leases
// lapse.
func (w *StepWorker) SetDark(dark bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.dark = dark
}

// SetClosed makes the worker refuse connections. Its runs go on until their leases lapse.
func (w *StepWorker) SetClosed(closed bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.closed = closed
}

// SetDeaf makes the worker leave starts unanswered and not carry them out, while
// it answers all other calls.
func (w *StepWorker) SetDeaf(deaf bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.deaf = deaf
}

// SetLate makes the worker leave calls unanswered and carry them out after a
// delay; 0 ends that.
func (w *StepWorker) SetLate(by time.Duration) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.mute, w.late = by > 0, by
}

// SetCapacity sets the capacity that starts must not exceed. The worker accepts those
// that do and notes them as breaches.
func (w *StepWorker) SetCapacity(capacity work.Shape) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.capacity = capacity
}

// Breaches returns what broke the promise that a task runs once at a time and
// not after it was done, and the starts that exceeded a capacity.
func (s *Steps) Breaches() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.overlap...)
}

// Done returns the number of ends `done` of a task.
func (s *Steps) Done(k work.TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[k]
}

// Runs returns the number of runs in progress at all workers.
func (s *Steps) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	n := 0
	for _, w := range s.workers {
		n += len(w.runs)
	}
	return n
}

// Starts returns the number of starts of a run at all workers.
func (s *Steps) Starts(k work.RunKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[k]
}

// Runs returns the number of runs in progress at this worker.
func (w *StepWorker) Runs() int {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.set.advance(time.Now())
	return len(w.runs)
}

// Calls returns the number of calls to this worker.
func (w *StepWorker) Calls() int {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	return w.calls
}

// Started returns the number of starts at this worker.
func (w *StepWorker) Started() int {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	return w.starts
}

func (w *StepWorker) clock(now time.Time) time.Duration { return now.Sub(w.born) + time.Second }
