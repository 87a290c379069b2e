package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	tick     = 100 * time.Millisecond
	slots    = 4 // runs that fit on a worker
	downtime = 3 * time.Second
)

// simTask is a task with the history that the test keeps of it.
type simTask struct {
	work.Task
	key       work.TaskKey
	deadly    bool
	starts    int
	placedAt  time.Time
	duration  time.Duration
	crashedAt time.Time
	conclude  int // crashes shortly after the start with no other run that had just started on the worker
	givenUp   bool
}

// simulation is a fleet with many tasks, of which one crashes its workers.
type simulation struct {
	*rand.Rand
	now       time.Time
	upFrom    []time.Time // by worker
	tasks     []*simTask
	recent    crash.Recent
	deadlyAge func() time.Duration
	crashAt   time.Time // of the worker of the deadly task
	crashes   float64   // probability of a crash by itself, for each worker and tick
	outages   float64   // probability of a failure of a domain in a tick
}

func (s *simulation) domain(worker int) string { return fmt.Sprint("d", worker%2) }

func (s *simulation) runs(worker int) []*simTask {
	var on []*simTask
	for _, t := range s.tasks {
		if t.Worker == fmt.Sprint(worker) {
			on = append(on, t)
		}
	}
	return on
}

func (s *simulation) up(worker int) bool { return !s.now.Before(s.upFrom[worker]) }

// crash ends a worker and its runs and judges them.
func (s *simulation) crash(worker int) {
	if !s.up(worker) {
		return
	}
	s.upFrom[worker] = s.now.Add(downtime)
	e := crash.Event{Worker: fmt.Sprint(worker, "@", s.now.UnixMilli()), Domain: s.domain(worker), At: s.now, DomainDown: true}
	for w := range s.upFrom {
		e.DomainDown = e.DomainDown && (!s.up(w) || s.domain(w) != e.Domain)
	}
	on := s.runs(worker)
	for _, t := range on {
		e.Runs = append(e.Runs, crash.Run{Task: t.key, Age: s.now.Sub(t.placedAt), Crashes: t.Crashes})
	}
	for i, cause := range crash.Attribute(e.Runs) {
		t, startedBeside := on[i], false
		for _, other := range on {
			startedBeside = startedBeside || (other != t && s.now.Sub(other.placedAt) <= crash.EarlyAge)
		}
		if e.Runs[i].Age <= crash.EarlyAge && !startedBeside {
			t.conclude++
		}
		t.RecordCrash(work.Crash{Run: t.Run, Worker: e.Worker, Age: e.Runs[i].Age, Confirmed: true, Cause: cause})
		t.Worker, t.crashedAt = "", s.now
	}
	for _, w := range s.recent.Observe(e) {
		for _, t := range s.tasks {
			if t.key == w.Task {
				t.WithdrawCrash(w.Worker)
			}
		}
	}
}

// startable reports whether a task may start on a worker.
func (s *simulation) startable(worker int, isolated bool) bool {
	on := s.runs(worker)
	for _, t := range on {
		age := s.now.Sub(t.placedAt)
		if crash.Judge(&t.Task) != crash.Clear && age < crash.Isolation(&t.Task) {
			return false
		}
		if isolated && age <= crash.EarlyAge {
			return false
		}
	}
	return s.up(worker) && len(on) < slots
}

func (s *simulation) place(t *simTask) {
	verdict := crash.Judge(&t.Task)
	if verdict == crash.GiveUp {
		t.givenUp = s.now.Sub(t.crashedAt) > crash.Settle
		return
	}
	isolated := verdict == crash.Suspect && s.now.Sub(t.crashedAt) < crash.IsolationWait
	for _, w := range s.Perm(len(s.upFrom)) {
		if s.startable(w, isolated) {
			(&work.Progress{}).Place(&t.Task, fmt.Sprint(w), "", t.Run+1)
			t.placedAt = s.now
			t.starts++
			if t.deadly {
				s.crashAt = s.now.Add(s.deadlyAge())
			}
			return
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(tick)
	outage := ""
	if s.Float64() < s.outages {
		outage = s.domain(s.IntN(2))
	}
	for w := range s.upFrom {
		if s.Float64() < s.crashes || s.domain(w) == outage {
			s.crash(w)
		}
	}
	for _, t := range s.tasks {
		switch {
		case t.givenUp || t.Done:
		case t.Worker == "":
			s.place(t)
		case t.deadly && !s.now.Before(s.crashAt):
			var w int
			_, _ = fmt.Sscan(t.Worker, &w) // the simulation has written it
			s.crash(w)
		case !t.deadly && s.now.Sub(t.placedAt) > t.duration:
			t.Worker, t.Done = "", true
		}
	}
}

// Guards, for random histories with one task that crashes its workers among many others
// and with workers and domains that fail by themselves, against a task that is started
// three times more after three crashes, and against an innocent task that is given up
// with fewer than three crashes under it or two that point to it alone.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1000, 0)}
		s.upFrom = make([]time.Time, 2*rapid.IntRange(1, 6).Draw(t, "half of the workers"))
		longest := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 20 * time.Second}).Draw(t, "longest age at the crash")
		s.deadlyAge = func() time.Duration { return time.Duration(s.Int64N(int64(longest))) }
		s.crashes = rapid.SampledFrom([]float64{0, 0.001, 0.01}).Draw(t, "crashes")
		s.outages = rapid.SampledFrom([]float64{0, 0.005}).Draw(t, "outages")
		for i := range rapid.IntRange(1, 25).Draw(t, "tasks") {
			s.tasks = append(s.tasks, &simTask{key: key(fmt.Sprint("j", i)), deadly: i == 0, duration: time.Duration(s.Int64N(int64(20 * time.Second)))})
		}
		for range 400 {
			s.step()
		}
		for _, task := range s.tasks {
			after := task.starts - work.LaterRunsFrom
			if len(task.Crashes) >= work.LaterRunsFrom && after > 2 {
				t.Fatalf("task %s was started %d times after its third crash: %v", task.key.Job, after, task.Crashes)
			}
			if task.givenUp && len(task.Crashes) < 3 && (len(task.Crashes) < 2 || task.conclude < 2) && !task.deadly {
				t.Fatalf("innocent task %s was given up after %v", task.key.Job, task.Crashes)
			}
		}
	})
}
