package second

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
)

// The bounds of the site fjordtork that the cases use.
const (
	cancelMS           = 3000 * time.Millisecond
	contactMS          = 3000 * time.Millisecond
	reclaimMS          = 3400 * time.Millisecond
	visibleMS          = 3000 * time.Millisecond
	finishS            = 14 * time.Second
	holdMaxMS          = 10000 * time.Millisecond
	stopGraceMS        = 900 * time.Millisecond
	heartbeatMS        = 1500 * time.Millisecond
	gangTimeoutMS      = 3000 * time.Millisecond
	checkpointInterval = 2 * time.Second
	restoreMS          = 100 * time.Millisecond
	ttlMinMS           = 1000
	clientLimitMS      = 3000
)

const (
	host       = "shop.example"
	service    = "drylines"
	apiKey2    = "key-of-tenant-2"
	apiKey     = "key-of-tenant-1"
	storeViews = "platform"
)

var zones = []string{"bergen-a", "stavanger-b", "alesund-c", "floro-d"}

// process is one process of the system under test.
type process struct {
	name  string
	front string // address for clients; empty for an agent
	ready string
	path  string // of the settings
	log   *os.File
	cmd   *exec.Cmd
}

// system is the system under test with its stand-ins.
type system struct {
	dir     string
	record  *record
	net     string // first three bytes of the loopback addresses of this run
	store   *standin.Transactions
	gate    *storeGate
	advice  string // address of the advice service; empty if there is none
	fronts  []*process
	sides   []*process
	minions []*minion
	servers []*http.Server
	done    chan struct{}
	wg      sync.WaitGroup
}

func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{
		dir: dir, record: rec, store: standin.NewTransactions(), done: make(chan struct{}),
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	s.gate = &storeGate{next: platform.StoreHandler(s.store.View(storeViews)), record: rec}
	return s, nil
}

// serve serves a handler at a free port of a loopback address.
func (s *system) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// settings returns a settings file as the pages show it.
func (s *system) settings(name, role, class, zone, ip string, listen map[string]string, extra map[string]any) (map[string]any, error) {
	storeAt, err := s.serve(s.net+".1", s.gate.of(name))
	if err != nil {
		return nil, err
	}
	internal := freePort(ip)
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "vestland"
	}
	m := map[string]any{
		"node-name": name, "role": role, "machine-class": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": "vestland", "zones": zoneMap,
		"listen-addrs": listen, "internal-ports": []int{internal, internal + 15}, "seeds": []string{}, "bootstrap": true, "fault-counted": class == "frontend",
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "local", "entry": "vip", "heartbeat-ms": heartbeatMS.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-bound-ms": 5000, "strict-revoke": true, "revoke-ms": 5000, "cold-overage": 1.5, "cold-slack": 5,
			"evacuation-ms": 5000, "recovery-s": 12, "hold-max-ms": holdMaxMS.Milliseconds(), "stop-grace-ms": stopGraceMS.Milliseconds(), "gang-timeout-ms": gangTimeoutMS.Milliseconds(),
			"cancel_ms": cancelMS.Milliseconds(), "visible_ms": visibleMS.Milliseconds(), "early_ms": 250, "finish_s": finishS.Seconds(), "status_s": 120, "remote-factor": 3,
			"checkpoint-interval-s": 2, "restore-ms": 100, "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2, "fencing-enforced": true, "lease-ms": 3000, "thaw-slack-ms": 300,
			"pace-ms": 100, "harm-ms": 4000, "reclaim-ms": 3400,
		},
		"control-mode": "call",
		"platform":     map[string]any{"address": storeAt, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": ttlMinMS},
	}
	if s.advice != "" {
		m["advice"] = s.advice
	}
	for k, v := range extra {
		m[k] = v
	}
	return m, nil
}

