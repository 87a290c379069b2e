package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	entries = 3
	agents  = 4
	host    = "soak.example"
	prefix  = "/q/"
	service = "svc"
	// revoke is the bound of the settings for the end of a revoked key.
	revoke = 5 * time.Second
	// announceEvery is the time between two status reports of a worker.
	announceEvery = 400 * time.Millisecond
)

// node is one process of the system.
type node struct {
	platform.Node
	settings string
	log      *os.File
	store    *proxy
	worker   *proxy     // of an agent
	signals  sync.Mutex // held by the fault that sends signals
	mu       sync.Mutex
	cmd      *exec.Cmd
}

// site is the system under test with its stand-ins.
type site struct {
	program string
	dir     string
	store   *standin.Transactions
	steps   *standin.Steps
	workers []*standin.StepWorker
	nodes   []*node
	servers []*http.Server
	version int64
}

func serve(h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: nil}
	go func() { _ = s.Serve(l) }() // it ends with Close
	return s, netip.MustParseAddrPort(l.Addr().String()), nil
}

func newSite(program, dir string) (*site, error) {
	s := &site{program: program, dir: dir, store: standin.NewTransactions(), steps: standin.NewSteps()}
	if err := s.configure("k0"); err != nil {
		return nil, err
	}
	for i := range entries {
		if err := s.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range agents {
		if err := s.addAgent(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// configure writes the next configuration, in which one key is good.
func (s *site) configure(key string) error {
	s.version += 3
	k, document, err := platform.EncodeConfiguration(&queue.Configuration{
		Version: s.version,
		Queues: []queue.Queue{
			{Name: "urgent", Host: host, Prefix: prefix + "u/", Service: service, MaxAttempts: 2, MaxSlowdown: 1.5, Objective: time.Second},
			{Name: "batch", Host: host, Prefix: prefix + "b/", Service: service, Priority: 2, MaxAttempts: 2, MaxSlowdown: 3, Objective: time.Second},
		},
		Accounts: map[string]queue.Account{"t": {Name: "t", Keys: []string{key}, GuaranteedAccelerators: 8}},
		Services: map[string]queue.Service{service: {Name: service}},
	})
	if err != nil {
		return err
	}
	s.store.Put(k, document)
	return nil
}

func (s *site) newNode(name string) (*node, error) {
	server, address, err := serve(platform.StoreHandler(s.store.View(name)))
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	n := &node{Node: platform.Node{
		Name: name, LeaseMin: time.Second, ShutdownGrace: 2 * time.Second, StatusRetention: 2 * time.Minute, KeyRevocationDelay: revoke,
		StopGrace: 100 * time.Millisecond, GangWait: 3 * time.Second, ReclaimTimeout: 3 * time.Second,
	}}
	if n.store, err = newProxy(address); err != nil {
		return nil, err
	}
	n.Store = n.store.address()
	if n.Internal, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(s.dir, name+".json")
	n.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	return n, err
}

func (s *site) addEntry(i int) error {
	n, err := s.newNode(fmt.Sprintf("entry%d", i))
	if err != nil {
		return err
	}
	n.Entry, n.Domain = true, "d0"
	if n.Callers, err = standin.FreeAddress(); err != nil {
		return err
	}
	if n.Ready, err = standin.FreeAddress(); err != nil {
		return err
	}
	return s.start(n)
}

func (s *site) addAgent(i int) error {
	n, err := s.newNode(fmt.Sprintf("agent%d", i))
	if err != nil {
		return err
	}
	w := s.steps.Add(fmt.Sprintf("i-%d", i))
	s.workers = append(s.workers, w)
	server, address, err := serve(platform.WorkerHandler(w))
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	if n.worker, err = newProxy(address); err != nil {
		return err
	}
	n.Agent, n.Domain, n.Worker = true, fmt.Sprintf("d%d", i%2), n.worker.address()
	if n.Control, err = standin.FreeAddress(); err != nil {
		return err
	}
	return s.start(n)
}

// start writes the settings of a process and runs it.
func (s *site) start(n *node) error {
	data, err := platform.EncodeNode(n.Node)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return n.run(s.program)
}

// run starts the process of a node.
func (n *node) run(program string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(program, "node", "--metrics-port", "0")
	n.cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	return errors.Wrap(n.cmd.Start(), n.Name)
}

// alone runs a fault that sends signals, unless another one is running.
func (n *node) alone(f func(*node)) {
	if n.signals.TryLock() {
		defer n.signals.Unlock()
		f(n)
	}
}

// readyWithin is the time in which the entries take callers after their start.
const readyWithin = 10 * time.Second

// ready waits until all entries take callers.
func (s *site) ready() error {
	for _, n := range s.nodes[:entries] {
		until := time.Now().Add(readyWithin)
		for !isReady(n) {
			if time.Now().After(until) {
				return errors.Newf("%s does not get ready", n.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(n *node) bool {
	resp, err := http.Get("http://" + n.Node.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it has no body
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a node.
func (n *node) signal(sig syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(sig)
}

// restart ends the process of a node with a signal and starts it again.
func (n *node) restart(program string, sig syscall.Signal, down time.Duration) error {
	if err := n.signal(sig); err != nil {
		return err
	}
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // the signal is the cause of its end
	time.Sleep(down)
	return n.run(program)
}

// announce sends the status reports of the workers until ctx ends.
func (s *site) announce(ctx context.Context) {
	var parts sync.WaitGroup
	for i, n := range s.nodes[entries:] {
		a := platform.NewAnnouncer(n.Control)
		parts.Go(func() {
			defer a.Close()
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				_ = a.Announce(ctx, work.Announcement{ // it is repeated
					ID: fmt.Sprintf("i-%d", i), StartedAtMS: s.workers[i].Born(), Sequence: seq, Service: service, Address: n.Worker,
					Domain: n.Domain, State: work.WorkerReady, Labels: []string{"a", fmt.Sprintf("r%d-1", i%2)},
					Capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8},
				})
				uptime.Sleep(ctx, announceEvery)
			}
		})
	}
	parts.Wait()
}

// close ends all processes that this one has started, by their identifiers.
func (s *site) close() {
	for _, n := range s.nodes {
		_ = n.signal(syscall.SIGCONT) // one that has ended needs none
		_ = n.signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		n.store.close()
		if n.worker != nil {
			n.worker.close()
		}
		_ = n.log.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
