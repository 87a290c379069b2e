package standin

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// endedRun is an end that the worker lists.
type endedRun struct {
	work.RunEnd
	order  int  // among all starts and ends
	lapsed bool // the worker's lease has lapsed since
}

type stepRun struct {
	spec    string
	speed   float64 // of the worker; 0 counts as 1
	demand  work.Shape
	began   time.Time // zero while it waits for its gang
	come    time.Time
	stopped time.Time // zero unless it is being stopped
	saved   string
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
	switch {
	case r.began.IsZero() || r.has(SpecHangs):
		return 0
	case r.has(SpecServes):
		return 100
	}
	highest := 99
	if r.members() > 1 {
		highest = 100 // it may wait for slower members
	}
	return min(highest, int(100*now.Sub(r.began)/max(1, r.duration())))
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
		d = 100 * time.Millisecond
	}
	return time.Duration(float64(d) / cmp.Or(r.speed, 1))
}

func (r *stepRun) members() int {
	n := 1
	if v := r.word(SpecGang); v != "" {
		_, _ = fmt.Sscan(v, &n) // a word that is no number is a gang of one
	}
	return n
}

// completedSlack is how long after a job was shown as completed a start of one of its
// tasks breaks the rule TWICE.
const completedSlack = time.Second

// check notes a start that the rule TWICE forbids.
func (s *Steps) check(at *StepWorker, k work.RunKey, now time.Time) {
	for _, w := range s.workers {
		for other := range w.runs {
			if other.Task == k.Task {
				s.breach("TWICE: job %s: run %v starts at %s beside %v at %s", k.Task.Job, k, at.id, other, w.id)
			}
		}
	}
	if s.noted[k.Task] {
		s.breach("TWICE: job %s: run %v starts at %s after the task was done", k.Task.Job, k, at.id)
	} else if shown, ok := s.completed[k.Task.Job]; ok && now.Sub(shown) > completedSlack {
		s.breach("TWICE: job %s: run %v starts at %s, %s after the job was shown as completed", k.Task.Job, k, at.id, now.Sub(shown))
	}
	s.order++
	s.latest[k.Task] = s.order
}

// Completed notes that a job was shown as completed.
func (s *Steps) Completed(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.completed[job]; !ok {
		s.completed[job] = time.Now()
	}
}

// note takes note of an end. One that was listed while the lease lapsed does
// not count: the worker was taken for lost in between.
func (s *Steps) note(w *StepWorker, e endedRun) {
	w.observe(EndNoted, e.Key, fmt.Sprintf("%s lapsed=%v", e.Outcome, e.lapsed))
	if e.Outcome != work.OutcomeDone || e.lapsed {
		return
	}
	s.noted[e.Key.Task] = true
	if s.latest[e.Key.Task] > e.order {
		s.breach("TWICE: job %s: the task was started after %v was done at %s, and the end is taken note of", e.Key.Task.Job, e.Key, w.id)
	}
}

// advance brings all runs up to date. The caller holds the lock.
func (s *Steps) advance(now time.Time) {
	for _, w := range s.workers {
		if w.clock(now) > w.until {
			for k := range w.runs {
				w.end(k, work.OutcomeLeaseLapsed)
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
				w.end(k, work.OutcomeGangIncomplete)
			case !r.began.IsZero() && n > 1 && present[of(k)] < n:
				w.end(k, work.OutcomeGangBroken)
			}
		}
	}
}

// advance brings one run up to date.
func (w *StepWorker) advance(k work.RunKey, r *stepRun, now time.Time) {
	switch {
	case !r.stopped.IsZero() && now.Sub(r.stopped) >= w.set.StopGrace:
		w.end(k, work.OutcomeStopped)
	case r.began.IsZero() || r.has(SpecHangs) || r.has(SpecServes) || now.Sub(r.began) < r.left(), r.members() > 1 && !w.set.isComplete(k, now):
	case r.has(SpecFails):
		w.end(k, work.OutcomeFailed)
	case w.set.present(k) < r.members():
		w.end(k, work.OutcomeGangBroken) // a member was stopped just now
	default:
		w.finish(k)
	}
}

// isComplete reports whether the work of all members of a gang run is done.
func (s *Steps) isComplete(k work.RunKey, now time.Time) bool {
	for _, w := range s.workers {
		for other, r := range w.runs {
			if other.Task.Job == k.Task.Job && other.Task.Occurrence == k.Task.Occurrence && other.Task.Step == k.Task.Step && other.Run == k.Run && now.Sub(r.began) < r.left() {
				return false
			}
		}
	}
	return true
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
	w.observe(RunEnded, k, string(how))
	w.set.order++
	w.ended = append(w.ended, endedRun{RunEnd: work.RunEnd{Seq: w.seq, Key: k, Outcome: how, Checkpoint: saved}, order: w.set.order})
}
