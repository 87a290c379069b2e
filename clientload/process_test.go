// Package clientload_test holds tests of connections from clients that are not under
// the control of the system. Each test starts one real process on loopback against
// stand-ins, opens many connections to it, and checks that the process lives, keeps
// within the memory and the descriptors of its settings, and still answers.
package clientload_test

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
)

// Limits of the machine in the settings of a process, unless a test has others. The memory
// is below what connections times bodyBytes needs, the descriptors are below connections.
const (
	memoryMB       = 96
	maxDescriptors = 512
)

const (
	host = "a.example"
	key  = "k1"
	// otherKey is a key of another client account.
	otherKey = "k2"
	// readyTimeout bounds the start of a process.
	readyTimeout = 20 * time.Second
	// sampleInterval is the interval between two measurements of a process.
	sampleInterval = 50 * time.Millisecond
)

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rosemarysill")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "rosemarysill")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/rosemarysill").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // a temporary directory
	}
	os.Exit(code)
}

// process is a running process of the program.
type process struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	ports    []uint16 // on which it listens
	memoryMB int64    // of its machine
	files    int      // descriptors of its machine

	mu          sync.Mutex
	maxMemory   int64 // highest sum of resident memory and unread bytes
	maxFiles    int   // highest number of open descriptors
	stopSampler chan struct{}
}

// start starts the program and kills it at the end of the test.
func start(t *testing.T, memoryMB int64, files int, environment string, ports []uint16, args ...string) *process {
	t.Helper()
	path, err := buildProgram()
	require.NoError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	p := &process{
		cmd: exec.Command(path, args...), exited: make(chan struct{}), ports: ports, memoryMB: memoryMB, files: files,
		stopSampler: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), environment)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // the test checks that the process has not exited
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sample()
	}()
	t.Cleanup(func() {
		close(p.stopSampler)
		<-sampled
		_ = p.cmd.Process.Kill() // fails if the process has exited
		<-p.exited
		_ = log.Close()
		if t.Failed() {
			data, err := os.ReadFile(log.Name())
			t.Logf("%v: %v\n%s", args, err, data[max(0, len(data)-4000):])
		}
	})
	return p
}

// sample measures the process until the test ends or the process exits.
func (p *process) sample() {
	for {
		memory, files, err := p.measure()
		if err == nil {
			p.mu.Lock()
			p.maxMemory, p.maxFiles = max(p.maxMemory, memory), max(p.maxFiles, files)
			p.mu.Unlock()
		}
		select {
		case <-p.stopSampler:
			return
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// measure returns the memory of the process in bytes and its open descriptors. The
// memory includes the bytes that the kernel has received for it and it has not read.
func (p *process) measure() (memory int64, files int, err error) {
	directory := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	descriptors, err := os.ReadDir(directory + "/fd")
	if err != nil {
		return 0, 0, err
	}
	status, err := os.ReadFile(directory + "/status")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0, 0, err
			}
			memory = kib << 10
		}
	}
	unread, err := p.unread()
	return memory + unread, len(descriptors), err
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// unread returns the bytes in the receive queues of the sockets at the process's
// ports, including connections that it has not accepted yet.
func (p *process) unread() (int64, error) {
	var total int64
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		f, err := os.Open(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) < 5 || fields[3] == listening || !p.listensOn(fields[1]) {
				continue
			}
			if _, queue, ok := strings.Cut(fields[4], ":"); ok {
				n, err := strconv.ParseInt(queue, 16, 64)
				if err != nil {
					_ = f.Close() // only read
					return 0, err
				}
				total += n
			}
		}
		_ = f.Close() // only read
	}
	return total, nil
}

// listensOn reports whether the address, as in /proc/net/tcp, has a port of the process.
func (p *process) listensOn(address string) bool {
	_, text, _ := strings.Cut(address, ":")
	port, err := strconv.ParseUint(text, 16, 16)
	for _, own := range p.ports {
		if err == nil && uint16(port) == own {
			return true
		}
	}
	return false
}

// check checks that the process lives and has kept within its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	memory, files := p.maxMemory, p.maxFiles
	p.mu.Unlock()
	t.Logf("memory %d MiB, limit %d; descriptors %d, limit %d", memory>>20, p.memoryMB, files, p.files)
	select {
	case <-p.exited:
		t.Errorf("the process has exited: %v", p.cmd.ProcessState)
	default:
	}
	if memory > p.memoryMB<<20 {
		t.Errorf("memory is %d MiB, over the limit of %d MiB", memory>>20, p.memoryMB)
	}
	if files > p.files {
		t.Errorf("%d descriptors are open, over the limit of %d", files, p.files)
	}
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	a, err := standin.FreeAddress()
	require.NoError(t, err)
	return a
}

