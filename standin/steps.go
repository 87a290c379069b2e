package standin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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

// endedRun is an end that the worker lists.
type endedRun struct {
	work.RunEnd
	at     time.Time
	lapsed bool // the worker's lease has lapsed since
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
}

type stepRun struct {
	spec    string
	began   time.Time // zero while it waits for its gang
	come    time.Time
	stopped time.Time // zero unless it is being stopped
	saved   string
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
	w.dark = false
}

// SetDark makes the worker answer nothing. Its runs go on until their leases
// lapse.
func (w *StepWorker) SetDark(dark bool) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.dark = dark
}

// SetLate makes the worker leave calls unanswered and carry them out after a
// delay; 0 ends that.
func (w *StepWorker) SetLate(by time.Duration) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.mute, w.late = by > 0, by
}

// Breaches returns what broke the promise that a task runs once at a time and
// not after it was done.
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

// call carries f out with its fence, at once or late.
func (w *StepWorker) call(ctx context.Context, timeout time.Duration, instance string, fence int64, f func(now time.Time) work.Refusal) (work.Look, error) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.calls++
	if w.dark {
		return work.Look{}, errors.New("no answer")
	}
	if w.mute {
		born := w.born
		time.AfterFunc(w.late, func() {
			w.set.mu.Lock()
			defer w.set.mu.Unlock()
			if w.born.Equal(born) && !w.dark {
				_ = w.carry(instance, fence, f) // a late call answers nobody
			}
		})
		return work.Look{}, errors.New("no answer")
	}
	if err := ctx.Err(); err != nil {
		return work.Look{}, err
	}
	_ = timeout // the stand-in answers at once
	return w.look(w.carry(instance, fence, f)), nil
}

func (w *StepWorker) carry(instance string, fence int64, f func(now time.Time) work.Refusal) work.Refusal {
	now := time.Now()
	w.set.advance(now)
	if instance != "" && instance != w.id {
		return work.RefusedInstance
	}
	if fence < w.fence {
		return work.RefusedFence
	}
	w.fence = fence
	return f(now)
}

// look describes the worker. The caller holds the lock.
func (w *StepWorker) look(why work.Refusal) work.Look {
	now := time.Now()
	l := work.Look{Refusal: why, Clock: w.clock(now), Born: w.born.UnixMilli()}
	for k, r := range w.runs {
		l.Running = append(l.Running, work.RunStatus{Key: k, Saved: r.checkpoint(now), Percent: r.percent(now)})
	}
	for _, e := range w.ended {
		l.Ended = append(l.Ended, e.RunEnd)
	}
	return l
}

// checkpoint returns the tenths of the work that are saved.
func (r *stepRun) checkpoint(now time.Time) string {
	if !r.has(SpecSaves) || r.began.IsZero() {
		return r.saved
	}
	return fmt.Sprintf("%02d", r.savedTenths()+int(10*now.Sub(r.began)/max(1, r.duration())))
}

func (r *stepRun) savedTenths() int {
	n := 0
	_, _ = fmt.Sscan(r.saved, &n) // without a checkpoint there is none
	return n
}

// left is the duration of the work after the checkpoint that the run began
// with.
func (r *stepRun) left() time.Duration { return r.duration() * time.Duration(10-r.savedTenths()) / 10 }

func (r *stepRun) percent(now time.Time) int {
	if r.began.IsZero() || r.has(SpecHangs) {
		return 0
	}
	return min(99, int(100*now.Sub(r.began)/max(1, r.duration())))
}

func (r *stepRun) has(word string) bool { return strings.Contains(r.spec, word) }

// word returns the value of a word of the specification.
func (r *stepRun) word(name string) string {
	for _, f := range strings.Fields(r.spec) {
		if v, ok := strings.CutPrefix(f, name); ok {
			return v
		}
	}
	return ""
}

func (r *stepRun) duration() time.Duration {
	d, err := time.ParseDuration(r.word(SpecFor))
	if err != nil {
		return 100 * time.Millisecond
	}
	return d
}

func (r *stepRun) members() int {
	n := 1
	if v := r.word(SpecGang); v != "" {
		_, _ = fmt.Sscan(v, &n) // a word that is no number is a gang of one
	}
	return n
}

// Start implements work.Runtime.
func (w *StepWorker) Start(ctx context.Context, timeout time.Duration, instance string, fence int64, s work.Start, until time.Duration) (work.Look, error) {
	return w.call(ctx, timeout, instance, fence, func(now time.Time) work.Refusal {
		w.until = max(w.until, until)
		switch {
		case w.runs[s.Key] != nil:
			return work.Accepted
		case s.Key.Run <= w.latest[s.Key.Task]:
			return work.RefusedOld
		case until <= w.clock(now):
			return work.RefusedLate
		}
		w.set.check(s.Key)
		w.set.started[s.Key]++
		w.starts++
		w.runs[s.Key] = &stepRun{spec: s.Spec, come: now, saved: s.Saved}
		w.set.advance(now)
		return work.Accepted
	})
}

// check notes a start that the promises forbid.
func (s *Steps) check(k work.RunKey) {
	for _, w := range s.workers {
		for other := range w.runs {
			if other.Task == k.Task {
				s.overlap = append(s.overlap, fmt.Sprintf("run %v starts beside %v at %s", k, other, w.id))
			}
		}
	}
	if s.noted[k.Task] {
		s.overlap = append(s.overlap, fmt.Sprintf("run %v starts after the task was done", k))
	}
	s.latest[k.Task] = time.Now()
}

