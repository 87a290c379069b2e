package standin

import (
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Words of the specification of a task, which say what its runs do. They are
// separated by spaces.
const (
	SpecFor    = "for="   // duration of a run: for=300ms
	SpecGang   = "gang="  // members of its gang: gang=3
	SpecFails  = "fails"  // each run fails at its end
	SpecHangs  = "hangs"  // a run makes no progress
	SpecServes = "serves" // a run goes on at 100 percent
	SpecSaves  = "saves"  // a run makes a checkpoint in each tenth of its duration

	// SpecCrashes makes the worker crash after a delay: crashes=10ms, or crashes=
	// for a short one.
	SpecCrashes = "crashes="
	// SpecNeeds is the demand of a run: needs=1000c/500m/2a. Needs writes it.
	SpecNeeds = "needs="
)

// Steps is a set of workers that run steps. Members of a gang wait for each
// other.
type Steps struct {
	GangWait   time.Duration // after which a member that waits ends alone
	StopGrace  time.Duration // that a stop takes
	ListedEnds int           // largest number of ended runs in a reply

	// Rebirth returns how long a worker that has crashed is away, and the identifier
	// of its next incarnation. The default is 2 s and the same identifier.
	Rebirth func(id string) (time.Duration, string)
	// Observe, if it is set, is called for each event, with the lock held: it must not
	// block or call the workers.
	Observe func(StepEvent)

	mu        sync.Mutex
	workers   []*StepWorker
	started   map[work.RunKey]int
	breaches  []string
	done      map[work.TaskKey]int
	noted     map[work.TaskKey]bool // tasks of which an end as done was taken note of
	order     int                   // of the latest start or end
	latest    map[work.TaskKey]int  // order of the latest start
	crashed   map[work.TaskKey]taskCrashes
	completed map[string]time.Time // when a job was first shown as completed
}

// NewSteps returns an empty set.
func NewSteps() *Steps {
	return &Steps{
		GangWait: 3 * time.Second, StopGrace: 50 * time.Millisecond, ListedEnds: work.MaxListedEnds,
		Rebirth: func(id string) (time.Duration, string) { return 2 * time.Second, id },
		started: make(map[work.RunKey]int), done: make(map[work.TaskKey]int),
		noted: make(map[work.TaskKey]bool), latest: make(map[work.TaskKey]int),
		crashed: make(map[work.TaskKey]taskCrashes), completed: make(map[string]time.Time),
	}
}

// StepWorker is a worker that runs steps. It implements work.Runtime.
type StepWorker struct {
	// OnDown, if it is set, is called when the worker's process has ended and when the
	// next one has begun.
	OnDown func(down bool)

	set  *Steps
	born time.Time
	id   string

	down    bool // its process has ended
	dark    bool // answers nothing
	closed  bool // refuses connections
	deaf    bool // answers no start, and carries none out
	mute    bool // carries calls out late, and answers nothing
	late    time.Duration
	plan    []StartFault
	held    time.Duration       // delay of a start with StartHeld
	tries   map[work.RunKey]int // starts of a run since the plan was set
	waiting []func()            // held starts that wait for the next incarnation

	starts   int
	calls    int
	fence    int64
	highest  int64 // highest fence in all incarnations
	until    time.Duration
	seq      uint64
	speed    float64 // of runs that start from now on; 0 counts as 1
	runs     map[work.RunKey]*stepRun
	ended    []endedRun
	latest   map[work.TaskKey]int // highest run that was stopped or has ended
	capacity stepCapacity
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

// ID returns the identifier of the present incarnation.
func (w *StepWorker) ID() string {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	return w.id
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
