package second

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelled: the answers of the store to the writes of one submission are lost, and the
// writes are done later. The client gets no 2xx, cancels, and is told that there is no such
// job. The job must not start more than cancel_ms after that.
func cancelled(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("work", "/work/", 1)})
	if err := s.deploy(4, 3, nil); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // all are in touch
	target := newID()
	const lateBy = 5500 * time.Millisecond
	if trouble {
		s.gate.setLate("rs/job/"+target, lateBy)
	} else {
		s.gate.setLate("", 0)
	}
	// Other clients hand in jobs meanwhile, and their writes are answered.
	var others sync.WaitGroup
	others.Go(func() {
		for i := range 12 {
			s.accept(s.fronts[i%4], "/work/"+newID(), map[string]any{"task-spec": "ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem-mb": 100, "estimated-ms": 300}}})
			time.Sleep(100 * time.Millisecond)
		}
	})
	var steps []any
	for i := range 9 {
		step := map[string]any{"count": 2, "cpu": 500, "mem-mb": 100, "estimated-ms": 1500}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	job := map[string]any{"task-spec": "ms=1500", "steps": steps}
	began := time.Now()
	submitted := s.call(s.fronts[1], http.MethodPost, "/work/"+target, job)
	cancel := s.call(s.fronts[2], http.MethodDelete, "/work/"+target, nil)
	at := time.Now()
	others.Wait()
	s.gate.setLateEnd()
	s.record.say("the store answers all writes again; the disruption took %.1f s", time.Since(began).Seconds())
	// All are in touch again contact-ms after that; the late writes are waited for as well.
	touch := time.Now().Add(lateBy + contactMS)
	writes, lost := s.gate.counts()
	s.record.say("of %d writes to the store since the disruption began, %d got no answer", writes, lost)
	if trouble && (submitted.status == http.StatusOK || 100*lost > 35*writes) {
		return failed, fmt.Errorf("the submission was answered %d, %d of %d writes were lost", submitted.status, lost, writes)
	}
	if cancel.status != http.StatusGone && cancel.status/100 != 2 {
		return failed, fmt.Errorf("the cancel was answered %d", cancel.status)
	}
	s.record.say("the cancel was acknowledged with %d", cancel.status)
	time.Sleep(20 * time.Second)
	for _, p := range s.fronts {
		s.call(p, http.MethodGet, "/work/"+target, nil)
	}
	v := held
	for _, st := range s.startsOf(target) {
		after := st.at.Sub(at)
		s.record.say("task %s run %d started %.3f s after the acknowledgement of the cancel", st.task, st.run, after.Seconds())
		if after > cancelMS && st.at.After(touch) {
			s.record.say("UNASKED: that is later than cancel_ms (%s), and over contact-ms after the last late write", cancelMS)
			v = broken
		}
	}
	return v, nil
}