// note takes note of an end. One that was listed while the lease lapsed does
// not count: the worker was taken for lost in between.
func (s *Steps) note(e endedRun) {
	if e.How != work.OutcomeDone || e.lapsed {
		return
	}
	s.noted[e.Key.Task] = true
	if s.latest[e.Key.Task].After(e.at) {
		s.overlap = append(s.overlap, fmt.Sprintf("a run started after %v was done", e.Key))
	}
}

// Stop implements work.Runtime.
func (w *StepWorker) Stop(ctx context.Context, timeout time.Duration, instance string, fence int64, k work.RunKey) (work.Look, error) {
	return w.call(ctx, timeout, instance, fence, func(now time.Time) work.Refusal {
		w.latest[k.Task] = max(w.latest[k.Task], k.Run)
		if r := w.runs[k]; r != nil && r.stopped.IsZero() {
			r.stopped = now
		}
		return work.Accepted
	})
}

// Pace implements work.Runtime. The stand-in takes no notice of the share.
func (w *StepWorker) Pace(ctx context.Context, timeout time.Duration, instance string, fence int64, _ work.RunKey, _ int) (work.Look, error) {
	return w.call(ctx, timeout, instance, fence, func(time.Time) work.Refusal { return work.Accepted })
}

// Hold implements work.Runtime.
func (w *StepWorker) Hold(ctx context.Context, timeout time.Duration, instance string, fence int64, h work.Hold) (work.Look, error) {
	hold := func(time.Time) work.Refusal {
		w.until = max(w.until, h.Until)
		for len(w.ended) > 0 && w.ended[0].Seq <= h.LastSeen {
			w.set.note(w.ended[0])
			w.ended = w.ended[1:]
		}
		return work.Accepted
	}
	until := time.Now().Add(h.Wait)
	born := w.Born()
	for {
		if w.Born() != born {
			return work.Look{}, errors.New("the process has ended") // and its connections with it
		}
		look, err := w.call(ctx, timeout, instance, fence, hold)
		if err != nil || look.Refusal != work.Accepted || len(look.Ended) > 0 || !time.Now().Before(until) {
			return look, err
		}
		select {
		case <-ctx.Done():
			return work.Look{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// advance brings all runs up to date. The caller holds the lock.
func (s *Steps) advance(now time.Time) {
	for _, w := range s.workers {
		if w.clock(now) > w.until {
			for k := range w.runs {
				w.end(k, work.OutcomeLapsed)
			}
			for i := range w.ended {
				w.ended[i].lapsed = true
			}
		}
	}
	s.gather(now)
	for _, w := range s.workers {
		for k, r := range w.runs {
			w.advance(k, r, now)
		}
	}
}

// gather lets the gangs begin of which all members are there.
func (s *Steps) gather(now time.Time) {
	type gang struct {
		job                   string
		occurrence, step, run int
	}
	present := make(map[gang]int)
	of := func(k work.RunKey) gang { return gang{k.Task.Job, k.Task.Occurrence, k.Task.Step, k.Run} }
	for _, w := range s.workers {
		for k := range w.runs {
			present[of(k)]++
		}
	}
	for _, w := range s.workers {
		for k, r := range w.runs {
			n := r.members()
			switch {
			case r.began.IsZero() && present[of(k)] >= n:
				r.began = now
			case r.began.IsZero() && now.Sub(r.come) > s.GangWait:
				w.end(k, work.OutcomeAlone)
			case !r.began.IsZero() && n > 1 && present[of(k)] < n:
				w.end(k, work.OutcomeBroken)
			}
		}
	}
}

// advance brings one run up to date.
func (w *StepWorker) advance(k work.RunKey, r *stepRun, now time.Time) {
	switch {
	case !r.stopped.IsZero() && now.Sub(r.stopped) >= w.set.StopGrace:
		w.end(k, work.OutcomeStopped)
	case r.began.IsZero() || r.has(SpecHangs) || now.Sub(r.began) < r.left():
	case r.has(SpecFails):
		w.end(k, work.OutcomeFailed)
	case w.set.present(k) < r.members():
		w.end(k, work.OutcomeBroken) // a member was stopped just now
	default:
		w.finish(k)
	}
}

// present counts the members of a run's gang that are there.
func (s *Steps) present(k work.RunKey) int {
	n := 0
	for _, w := range s.workers {
		for o := range w.runs {
			if o.Task.Job == k.Task.Job && o.Task.Occurrence == k.Task.Occurrence && o.Task.Step == k.Task.Step && o.Run == k.Run {
				n++
			}
		}
	}
	return n
}

// finish ends a run as done, with all members of its gang.
func (w *StepWorker) finish(k work.RunKey) {
	members := w.runs[k].members()
	w.set.done[k.Task]++
	w.end(k, work.OutcomeDone)
	if members == 1 {
		return
	}
	for _, o := range w.set.workers {
		for other := range o.runs {
			if other.Task.Job == k.Task.Job && other.Task.Occurrence == k.Task.Occurrence && other.Task.Step == k.Task.Step && other.Run == k.Run {
				w.set.done[other.Task]++
				o.end(other, work.OutcomeDone)
			}
		}
	}
}

func (w *StepWorker) end(k work.RunKey, how work.Outcome) {
	saved := ""
	if r := w.runs[k]; r != nil {
		saved = r.checkpoint(time.Now())
	}
	delete(w.runs, k)
	w.latest[k.Task] = max(w.latest[k.Task], k.Run)
	w.seq++
	w.ended = append(w.ended, endedRun{RunEnd: work.RunEnd{Seq: w.seq, Key: k, How: how, Saved: saved}, at: time.Now()})
}