// addFront starts an entry in the next zone.
func (s *system) addFront() error {
	n := len(s.fronts)
	ip, zone := fmt.Sprintf("%s.%d", s.net, 10+n), zones[n%len(zones)]
	p := &process{name: fmt.Sprintf("frontend-%s-%d", zone, 1+n/len(zones)), front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	s.fronts = append(s.fronts, p)
	settings, err := s.settings(p.name, "entry", "frontend", zone, ip, map[string]string{"frontend-addr": p.front, "ready": p.ready}, nil)
	if err != nil {
		return err
	}
	return s.start(p, settings)
}

// addSide starts an agent with its minion.
func (s *system) addSide(labels ...string) (*minion, error) {
	n := len(s.sides)
	ip, zone := fmt.Sprintf("%s.%d", s.net, 50+n), zones[n%len(zones)]
	m := newMinion(s, fmt.Sprintf("i-%08x", 0xa0000+n), zone, append([]string{"a", fmt.Sprintf("r%d-%d", 1+n%len(zones), 1+n/(3*len(zones)))}, labels...))
	var err error
	if m.address, err = s.serve(ip, m.handler()); err != nil {
		return nil, err
	}
	m.control = fmt.Sprintf("%s:%d", ip, freePort(ip))
	p := &process{name: fmt.Sprintf("side-%s-%d", zone, 1+n/len(zones))}
	s.sides, s.minions = append(s.sides, p), append(s.minions, m)
	extra := map[string]any{"app": m.address, "service": service, "limits": map[string]any{"cpu-share": 0.24, "cores": 1, "memory-mb": 152, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 0}}
	settings, err := s.settings(p.name, "agent", "side", zone, ip, map[string]string{"control": m.control}, extra)
	if err == nil {
		err = s.start(p, settings)
	}
	if err != nil {
		return nil, err
	}
	s.wg.Go(m.beat)
	return m, nil
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (s *system) start(p *process, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	p.path = filepath.Join(s.dir, p.name+".json")
	if err := os.WriteFile(p.path, data, 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(s.dir, p.name+".log")); err != nil {
		return err
	}
	return p.run()
}

func (p *process) run() error {
	p.cmd = exec.Command("target/rosemarysill", "node")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathVariable + "=" + p.path}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // fails if it has ended
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// waitReady waits until all entries are ready and all agents know their minions.
func (s *system) waitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range s.fronts {
		for {
			resp, err := http.Get("http://" + p.ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, m := range s.minions {
		for !m.held() {
			if time.Now().After(deadline) {
				return fmt.Errorf("the agent of %s doesn't call it", m.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *system) close() {
	close(s.done)
	for _, p := range append(append([]*process(nil), s.fronts...), s.sides...) {
		if p.cmd != nil {
			p.kill()
		}
		_ = p.log.Close()
	}
	s.wg.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(s.dir, keep)
	}
	_ = os.RemoveAll(s.dir)
}

// putConfig writes a version of the configuration as the operator does.
func (s *system) putConfig(version int, routes []map[string]any) {
	doc := map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "rejects-overload": false}},
		"tenants": []any{
			map[string]any{"name": "tenant-1", "api-keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 16}},
			map[string]any{"name": "tenant-2", "api-keys": []string{apiKey2}, "guaranteed": map[string]any{"gpu": 16}},
		},
		"limits": map[string]any{"max-body-bytes": 262144},
	}
	data, _ := json.Marshal(doc)
	rev := s.store.Put("op/config", data)
	s.record.say("operator: version %d is written to op/config, revision %d", version, rev)
}

func route(name, prefix string, priority int) map[string]any {
	return map[string]any{"name": name, "hostname": host, "prefix": prefix, "service": service, "priority": priority, "attempts": 3, "stretch": 3.0, "target-latency-ms": 1000, "timeout-ms": 3000}
}

// answer is the response to a client.
type answer struct {
	status  int // 0: none
	state   string
	pending int
	body    string
}

// call sends a request to an entry and records it.
func (s *system) call(p *process, method, path string, body any) answer {
	return s.callAs(apiKey, p, method, path, body)
}

func (s *system) callAs(key string, p *process, method, path string, body any) answer {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+p.front+path, in)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Rosemarysill-Credential", key)
	req.Header.Set("Rosemarysill-Deadline-Ms", fmt.Sprint(clientLimitMS))
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: clientLimitMS * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	s.record.say("client: %s %s to %s", method, path, p.name)
	resp, err := client.Do(req)
	if err != nil {
		s.record.say("client: %s %s at %s: no answer (%v)", method, path, p.name, err)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	var b struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(data, &b)
	s.record.say("client: %s %s at %s: %d %s", method, path, p.name, resp.StatusCode, data)
	return answer{resp.StatusCode, b.State, b.Pending, string(data)}
}

// accept submits a job at an entry until it is accepted.
func (s *system) accept(p *process, path string, job any) bool {
	return s.acceptAs(apiKey, p, path, job)
}

func (s *system) acceptAs(key string, p *process, path string, job any) bool {
	for range 5 {
		if s.callAs(key, p, http.MethodPost, path, job).status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
