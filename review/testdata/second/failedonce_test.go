package second

import (
	"fmt"
	"time"
)

// failedOnce: one run of a job fails by its own fault. The job has attempts left and must
// start again, because a minion is idle.
func failedOnce(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("lasting", "/lasting/", 1), route("work", "/work/", 1)})
	if err := s.deploy(4, 4, nil); err != nil {
		return failed, err
	}
	entry := s.fronts[0]
	lasting := newID()
	if !s.accept(entry, "/lasting/"+lasting, map[string]any{"task-spec": "lasts gpu=5", "steps": []any{
		map[string]any{"count": 3, "cpu": 1000, "mem-mb": 1000, "gpu": 5, "long-running": true},
	}}) {
		return failed, fmt.Errorf("the lasting job was not accepted")
	}
	if !within(8*time.Second, func() bool { return s.runningOf(lasting) == 3 }) {
		return failed, fmt.Errorf("the lasting tasks don't run")
	}
	small := newID()
	if !s.accept(entry, "/work/"+small, map[string]any{"task-spec": "ms=400", "steps": []any{
		map[string]any{"count": 20, "cpu": 500, "mem-mb": 100, "estimated-ms": 400},
	}}) {
		return failed, fmt.Errorf("the job of small tasks was not accepted")
	}
	if !within(10*time.Second, func() bool { return s.state("/work/"+small) == "completed" }) {
		return failed, fmt.Errorf("the job of small tasks doesn't end")
	}
	spec := "ms=2000 gpu=4"
	if trouble {
		spec += " failrun=1"
	}
	job := newID()
	if !s.accept(entry, "/work/"+job, map[string]any{"task-spec": spec, "steps": []any{
		map[string]any{"count": 1, "cpu": 8000, "mem-mb": 16000, "gpu": 4, "estimated-ms": 2000},
	}}) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	s.record.say("the traffic ends")
	time.Sleep(finishS)
	s.record.say("finish_s after the end of the traffic")
	return s.lostWhileIdle("/work/", job, 4), nil
}

// lostWhileIdle applies the rule LOST to a job of one task with that number of gpu: it has
// nothing running for 3 s, while there is room for it twice over and under half of the
// service's capacity is in use.
func (s *system) lostWhileIdle(prefix, job string, gpu int) verdict {
	var idleSince time.Time
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		state := s.state(prefix + job)
		if state == "completed" {
			return held
		}
		used, places := 0, 0
		for _, m := range s.minions {
			n := m.gpuInUse()
			used += n
			places += (minionGPU - n) / gpu
		}
		s.record.say("job %s is shown as %q and has %d tasks running; %d of %d gpu in use, room for it %d times", job, state, s.runningOf(job), used, minionGPU*len(s.minions), places)
		if s.runningOf(job) > 0 || places < 2 || 2*used >= minionGPU*len(s.minions) {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > 3*time.Second {
			s.record.say("LOST: job %s has had nothing running for 3 s", job)
			return broken
		}
	}
	return held
}

// gpuInUse returns the gpu that the runs of a minion take.
func (m *minion) gpuInUse() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	total := 0
	for _, r := range m.runs {
		n, _ := word(r.spec, "gpu")
		total += n
	}
	return total
}

// state returns the state of a job at the first entry that answers.
func (s *system) state(path string) string {
	for _, p := range s.fronts {
		if a := s.call(p, "GET", path, nil); a.status == 200 {
			return a.state
		}
	}
	return ""
}

func within(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
