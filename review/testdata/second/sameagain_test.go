package second

import (
	"net/http"
	"time"
)

// sameAgain: the store's answer to the operator's write of a version is lost, and the
// operator writes the same version again.
func sameAgain(s *system, trouble bool) (verdict, error) {
	routes := []map[string]any{route("work", "/work/", 1)}
	s.putConfig(1, routes)
	if err := s.deploy(4, 3, nil); err != nil {
		return failed, err
	}
	if trouble {
		s.record.say("operator: the write got no answer and is repeated")
		s.putConfig(1, routes)
	}
	time.Sleep(3 * time.Second)
	sent, served := 0, 0
	for i := range 16 {
		a := s.call(s.fronts[i%4], http.MethodPost, "/work/"+newID(), map[string]any{"task-spec": "ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem-mb": 100, "estimated-ms": 300}}})
		sent++
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.record.say("%d of %d submissions were served", served, sent)
	if served == 0 {
		return broken, nil
	}
	return held, nil
}
