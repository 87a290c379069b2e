package main

import (
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
)

const (
	entryCount  = 3
	agentCount  = 4
	queueHost   = "soak.example"
	queuePrefix = "/q/"
	service     = "svc"
	// keyRevocationDelay is the setting within which a revoked key becomes invalid.
	keyRevocationDelay = 5 * time.Second
)

// node is one process of the system under test, an entry or an agent.
type node struct {
	platform.Node
	settingsPath string
	logFile      *os.File
	storeProxy   *proxy
	workerProxy  *proxy     // nil for an entry
	signalMu     sync.Mutex // held while a fault stops or pauses the process
	mu           sync.Mutex
	cmd          *exec.Cmd
	starts       int // of the process
}

// system is the system under test: the processes and the stand-ins for the store
// and the workers.
type system struct {
	program string
	dir     string
	store   *standin.Transactions
	steps   *standin.Steps
	workers []*worker
	nodes   []*node
	servers []*http.Server
	events  *events
	kinds   selection
	queues  *addedQueues

	configMu sync.Mutex
	version  int64  // of the configuration
	key      string // that is valid
}

func serve(h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: nil}
	go func() { _ = s.Serve(l) }() // Serve returns when Close is called
	return s, netip.MustParseAddrPort(l.Addr().String()), nil
}

func newSystem(program, dir string) (*system, error) {
	s := &system{program: program, dir: dir, store: standin.NewTransactions(), steps: standin.NewSteps(), queues: &addedQueues{}}
	var err error
	if s.events, err = newEvents(filepath.Join(dir, "workers.log")); err != nil {
		return nil, err
	}
	s.steps.Observe = s.events.observe
	if err := s.configure("k0"); err != nil {
		return nil, err
	}
	for i := range entryCount {
		if err := s.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range agentCount {
		if err := s.addAgent(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// configure stores the next configuration version, in which only the given API key is
// valid.
func (s *system) configure(key string) error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.key = key
	return s.storeNextVersion()
}

// changeQueues stores the next configuration version with the same API key.
func (s *system) changeQueues() error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return s.storeNextVersion()
}

// storeNextVersion stores the next configuration version, which adds a queue and removes
// the oldest of those that earlier versions have added.
func (s *system) storeNextVersion() error {
	s.version += 3
	queues := []queue.Queue{
		{Name: "urgent", Host: queueHost, Prefix: queuePrefix + "u/", Service: service, MaxAttempts: 2, MaxSlowdown: 1.5, Objective: time.Second},
		{Name: "batch", Host: queueHost, Prefix: queuePrefix + "b/", Service: service, Priority: 2, MaxAttempts: 2, MaxSlowdown: 3, Objective: time.Second},
	}
	for _, q := range s.queues.next(s.version) {
		queues = append(queues, queue.Queue{Name: q.prefix, Host: queueHost, Prefix: q.prefix, Service: service, Priority: 2, MaxAttempts: 2, MaxSlowdown: 3, Objective: time.Second})
	}
	documentKey, document, err := platform.EncodeConfiguration(&queue.Configuration{
		Version: s.version, Queues: queues,
		Accounts: map[string]queue.Account{"t": {Name: "t", Keys: []string{s.key}, GuaranteedAccelerators: 8}},
		Services: map[string]queue.Service{service: {Name: service}},
	})
	if err != nil {
		return err
	}
	s.store.Put(documentKey, document)
	return nil
}

func (s *system) newNode(name string) (*node, error) {
	server, address, err := serve(platform.StoreHandler(s.store.View(name)))
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	n := &node{Node: platform.Node{
		Name: name, LeaseMin: time.Second, ShutdownGrace: 2 * time.Second, StatusRetention: 2 * time.Minute, KeyRevocationDelay: keyRevocationDelay,
		StopGrace: 100 * time.Millisecond, GangWait: 3 * time.Second, ReclaimTimeout: 3 * time.Second,
	}}
	if n.storeProxy, err = newProxy(address); err != nil {
		return nil, err
	}
	n.Store = n.storeProxy.address()
	if n.Internal, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	n.settingsPath = filepath.Join(s.dir, name+".json")
	n.logFile, err = os.Create(filepath.Join(s.dir, name+".log"))
	return n, err
}

func (s *system) addEntry(i int) error {
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

func (s *system) addAgent(i int) error {
	n, err := s.newNode(fmt.Sprintf("agent%d", i))
	if err != nil {
		return err
	}
	w := &worker{StepWorker: s.steps.Add(fmt.Sprintf("i-%d", i)), node: n, labels: []string{"a", fmt.Sprintf("r%d-1", i%2)}}
	w.Resize(fullCapacity)
	s.workers = append(s.workers, w)
	server, address, err := serve(platform.WorkerHandler(w))
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	if n.workerProxy, err = newProxy(address); err != nil {
		return err
	}
	w.OnDown = w.onDown
	n.Agent, n.Domain, n.Worker = true, fmt.Sprintf("d%d", i%2), n.workerProxy.address()
	if n.Control, err = standin.FreeAddress(); err != nil {
		return err
	}
	return s.start(n)
}

// start writes the settings of a node and starts its process.
func (s *system) start(n *node) error {
	data, err := platform.EncodeNode(n.Node)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settingsPath, data, 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return n.startProcess(s.program)
}

// startProcess starts the process of a node with the settings already written.
func (n *node) startProcess(program string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.cmd = exec.Command(program, "node", "--metrics-port", "0")
	n.cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+n.settingsPath)
	n.cmd.Stdout, n.cmd.Stderr = n.logFile, n.logFile
	return errors.Wrap(n.cmd.Start(), n.Name)
}

// trySignalFault runs a fault that stops or pauses the process, unless another such
// fault is active on the node.
func (n *node) trySignalFault(f func(*node)) {
	if n.signalMu.TryLock() {
		defer n.signalMu.Unlock()
		f(n)
	}
}

// readyTimeout is the time within which each entry has to report that it is ready.
const readyTimeout = 10 * time.Second

// waitReady waits until all entries report that they accept calls.
func (s *system) waitReady() error {
	for _, n := range s.nodes[:entryCount] {
		deadline := time.Now().Add(readyTimeout)
		for !isReady(n) {
			if time.Now().After(deadline) {
				return errors.Newf("%s did not report ready within %s", n.Name, readyTimeout)
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
	_ = resp.Body.Close() // the response has no body
	return resp.StatusCode == http.StatusOK
}

// lifetime returns the number of starts of the process.
func (n *node) lifetime() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// signal sends a signal to the process of a node.
func (n *node) signal(sig syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(sig)
}

// restart ends the process of a node with a signal and starts it again after the
// downtime.
func (n *node) restart(program string, sig syscall.Signal, downtime time.Duration) error {
	if err := n.signal(sig); err != nil {
		return err
	}
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // the process ends by the signal, so its exit status says nothing
	time.Sleep(downtime)
	return n.startProcess(program)
}

// close kills all processes of the system, by process ID, and closes proxies, logs
// and servers.
func (s *system) close() {
	for _, n := range s.nodes {
		_ = n.signal(syscall.SIGCONT) // fails if the process has already ended
		_ = n.signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		n.storeProxy.close()
		if n.workerProxy != nil {
			n.workerProxy.close()
		}
		_ = n.logFile.Close()
	}
	s.events.close()
	for _, server := range s.servers {
		_ = server.Close()
	}
}
