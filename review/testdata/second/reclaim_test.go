package second

import (
	"fmt"
	"time"
)

// reclaim: a tenant's own guaranteed runs lie on two minions, half of each. Its next job of
// priority 0, within what is left of the guarantee, has to begin within reclaim-ms.
func reclaim(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("urgent", "/urgent/", 0)})
	if err := s.deploy(4, 4, nil); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // all are in touch
	submit := func(key string, gpu int, ms int) (string, error) {
		id := newID()
		ok := s.acceptAs(key, s.fronts[0], "/urgent/"+id, map[string]any{"task-spec": fmt.Sprintf("ms=%d gpu=%d", ms, gpu), "steps": []any{
			map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": gpu, "estimated-ms": ms},
		}})
		if !ok {
			return id, fmt.Errorf("a job was not accepted")
		}
		if !within(3*time.Second, func() bool { return s.runningOf(id) == 1 }) {
			return id, fmt.Errorf("a job doesn't run")
		}
		return id, nil
	}
	for range 2 { // the other tenant takes its guarantee of 16 gpu
		if _, err := submit(apiKey2, 8, 60000); err != nil {
			return failed, err
		}
	}
	lengths := []int{4000, 60000, 4000, 60000}
	if !trouble {
		lengths = []int{60000, 60000, 4000, 4000}
	}
	var own []string
	for _, ms := range lengths {
		id, err := submit(apiKey, 4, ms)
		if err != nil {
			return failed, err
		}
		own = append(own, id)
	}
	if !within(10*time.Second, func() bool { return s.countRunning(own) == 2 }) {
		return failed, fmt.Errorf("the short jobs don't end")
	}
	time.Sleep(time.Second)
	id := newID()
	if !s.acceptAs(apiKey, s.fronts[0], "/urgent/"+id, map[string]any{"task-spec": "ms=2500 gpu=8", "steps": []any{
		map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimated-ms": 2500},
	}}) {
		return failed, fmt.Errorf("the claim was not accepted")
	}
	acked := time.Now()
	v := held
	for time.Since(acked) < 30*time.Second && len(s.startsOf(id)) == 0 {
		time.Sleep(100 * time.Millisecond)
		if v == held && time.Since(acked) > reclaimMS {
			s.record.say("RECLAIM: the job hasn't begun %s after its ack; the tenant's jobs of priority 0 that haven't ended need %d + 8 of 16 gpu", reclaimMS, 4*s.countRunning(own))
			v = broken
		}
	}
	for _, m := range s.minions {
		s.record.say("minion %s: %d of %d gpu in use", m.id, m.gpuInUse(), minionGPU)
	}
	s.record.say("the job has begun: %v, %.1f s after its ack", len(s.startsOf(id)) > 0, time.Since(acked).Seconds())
	return v, nil
}
