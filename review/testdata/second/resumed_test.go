package second

import (
	"fmt"
	"time"
)

// resumed: a long task that checkpoints is preempted once by an urgent job, and resumes from
// its checkpoint. It must go on.
func resumed(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("urgent", "/urgent/", 0), route("batch", "/batch/", 2)})
	if err := s.deploy(4, 4, map[int][]string{2: {"b"}}); err != nil {
		return failed, err
	}
	const work = 10 * time.Minute
	job := newID()
	if !s.accept(s.fronts[0], "/batch/"+job, map[string]any{"task-spec": fmt.Sprintf("ms=%d saves gpu=4", work.Milliseconds()), "steps": []any{
		map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 4, "estimated-ms": work.Milliseconds(), "checkpointing": true, "requirements": "b"},
	}}) {
		return failed, fmt.Errorf("the long job was not accepted")
	}
	time.Sleep(32 * time.Second)
	if s.runningOf(job) != 1 || len(s.startsOf(job)) != 1 {
		return failed, fmt.Errorf("the long job doesn't run")
	}
	if trouble {
		urgent := newID()
		if !s.accept(s.fronts[1], "/urgent/"+urgent, map[string]any{"task-spec": "ms=2500 gpu=8", "steps": []any{
			map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimated-ms": 2500, "requirements": "b"},
		}}) {
			return failed, fmt.Errorf("the urgent job was not accepted")
		}
		if !within(8*time.Second, func() bool { return s.state("/urgent/"+urgent) == "completed" }) {
			return failed, fmt.Errorf("the urgent job doesn't end")
		}
	}
	s.record.say("the traffic ends; the long job was started %d times", len(s.startsOf(job)))
	time.Sleep(finishS)
	s.record.say("finish_s after the end of the traffic")
	v := held
	var idle time.Time
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.runningOf(job) > 0 {
			idle = time.Time{}
			continue
		}
		if idle.IsZero() {
			idle = time.Now()
		}
		if since := time.Since(idle); since > 3*time.Second && v == held {
			free, used := minionGPU-s.minions[2].gpuInUse(), 0
			for _, m := range s.minions {
				used += m.gpuInUse()
			}
			if free < 8 || used >= 16 {
				continue
			}
			s.record.say("LOST: the job (shown as %q) has had nothing running for %.1f s, with %d gpu free on its minion, which is room for it twice, and %d of 32 in use", s.state("/batch/"+job), since.Seconds(), free, used)
			v = broken
		}
	}
	s.record.say("the long job was started %d times", len(s.startsOf(job)))
	for _, m := range s.minions {
		for _, r := range m.progress(job) {
			s.record.say("it runs, with %s", r)
		}
	}
	return v, nil
}
