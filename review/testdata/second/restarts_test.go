package second

import (
	"fmt"
	"net/http"
	"time"
)

// restarts: two lasting tasks fail three times each, as they may at any time. The minion
// that they need is sound and nearly empty, so each has to run again within seconds.
func restarts(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("lasting", "/lasting/", 1)})
	if err := s.deploy(4, 4, map[int][]string{2: {"b"}}); err != nil {
		return failed, err
	}
	spec := "lasts"
	if trouble {
		spec = "lasts failms=1500 failruns=3"
	}
	var jobs []string
	for range 2 {
		id := newID()
		if !s.accept(s.fronts[0], "/lasting/"+id, map[string]any{"task-spec": spec, "steps": []any{
			map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 2, "long-running": true, "requirements": "b"},
		}}) {
			return failed, fmt.Errorf("a lasting job was not accepted")
		}
		jobs = append(jobs, id)
	}
	if !within(8*time.Second, func() bool { return len(s.startsOf(jobs[0])) > 0 && len(s.startsOf(jobs[1])) > 0 }) {
		return failed, fmt.Errorf("the lasting tasks don't run")
	}
	const bound = 6*time.Second + 3*time.Second
	away := make([]time.Time, len(jobs))
	v := held
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		places := 0
		for i, id := range jobs {
			if s.runningOf(id) > 0 {
				if !away[i].IsZero() {
					s.record.say("job %s runs again after %.1f s", id, time.Since(away[i]).Seconds())
				}
				away[i] = time.Time{}
				continue
			}
			if away[i].IsZero() {
				away[i] = time.Now()
			}
			if places = (minionGPU - 2*(s.runningOf(jobs[0])+s.runningOf(jobs[1]))) / 2; places < 2 {
				return failed, fmt.Errorf("no room for the task twice over")
			}
			if since := time.Since(away[i]); since > bound {
				a := s.call(s.fronts[0], http.MethodGet, "/lasting/"+id, nil)
				s.record.say("LOST: the task of job %s (shown as %q) hasn't run for %.1f s, with room for it %d times on its minion", id, a.state, since.Seconds(), places)
				v = broken
			}
		}
		if v == broken && away[0].IsZero() && away[1].IsZero() {
			break
		}
		if v == broken {
			time.Sleep(time.Second)
		}
	}
	return v, nil
}
