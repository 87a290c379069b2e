// Command third plays the cases of the third review: it starts the project's programs as
// separate processes, meets them with stand-ins of the platform, and checks one rule.
package third

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portCallers  = 8521
	portReady    = 8523
	portControl  = 8526
	portApp      = 8529
	portInternal = 7000
	portMetrics  = 9464
)

const (
	host    = "nony24.example"
	service = "huvo11a"
)

// bounds are those of a site sheet that a case uses.
type bounds struct {
	contact, visible, finish, cancel, ack, configApply, recovery time.Duration
}

var smallBounds = bounds{contact: 3 * time.Second, visible: 3 * time.Second, finish: 14 * time.Second, cancel: 3 * time.Second, ack: 4 * time.Second, configApply: 2 * time.Second, recovery: 12 * time.Second}

type world struct {
	dir     string
	subnet  string // first three numbers of the addresses
	begun   time.Time
	record  *os.File
	mu      sync.Mutex
	store   *standin.Transactions
	losses  *lossy // in front of the store
	entries []*machine
	sides   []*machine
	minions []*minion
	advice  *adviser
	servers []*http.Server
	client  *http.Client
	bounds  bounds
	zones   int
}

// machine is a machine of the system with its process.
type machine struct {
	name, ip, zone, settings string
	log                      *os.File
	mu                       sync.Mutex
	cmd                      *exec.Cmd
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// plain writes without a time.
func (w *world) plain(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, format+"\n", args...)
}

var errNoAddress = errors.New("no free loopback addresses")

// newWorld finds free addresses and starts the store.
func newWorld(record *os.File, b bounds, zones int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, begun: time.Now(), record: record, bounds: b, zones: zones, store: standin.NewTransactions(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.addressesFree() {
			return w, nil
		}
	}
	return nil, errNoAddress
}

func (w *world) addressesFree() bool {
	for _, last := range []int{1, 20, 251} {
		for _, port := range []int{portCallers, portReady, portControl, portApp, portInternal, portMetrics} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", w.subnet, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// serve starts a stand-in at an address; port 0 chooses a free one.
func (w *world) serve(ip string, port int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// platformServices starts the store, the list of machines and the advice service.
func (w *world) platformServices() (storeAddress, cloud, advice string, err error) {
	w.losses = &lossy{world: w, inner: platform.StoreHandler(w.store.View("all")), late: 3 * time.Second}
	if storeAddress, err = w.serve(w.subnet+".251", 0, w.losses); err != nil {
		return
	}
	cloudHandler := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/machines" {
			answer(out, http.StatusBadRequest, map[string]any{})
			return
		}
		answer(out, http.StatusOK, map[string]any{"machines": []any{}, "next-token": nil})
	})
	if cloud, err = w.serve(w.subnet+".252", 0, cloudHandler); err != nil {
		return
	}
	if w.advice == nil {
		w.advice = &adviser{}
	}
	w.advice.world = w
	advice, err = w.serve(w.subnet+".253", 0, w.advice)
	return
}

func answer(out http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *world) zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%w.zones) }

// plan describes a minion.
type plan struct {
	kind, rack string
	zone       int
}

// start starts the entries and, for each plan, an agent with its minion.
func (w *world) start(entries int, plans []plan) error {
	storeAddress, cloud, advice, err := w.platformServices()
	if err != nil {
		return err
	}
	zones := make(map[string]string)
	for i := range w.zones {
		zones[w.zone(i)] = "region-1"
	}
	common := func(name, class, ip, zone string) map[string]any {
		b := w.bounds
		return map[string]any{
			"node-name": name, "role": class, "machine-class": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": "region-1", "zones": zones,
			"internal-ports": []int{portInternal, portInternal + 15}, "seeds": []string{}, "bootstrap": true, "fault-counted": false, "data-dir": nil, "discovery": "local", "entry": "vip", "heartbeat-ms": 1500,
			"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform", "advice", "upkeep", "sharing"},
			"fault-tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": b.contact.Milliseconds(), "ack-timeout-ms": b.ack.Milliseconds(), "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": b.configApply.Milliseconds(), "rollback-slack-ms": 250, "outer-bound-ms": 5000, "strict-revoke": true, "revoke-ms": 5000, "cold-overage": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": b.recovery.Seconds(), "hold-max-ms": 10000, "stop-grace-ms": 400, "gang-timeout-ms": 3000, "cancel_ms": b.cancel.Milliseconds(), "visible_ms": b.visible.Milliseconds(), "early_ms": 250, "finish_s": b.finish.Seconds(), "status_s": 120, "remote-factor": 3, "checkpoint-interval-s": 1, "restore-ms": 600, "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2, "fencing-enforced": true, "lease-ms": 3000, "thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": 4000, "reclaim-ms": 2900,
			},
			"control-mode": "call", "advice": advice,
			"platform":  map[string]any{"address": storeAddress, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
			"cloud-api": map[string]any{"address": cloud, "rate-per-s": 60.0, "duties": []any{}, "duty-per-s": 60.0},
		}
	}
	for i := range entries {
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", w.zone(i), i), ip: fmt.Sprintf("%s.%d", w.subnet, 1+i), zone: w.zone(i)}
		f := common(m.name, "frontend", m.ip, m.zone)
		f["listen-addrs"] = map[string]any{"frontend-addr": fmt.Sprintf("%s:%d", m.ip, portCallers), "ready": fmt.Sprintf("%s:%d", m.ip, portReady)}
		f["limits"] = map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}
		if err := w.addMachine(m, f); err != nil {
			return err
		}
		w.entries = append(w.entries, m)
	}
	for i, p := range plans {
		m := &machine{name: fmt.Sprintf("side-%s-%d", w.zone(p.zone), i), ip: fmt.Sprintf("%s.%d", w.subnet, 20+i), zone: w.zone(p.zone)}
		f := common(m.name, "side", m.ip, m.zone)
		f["listen-addrs"] = map[string]any{"control": fmt.Sprintf("%s:%d", m.ip, portControl)}
		f["limits"] = map[string]any{"cpu-share": 0.24, "cores": 1, "memory-mb": 152, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 0}
		f["app"], f["service"] = fmt.Sprintf("%s:%d", m.ip, portApp), service
		n := newMinion(w, fmt.Sprintf("i-%04x", 0x7f30+i), m, p)
		if _, err := w.serve(m.ip, portApp, n); err != nil {
			return err
		}
		if err := w.addMachine(m, f); err != nil {
			return err
		}
		w.sides, w.minions = append(w.sides, m), append(w.minions, n)
		go n.live()
		go n.report()
	}
	return nil
}

