package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/node"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// deployment is a system on loopback: simulated platform services, two entries and
// some agents.
type deployment struct {
	store   *standin.Transactions
	fleet   *standin.Steps
	clients []*platform.Client
	entries []platform.Node
	workers []*standin.StepWorker
	logs    logs
}

// logs collects the log output of each process.
type logs struct {
	mu   sync.Mutex
	text map[string]*bytes.Buffer
}

type logWriter struct {
	logs *logs
	name string
}

func (w logWriter) Write(p []byte) (int, error) {
	w.logs.mu.Lock()
	defer w.logs.mu.Unlock()
	b, ok := w.logs.text[w.name]
	if !ok {
		b = &bytes.Buffer{}
		w.logs.text[w.name] = b
	}
	return b.Write(p)
}

// count returns the number of lines in the log of a process that contain all the texts.
func (l *logs) count(name string, texts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	if b, ok := l.text[name]; ok {
		for line := range strings.Lines(b.String()) {
			if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
				n++
			}
		}
	}
	return n
}

// explain returns the history of a job as the explain command prints it.
func (l *logs) explain(t *testing.T, id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := history.Reader{ID: id}
	for name, text := range l.text {
		require.NoError(t, r.Read(name, bytes.NewReader(text.Bytes())))
	}
	require.Zero(t, r.Bad)
	var out strings.Builder
	require.NoError(t, r.Print(&out))
	return out.String()
}

var loopback = netip.MustParseAddr("127.0.0.1")