// newStore returns a store that holds the configuration.
func newStore(t *testing.T) *standin.Transactions {
	t.Helper()
	store := standin.NewTransactions()
	documentKey, document, err := platform.EncodeConfiguration(&queue.Configuration{
		Version:  1,
		Queues:   []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "svc", MaxAttempts: 2, MaxSlowdown: 1.5, Objective: time.Second}},
		Accounts: map[string]queue.Account{"t": {Name: "t", Keys: []string{key}}, "o": {Name: "o", Keys: []string{otherKey}}},
		Services: map[string]queue.Service{"svc": {Name: "svc"}},
	})
	require.NoError(t, err)
	store.Put(documentKey, document)
	return store
}

// startNode starts an entry or an agent on the platform's interface.
func startNode(t *testing.T, store *standin.Transactions, n platform.Node) *process {
	t.Helper()
	n.Domain, n.IP = "d0", n.Internal.Addr()
	n.LeaseMin, n.ShutdownGrace, n.StatusRetention = time.Second, 2*time.Second, time.Minute
	n.KeyRevocationDelay = cmp.Or(n.KeyRevocationDelay, 5*time.Second)
	n.StopGrace, n.GangWait, n.ReclaimTimeout = 100*time.Millisecond, 3*time.Second, 3*time.Second
	n.MemoryMB, n.MaxDescriptors, n.Cores = cmp.Or(n.MemoryMB, memoryMB), cmp.Or(n.MaxDescriptors, maxDescriptors), 0.5
	server := httptest.NewServer(platform.StoreHandler(store.View(n.Name)))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	n.Store = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	data, err := platform.EncodeNode(n)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	var ports []uint16
	for _, a := range []netip.AddrPort{n.Callers, n.Ready, n.Internal, n.Control} {
		if a.IsValid() {
			ports = append(ports, a.Port())
		}
	}
	return start(t, n.MemoryMB, n.MaxDescriptors, platform.SettingsPathVariable+"="+path, ports, "node", "--metrics-port", "0")
}

// startPlatformEntry starts an entry on the platform's interface and waits until it is
// ready.
func startPlatformEntry(t *testing.T) (*process, platform.Node) {
	t.Helper()
	return startPlatformEntryAs(t, newStore(t), platform.Node{Name: "node0"})
}

// startPlatformEntryAs starts an entry with the given store, name and limits.
func startPlatformEntryAs(t *testing.T, store *standin.Transactions, n platform.Node) (*process, platform.Node) {
	t.Helper()
	n.Entry, n.Callers, n.Ready, n.Internal = true, freeAddress(t), freeAddress(t), freeAddress(t)
	p := startNode(t, store, n)
	require.Eventually(t, func() bool { return isReady(n.Ready) == nil }, readyTimeout, 20*time.Millisecond)
	return p, n
}

// startPlatformAgent starts an agent on the platform's interface, without a worker.
func startPlatformAgent(t *testing.T) (*process, platform.Node) {
	t.Helper()
	n := platform.Node{Name: "node0", Agent: true, Control: freeAddress(t), Internal: freeAddress(t), Worker: freeAddress(t)}
	p := startNode(t, newStore(t), n)
	require.Eventually(t, func() bool { return listens(n.Control) }, readyTimeout, 20*time.Millisecond)
	return p, n
}

// startEntry starts an entry with the product's own interface and waits until it
// answers.
func startEntry(t *testing.T) (p *process, callers, peers netip.AddrPort) {
	t.Helper()
	store, err := standin.Serve(netip.AddrPort{}, standin.NewStore(standin.StoreOptions{}))
	require.NoError(t, err)
	t.Cleanup(store.Stop)
	callers, peers = freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "entry.yaml")
	settings := fmt.Sprintf("Name: entry0\nDomain: d0\nListen: {HTTP: %q, GRPC: %q}\nStore: %q\nLimits: {MemoryMB: %d, MaxDescriptors: %d, MaxBodyBytes: %d}\n",
		callers, peers, store.Address(), memoryMB, maxDescriptors, bodyBytes)
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	p = start(t, memoryMB, maxDescriptors, "", []uint16{callers.Port(), peers.Port()}, "entry", path)
	require.Eventually(t, func() bool { return answersStatus(callers) == nil }, readyTimeout, 20*time.Millisecond)
	return p, callers, peers
}

func listens(a netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp4", a.String(), time.Second)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// httpStatus returns the status of the answer to a GET, or 0.
func httpStatus(a netip.AddrPort, path string) int {
	c := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + a.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // the status is all that is needed
	return resp.StatusCode
}
