package second

import (
	"fmt"
	"time"
)

// takeover: the leader is killed while long tasks run on a sound minion. They must go on.
func takeover(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("work", "/work/", 2)})
	if err := s.deploy(4, 4, map[int][]string{2: {"b"}}); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // all are in touch
	const work = 20 * time.Minute
	var jobs []string
	for range 15 {
		id := newID()
		if !s.accept(s.fronts[0], "/work/"+id, map[string]any{"task-spec": fmt.Sprintf("ms=%d", work.Milliseconds()), "steps": []any{
			map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "estimated-ms": work.Milliseconds(), "requirements": "b"},
		}}) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, id)
		time.Sleep(800 * time.Millisecond)
	}
	if !within(5*time.Second, func() bool { return s.countRunning(jobs) == len(jobs) }) {
		return failed, fmt.Errorf("%d of %d jobs run", s.countRunning(jobs), len(jobs))
	}
	s.record.say("the traffic ends; %d jobs run", len(jobs))
	time.Sleep(finishS)
	s.record.say("finish_s after the end of the traffic; %d jobs run", s.countRunning(jobs))
	if trouble {
		name := s.gate.lastWriter()
		for _, p := range s.fronts {
			if p.name == name {
				s.record.say("%s, which last wrote to the store under a condition, is killed", name)
				p.kill()
				time.AfterFunc(3500*time.Millisecond, func() {
					s.record.say("%s starts again", name)
					_ = p.run()
				})
			}
		}
	}
	v := held
	idle := make(map[string]time.Time)
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range jobs {
			if s.runningOf(id) > 0 {
				delete(idle, id)
				continue
			}
			if _, ok := idle[id]; !ok {
				idle[id] = time.Now()
				s.record.say("job %s has nothing running; %d of %d jobs run, one core each, of 32 cores of their minion and 128 of the service", id, s.countRunning(jobs), len(jobs))
			}
			if since := time.Since(idle[id]); since > 3*time.Second && v == held {
				s.record.say("LOST: job %s (shown as %q) has had nothing running for %.1f s; its work of %s or more is gone", id, s.state("/work/"+id), since.Seconds(), finishS)
				v = broken
			}
		}
	}
	for _, id := range jobs {
		if n := len(s.startsOf(id)); n > 1 {
			s.record.say("job %s was started %d times", id, n)
		}
	}
	return v, nil
}

func (s *system) countRunning(jobs []string) int {
	n := 0
	for _, id := range jobs {
		if s.runningOf(id) > 0 {
			n++
		}
	}
	return n
}