func freeAddress(t *testing.T) netip.AddrPort {
	a, err := standin.FreeAddress()
	require.NoError(t, err)
	return a
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func newDeployment(t *testing.T, agents int) *deployment {
	d := &deployment{store: standin.NewTransactions(), fleet: standin.NewSteps(), logs: logs{text: make(map[string]*bytes.Buffer)}}
	d.configure(t, 1, "k1")
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	t.Cleanup(func() { cancel(); goroutines.Wait() })
	startProcess := func(f func(context.Context, platform.Node, zerolog.Logger) error, n platform.Node) {
		log := zerolog.New(logWriter{&d.logs, n.Name}).With().Timestamp().Logger()
		goroutines.Go(func() { _ = f(ctx, n, log) }) // tests fail if a process does not serve
	}
	for i := range 2 {
		n := platform.Node{
			Name: fmt.Sprintf("entry%d", i), Callers: freeAddress(t), Ready: freeAddress(t), Internal: freeAddress(t),
			IP: loopback, MetricsPort: freeAddress(t).Port(), Store: d.storeFor(t, fmt.Sprintf("entry%d", i)), KeyRevocationDelay: 5 * time.Second, ShutdownGrace: 200 * time.Millisecond,
			LeaseMin: time.Second, StatusRetention: time.Minute, Entry: true,
		}
		startProcess(node.Entry, n)
		d.entries = append(d.entries, n)
		c := platform.NewClient(n.Callers, "a.example", "k1")
		t.Cleanup(c.Close)
		d.clients = append(d.clients, c)
	}
	for i := range agents {
		d.addAgent(ctx, t, &goroutines, i, d.storeFor(t, "agents"), startProcess)
	}
	require.Eventually(t, func() bool { return d.ready(0) && d.ready(1) }, 20*time.Second, 20*time.Millisecond)
	return d
}

// storeFor returns the address of a view of the store for one process. Faults of the
// view are set by its name.
func (d *deployment) storeFor(t *testing.T, name string) netip.AddrPort {
	server := httptest.NewServer(platform.StoreHandler(d.store.View(name)))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return addressOf(server)
}

func (d *deployment) addAgent(ctx context.Context, t *testing.T, goroutines *sync.WaitGroup, i int, store netip.AddrPort, startProcess func(func(context.Context, platform.Node, zerolog.Logger) error, platform.Node)) {
	id := fmt.Sprintf("i-%d", i)
	worker := d.fleet.Add(id)
	d.workers = append(d.workers, worker)
	server := httptest.NewServer(platform.WorkerHandler(worker))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	n := platform.Node{
		Name: fmt.Sprintf("agent%d", i), Control: freeAddress(t), Worker: addressOf(server), IP: loopback, MetricsPort: freeAddress(t).Port(), Store: store, Agent: true,
	}
	startProcess(node.Agent, n)
	a := platform.NewAnnouncer(n.Control)
	goroutines.Go(func() {
		defer a.Close()
		w := work.Announcement{
			ID: id, StartedAtMS: worker.Born(), Service: "svc", Address: n.Worker, Domain: "d", State: work.WorkerReady,
			Capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}, Labels: []string{"a", "r1-1"},
		}
		for ctx.Err() == nil {
			w.Sequence++
			_ = a.Announce(ctx, w) // a lost report is followed by the next one
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

// configure writes a configuration with two queues and the additional ones.
func (d *deployment) configure(t *testing.T, version int64, key string, additional ...queue.Queue) {
	t.Helper()
	k, document, err := platform.EncodeConfiguration(&queue.Configuration{
		Version: version,
		Queues: append([]queue.Queue{
			{Name: "checks", Host: "a.example", Prefix: "/checks/", Service: "svc", MaxAttempts: 2, MaxSlowdown: 1.5, Objective: 250 * time.Millisecond},
			{Name: "scans", Host: "a.example", Prefix: "/checks/scans/", Service: "svc", Priority: 2, MaxAttempts: 2, MaxSlowdown: 3, Objective: 250 * time.Millisecond},
		}, additional...),
		Services: map[string]queue.Service{"svc": {Name: "svc"}},
		Accounts: map[string]queue.Account{"t1": {Name: "t1", Keys: []string{key}, GuaranteedAccelerators: 8}},
		Limits:   queue.Limits{BodyBytes: 4500},
	})
	require.NoError(t, err)
	d.store.Put(k, document)
}

func (d *deployment) ready(i int) bool {
	resp, err := http.Get("http://" + d.entries[i].Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the response has no body
	return resp.StatusCode == http.StatusOK
}

const callTimeout = 3 * time.Second

func newJob(spec string, steps ...work.Step) *work.Job { return &work.Job{Spec: spec, Steps: steps} }

func newStep(n int) work.Step {
	return work.Step{Count: n, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1}, Estimate: 100 * time.Millisecond}
}

// Guards against failures anywhere between a client and a worker, and against job
// states that differ between entries.
func TestEndToEnd(t *testing.T) {
	d := newDeployment(t, 2)
	ctx := context.Background()
	gang := newStep(4)
	gang.Gang = true
	a, err := d.clients[0].Submit(ctx, callTimeout, "/checks/", "00000000000000a1", newJob("for=150ms gang=4", gang))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	for _, c := range d.clients {
		require.Eventually(t, func() bool {
			a, err := c.State(ctx, callTimeout, "/checks/", "00000000000000a1")
			return err == nil && a.Status == http.StatusOK && a.State == work.Completed
		}, 30*time.Second, 20*time.Millisecond)
	}
	a, err = d.clients[1].Submit(ctx, callTimeout, "/checks/", "00000000000000a1", newJob("for=150ms gang=4", gang))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, "a repeated submission must be accepted as the same job")
	require.Eventually(t, func() bool {
		a, err := d.clients[1].Pending(ctx, callTimeout, "/checks/")
		return err == nil && a == platform.Answer{Status: http.StatusOK}
	}, 2*time.Second, 20*time.Millisecond, "the count of pending jobs may be at most 2 s old")
	a, err = d.clients[1].Submit(ctx, callTimeout, "/checks/scans/", "00000000000000a2", newJob("for=60s", newStep(2)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return d.fleet.Runs() == 2 }, 20*time.Second, 20*time.Millisecond)
	a, err = d.clients[0].Cancel(ctx, callTimeout, "/checks/scans/", "00000000000000a2")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return d.fleet.Runs() == 0 }, 20*time.Second, 20*time.Millisecond)
	require.Empty(t, d.fleet.Breaches())
}

// Guards against rejections whose status differs from that of the protocol.
func TestRejectedRequests(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	selfDependent := newStep(1)
	selfDependent.DependsOn = []int{0}
	for name, tc := range map[string]struct {
		host, key, prefix, id string
		job                   *work.Job
		want                  int
	}{
		"unknown queue":           {"a.example", "k1", "/none/", "00000000000000b1", newJob("", newStep(1)), http.StatusNotFound},
		"unknown host":            {"b.example", "k1", "/checks/", "00000000000000b1", newJob("", newStep(1)), http.StatusNotFound},
		"unknown key":             {"a.example", "k2", "/checks/", "00000000000000b1", newJob("", newStep(1)), http.StatusUnauthorized},
		"no key":                  {"a.example", "", "/checks/", "00000000000000b1", newJob("", newStep(1)), http.StatusUnauthorized},
		"bad identifier":          {"a.example", "k1", "/checks/", "b1", newJob("", newStep(1)), http.StatusBadRequest},
		"no steps":                {"a.example", "k1", "/checks/", "00000000000000b1", newJob(""), http.StatusBadRequest},
		"depends on itself":       {"a.example", "k1", "/checks/", "00000000000000b1", newJob("", selfDependent), http.StatusBadRequest},
		"specification too large": {"a.example", "k1", "/checks/", "00000000000000b1", newJob(strings.Repeat("x", 4001), newStep(1)), http.StatusBadRequest},
		"body too large":          {"a.example", "k1", "/checks/", "00000000000000b1", newJob(strings.Repeat("x", 5000), newStep(1)), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := platform.NewClient(d.entries[0].Callers, tc.host, tc.key)
			defer c.Close()
			a, err := c.Submit(ctx, callTimeout, tc.prefix, tc.id, tc.job)
			require.NoError(t, err)
			require.Equal(t, tc.want, a.Status)
		})
	}
	require.Empty(t, d.store.Keys("rs/job/"), "a rejected request must not leave a record in the store")
	a, err := d.clients[0].State(ctx, callTimeout, "/checks/", "00000000000000b1")
	require.NoError(t, err)
	require.Equal(t, http.StatusGone, a.Status)
}

