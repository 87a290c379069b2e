package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host          = "nony24.example"
	urgentPrefix  = "/pufi791/"
	batchPrefix   = "/lohu930/"
	advisedPrefix = "/jwyy726/"
)

// configure writes the next version of the configuration.
func (w *world) configure(tenants map[string]int64) {
	w.version += 3
	route := func(name, prefix string, priority, attempts int, stretch float64, aim int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "route-type": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": aim,
			"priority": priority, "service": service, "attempts": attempts, "stretch": stretch, "public": false,
		}
	}
	advised := route("r-jwyy7yx", advisedPrefix, 1, 3, 3, 1000)
	advised["advice"] = map[string]any{"decide-ms": w.advice.decide.Milliseconds(), "each-ms": w.advice.each.Milliseconds(), "valid-ms": w.advice.valid.Milliseconds()}
	var list []any
	for name, gpu := range tenants {
		list = append(list, map[string]any{"name": name, "api-keys": []string{keyOf(name)}, "priority": 1, "guaranteed": map[string]any{"gpu": gpu}})
	}
	w.put("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("r-yyjsg3a", urgentPrefix, 0, 3, 1.5, 250),
			route("r-7ejsmzz", batchPrefix, 2, 2, 3, 3000), advised,
		},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "rejects-overload": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  list,
	})
}

func keyOf(tenant string) string { return "key-of-" + tenant }

// step is one step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem-mb"`
	GPU         int64  `json:"gpu,omitempty"`
	EstimatedMS int64  `json:"estimated-ms,omitempty"`
	Lasts       bool   `json:"long-running,omitempty"`
	MayMiss     int    `json:"may-miss,omitempty"`
	DataRack    string `json:"data-rack,omitempty"`
	Spread      int    `json:"anti-affinity,omitempty"`
}

// call makes one call of a client at a frontend. The status is 0 if there was no answer.
func (w *world) call(method string, front int, path, tenant string, body any) (int, map[string]any) {
	return w.callWithin(3*time.Second, method, front, path, tenant, body)
}

// callWithin is call by a client that leaves after a time.
func (w *world) callWithin(patience time.Duration, method string, front int, path, tenant string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+addr(w.procs[front].ip, frontendPort)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Rosemarysill-Credential", keyOf(tenant))
	req.Header.Set("Rosemarysill-Deadline-Ms", "3000")
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.record.add("client: %s %s at %s: no answer", method, path, w.procs[front].name)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	w.record.add("client: %s %s at %s %s: %d %s", method, path, w.procs[front].name, data, resp.StatusCode, answer)
	var out map[string]any
	_ = json.Unmarshal(answer, &out)
	return resp.StatusCode, out
}

// submit hands a job in, again at another frontend where the pages say so, and returns
// the time of its ack.
func (w *world) submit(prefix, id, tenant string, b behaviour, steps ...step) (time.Time, error) {
	b.GPU = steps[0].GPU
	spec, _ := json.Marshal(b)
	for try := range 5 {
		status, _ := w.call(http.MethodPost, try%fronts, prefix+id, tenant, map[string]any{"task-spec": string(spec), "steps": steps})
		if status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%w: job %s was not accepted", errCannotRun, id)
}

// state asks for the state of a job.
func (w *world) state(prefix, id, tenant string) string {
	_, answer := w.call(http.MethodGet, 0, prefix+id, tenant, nil)
	s, _ := answer["state"].(string)
	return s
}

// fronts is the number of frontends in all cases.
const fronts = 3