func (w *world) addMachine(m *machine, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(w.dir, m.name+".json")
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return err
	}
	if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
		return err
	}
	return m.run()
}

// run starts the program with the command of the deploy file.
func (m *machine) run() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = exec.Command("target/rosemarysill", "node")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ROSEMARYSILL_BOOT=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	return m.cmd.Start()
}

// end ends the process with a signal and waits for it.
func (m *machine) end(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s) // it may have ended
	_ = m.cmd.Wait()
}

// close ends all processes and stand-ins. With KEEP=1 the logs are kept.
func (w *world) close() {
	for _, m := range append(append([]*machine(nil), w.entries...), w.sides...) {
		_ = m.cmd.Process.Signal(syscall.SIGCONT) // fails if the process has ended
		m.end(syscall.SIGKILL)
		_ = m.log.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// waitReady waits until all entries are ready.
func (w *world) waitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, m := range w.entries {
		for {
			resp, err := w.client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// reply is the answer to a client; status 0 is none.
type reply struct {
	status  int
	state   string
	pending int
	text    string
	pause   int // Retry-After, in seconds
}

// call makes a client's call at an entry.
func (w *world) call(entry int, method, path, key string, body any) reply {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	m := w.entries[entry%len(w.entries)]
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, portCallers, path), bytes.NewReader(data))
	if err != nil {
		return reply{text: err.Error()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Rosemarysill-Deadline-Ms", "3000")
	req.Header.Set("Rosemarysill-Credential", key)
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{text: err.Error()}
	}
	var b struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(text, &b)                             // a refusal has other fields
	pause, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if there is none
	return reply{resp.StatusCode, b.State, b.Pending, strings.TrimSpace(string(text)), pause}
}

// submit hands a job in as a client does: after no answer, 429, 502, 503 or 504 it tries
// again at another entry, four times at most. It reports whether the job was accepted.
func (w *world) submit(id, prefix string, job map[string]any) bool {
	for try := range 5 {
		r := w.call(try, http.MethodPost, prefix+id, "key-1", job)
		w.note("client: POST %s%s at entry %d -> %d %s", prefix, id, try%len(w.entries), r.status, r.text)
		if r.status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// route is a queue of the configuration.
type route struct {
	name, prefix              string
	priority, attempts        int
	objectiveMS               int
	stretch                   float64
	decideMS, eachMS, validMS int // advice, if decideMS is not 0
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes []route) {
	w.store.Put("op/config", configuration(version, routes))
	w.note("operator: op/config version %d", version)
}

func configuration(version int, routes []route) []byte {
	var list []any
	for _, r := range routes {
		f := map[string]any{"name": r.name, "hostname": host, "prefix": r.prefix, "route-type": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": r.objectiveMS, "priority": r.priority, "service": service, "attempts": r.attempts, "stretch": r.stretch, "public": false}
		if r.decideMS > 0 {
			f["advice"] = map[string]any{"decide-ms": r.decideMS, "each-ms": r.eachMS, "valid-ms": r.validMS}
		}
		list = append(list, f)
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "rejects-overload": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{
			map[string]any{"name": "kaje80", "api-keys": []string{"key-1"}, "priority": 1, "guaranteed": map[string]any{"gpu": 0}},
			map[string]any{"name": "huvo11", "api-keys": []string{"key-2"}, "priority": 1, "guaranteed": map[string]any{"gpu": 0}},
		},
	})
	return data
}