// Guards against an API key that is accepted after it was revoked, by an entry that
// is in contact with the store and by one that is not.
func TestRevokedKey(t *testing.T) {
	d := newDeployment(t, 0)
	ctx := context.Background()
	status := func() int {
		a, err := d.clients[0].Pending(ctx, callTimeout, "/checks/")
		require.NoError(t, err)
		return a.Status
	}
	require.Equal(t, http.StatusOK, status())
	d.configure(t, 2, "k9")
	require.Eventually(t, func() bool { return status() == http.StatusUnauthorized }, 2*time.Second, 10*time.Millisecond)
	d.configure(t, 3, "k1")
	require.Eventually(t, func() bool { return status() == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
	d.store.SetFault(standin.Everyone, standin.Silent)
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 5*time.Second, 10*time.Millisecond)
	require.False(t, d.ready(0))
}

// Guards against a job that is accepted under an outdated configuration because the
// entry has not received the latest change yet.
func TestSubmitUsesNewestConfiguration(t *testing.T) {
	d := newDeployment(t, 0)
	d.configure(t, 2, "k9")
	a, err := d.clients[0].Submit(context.Background(), callTimeout, "/checks/", "00000000000000d1", newJob("", newStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, a.Status)
	require.Empty(t, d.store.Keys("rs/job/"))
}

// waitForPeers waits until the entries know of each other.
func (d *deployment) waitForPeers(t *testing.T) {
	require.Eventually(t, func() bool { return len(d.store.Keys("rs/entry/")) == 2 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond) // the changes arrive within milliseconds
}

// Guards against requests that are rejected by an entry that cannot reach the store
// while other entries can.
func TestEntryWithoutStoreAccess(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"silent": standin.Silent, "refusing": standin.Refusing, "losing replies": standin.Losing} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			ctx := context.Background()
			d.waitForPeers(t)
			d.store.SetFault("entry0", fault)
			for i := range 4 { // immediately, and after the entry has detected the fault
				id := fmt.Sprintf("00000000000000e%d", i)
				a, err := d.clients[0].Submit(ctx, callTimeout, "/checks/", id, newJob("for=50ms", newStep(1)))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				a, err = d.clients[0].State(ctx, callTimeout, "/checks/", id)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				time.Sleep(700 * time.Millisecond)
			}
			a, err := d.clients[0].State(ctx, callTimeout, "/checks/", "00000000000000ff")
			require.NoError(t, err)
			require.Equal(t, http.StatusGone, a.Status)
			require.Empty(t, d.fleet.Breaches())
		})
	}
}
