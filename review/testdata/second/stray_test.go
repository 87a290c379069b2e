package second

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// stray: a status report of another writer, with a service that isn't named, reaches an
// agent once. It names no minion to use, and the agent's own minion has to hold.
func stray(s *system, trouble bool) (verdict, error) {
	s.putConfig(1, []map[string]any{route("lasting", "/lasting/", 1)})
	if err := s.deploy(4, 4, map[int][]string{1: {"b"}}); err != nil {
		return failed, err
	}
	job := newID()
	if !s.accept(s.fronts[0], "/lasting/"+job, map[string]any{"task-spec": "lasts gpu=1", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "long-running": true, "requirements": "b"},
	}}) {
		return failed, fmt.Errorf("the lasting job was not accepted")
	}
	if !within(8*time.Second, func() bool { return s.runningOf(job) == 1 }) {
		return failed, fmt.Errorf("the lasting task doesn't run")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.minions[1].sendStray(); err != nil {
			return failed, err
		}
	}
	var idle time.Time
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		switch {
		case s.runningOf(job) > 0:
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		case time.Since(idle) > 20*time.Second:
			s.record.say("LOST: the task of job %s (shown as %q) hasn't run for %.1f s, and its minion is empty", job, s.state("/lasting/"+job), time.Since(idle).Seconds())
			return broken, nil
		}
	}
	return held, nil
}

// sendStray sends the status report of another writer from the minion's own machine.
func (m *minion) sendStray() error {
	body, err := json.Marshal(map[string]any{
		"service": "other1x", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": minionCPU, "mem-mb": minionMem, "gpu": minionGPU}, "labels": m.labels,
		"clock-ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	own, _, err := net.SplitHostPort(m.address)
	if err != nil {
		return err
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(own)}}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/i-f00d0001", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	m.s.record.say("another writer: status report of i-f00d0001 with service other1x at the agent of %s: %d", m.id, resp.StatusCode)
	return nil
}
