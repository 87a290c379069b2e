package second

import (
	"fmt"
	"net/http"
	"time"
)

// pending: one minion of eleven is unhealthy and answers starts with 503, so it does nothing.
// Jobs that only it can run haven't begun and must be counted as pending.
func pending(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("work", "/work/", 1)})
	if err := s.deploy(4, 11, map[int][]string{4: {"b"}}); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // all are in touch
	special := s.minions[4]
	if trouble {
		special.setGrey(true)
		time.AfterFunc(6500*time.Millisecond, func() { special.setGrey(false) })
	}
	var jobs []string
	accepted := time.Now()
	for range 3 {
		id := newID()
		if !s.accept(s.fronts[0], "/work/"+id, map[string]any{"task-spec": "ms=20000", "steps": []any{
			map[string]any{"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 2, "estimated-ms": 20000, "requirements": "b"},
		}}) {
			return failed, fmt.Errorf("a job was not accepted")
		}
		jobs, accepted = append(jobs, id), time.Now()
	}
	bound := visibleMS + 2*time.Second
	time.Sleep(time.Until(accepted.Add(bound + 100*time.Millisecond)))
	v := held
	for range 2 {
		for _, p := range s.fronts {
			waiting := 0
			for _, id := range jobs {
				if len(s.startsOf(id)) == 0 {
					waiting++
				}
			}
			a := s.call(p, http.MethodGet, "/work/", nil)
			for _, id := range jobs {
				if len(s.startsOf(id)) > 0 && waiting == len(jobs) {
					waiting = 0 // they began meanwhile
				}
			}
			if a.status != http.StatusOK {
				return failed, fmt.Errorf("the count was answered %d", a.status)
			}
			s.record.say("%s gives %d as pending; %d jobs that were accepted over %s before haven't begun", p.name, a.pending, waiting, bound)
			if 2*a.pending < waiting {
				s.record.say("MIXED: that is under half")
				v = broken
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	for _, id := range jobs {
		s.record.say("job %s has begun: %v", id, len(s.startsOf(id)) > 0)
	}
	return v, nil
}
