package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// site is a deployment on loopback: stand-ins on the wire, two entries and
// some agents.
type site struct {
	store   *standin.Transactions
	steps   *standin.Steps
	clients []*platform.Client
	entries []platform.Node
	workers []*standin.StepWorker
	logs    logs
}

// logs collects what the processes write, by process.
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

// explain returns the life of a job as the command of that name prints it.
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

func newSite(t *testing.T, agents int) *site {
	s := &site{store: standin.NewTransactions(), steps: standin.NewSteps(), logs: logs{text: make(map[string]*bytes.Buffer)}}
	s.configure(t, 1, "k1")
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	t.Cleanup(func() { cancel(); parts.Wait() })
	run := func(f func(context.Context, platform.Node, zerolog.Logger) error, n platform.Node) {
		log := zerolog.New(logWriter{&s.logs, n.Name}).With().Timestamp().Logger()
		parts.Go(func() { _ = f(ctx, n, log) }) // the tests see what does not work
	}
	for i := range 2 {
		n := platform.Node{
			Name: fmt.Sprintf("entry%d", i), Callers: freeAddress(t), Ready: freeAddress(t), Internal: freeAddress(t),
			IP: loopback, MetricsPort: freeAddress(t).Port(), Store: s.storeFor(t, fmt.Sprintf("entry%d", i)), KeyRevocationDelay: 5 * time.Second, ShutdownGrace: 200 * time.Millisecond,
			LeaseMin: time.Second, StatusRetention: time.Minute, Entry: true,
		}
		run(node.Entry, n)
		s.entries = append(s.entries, n)
		c := platform.NewClient(n.Callers, "a.example", "k1")
		t.Cleanup(c.Close)
		s.clients = append(s.clients, c)
	}
	for i := range agents {
		s.addAgent(ctx, t, &parts, i, s.storeFor(t, "agents"), run)
	}
	require.Eventually(t, func() bool { return s.ready(0) && s.ready(1) }, 20*time.Second, 20*time.Millisecond)
	return s
}

// storeFor returns the address of the store for one process, whose faults are
// set by the name of the process.
func (s *site) storeFor(t *testing.T, name string) netip.AddrPort {
	server := httptest.NewServer(platform.StoreHandler(s.store.View(name)))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return addressOf(server)
}

func (s *site) addAgent(ctx context.Context, t *testing.T, parts *sync.WaitGroup, i int, store netip.AddrPort, run func(func(context.Context, platform.Node, zerolog.Logger) error, platform.Node)) {
	id := fmt.Sprintf("i-%d", i)
	worker := s.steps.Add(id)
	s.workers = append(s.workers, worker)
	server := httptest.NewServer(platform.WorkerHandler(worker))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	n := platform.Node{
		Name: fmt.Sprintf("agent%d", i), Control: freeAddress(t), Worker: addressOf(server), IP: loopback, MetricsPort: freeAddress(t).Port(), Store: store, Agent: true,
	}
	run(node.Agent, n)
	a := platform.NewAnnouncer(n.Control)
	parts.Go(func() {
		defer a.Close()
		w := work.Announcement{
			ID: id, StartedAtMS: worker.Born(), Service: "svc", Address: n.Worker, Domain: "d", State: work.WorkerReady,
			Capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}, Labels: []string{"a", "r1-1"},
		}
		for ctx.Err() == nil {
			w.Sequence++
			_ = a.Announce(ctx, w) // it is repeated
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

func (s *site) configure(t *testing.T, version int64, key string) {
	t.Helper()
	k, document, err := platform.EncodeConfiguration(&queue.Configuration{
		Version: version,
		Queues: []queue.Queue{
			{Name: "checks", Host: "a.example", Prefix: "/checks/", Service: "svc", MaxAttempts: 2, MaxSlowdown: 1.5, Objective: 250 * time.Millisecond},
			{Name: "scans", Host: "a.example", Prefix: "/checks/scans/", Service: "svc", Priority: 2, MaxAttempts: 2, MaxSlowdown: 3, Objective: 250 * time.Millisecond},
		},
		Services: map[string]queue.Service{"svc": {Name: "svc"}},
		Accounts: map[string]queue.Account{"t1": {Name: "t1", Keys: []string{key}, GuaranteedAccelerators: 8}},
		Limits:   queue.Limits{BodyBytes: 4500},
	})
	require.NoError(t, err)
	s.store.Put(k, document)
}

func (s *site) ready(i int) bool {
	resp, err := http.Get("http://" + s.entries[i].Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it has no body
	return resp.StatusCode == http.StatusOK
}

const limit = 3 * time.Second

func newJob(spec string, steps ...work.Step) *work.Job { return &work.Job{Spec: spec, Steps: steps} }

func oneStep(n int) work.Step {
	return work.Step{Count: n, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1}, Estimate: 100 * time.Millisecond}
}

// Guards against a path that is broken anywhere between a caller and a worker,
// and against states that differ from entry to entry.
func TestWholePath(t *testing.T) {
	s := newSite(t, 2)
	ctx := context.Background()
	gang := oneStep(4)
	gang.Gang = true
	a, err := s.clients[0].Submit(ctx, limit, "/checks/", "00000000000000a1", newJob("for=150ms gang=4", gang))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	for _, c := range s.clients {
		require.Eventually(t, func() bool {
			a, err := c.State(ctx, limit, "/checks/", "00000000000000a1")
			return err == nil && a.Status == http.StatusOK && a.State == work.Completed
		}, 30*time.Second, 20*time.Millisecond)
	}
	a, err = s.clients[1].Submit(ctx, limit, "/checks/", "00000000000000a1", newJob("for=150ms gang=4", gang))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, "the same request again is the same job")
	require.Eventually(t, func() bool {
		a, err := s.clients[1].Pending(ctx, limit, "/checks/")
		return err == nil && a == platform.Answer{Status: http.StatusOK}
	}, 2*time.Second, 20*time.Millisecond, "the users allow a count that is 2 s old")
	a, err = s.clients[1].Submit(ctx, limit, "/checks/scans/", "00000000000000a2", newJob("for=60s", oneStep(2)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return s.steps.Runs() == 2 }, 20*time.Second, 20*time.Millisecond)
	a, err = s.clients[0].Cancel(ctx, limit, "/checks/scans/", "00000000000000a2")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return s.steps.Runs() == 0 }, 20*time.Second, 20*time.Millisecond)
	require.Empty(t, s.steps.Breaches())
}

// Guards against answers that are not those of the protocol.
func TestRefusals(t *testing.T) {
	s := newSite(t, 1)
	ctx := context.Background()
	waits := oneStep(1)
	waits.DependsOn = []int{0}
	for name, tc := range map[string]struct {
		host, key, prefix, id string
		job                   *work.Job
		want                  int
	}{
		"unknown queue":       {"a.example", "k1", "/none/", "00000000000000b1", newJob("", oneStep(1)), http.StatusNotFound},
		"unknown host":        {"b.example", "k1", "/checks/", "00000000000000b1", newJob("", oneStep(1)), http.StatusNotFound},
		"unknown key":         {"a.example", "k2", "/checks/", "00000000000000b1", newJob("", oneStep(1)), http.StatusUnauthorized},
		"no key":              {"a.example", "", "/checks/", "00000000000000b1", newJob("", oneStep(1)), http.StatusUnauthorized},
		"bad identifier":      {"a.example", "k1", "/checks/", "b1", newJob("", oneStep(1)), http.StatusBadRequest},
		"no steps":            {"a.example", "k1", "/checks/", "00000000000000b1", newJob(""), http.StatusBadRequest},
		"waits for itself":    {"a.example", "k1", "/checks/", "00000000000000b1", newJob("", waits), http.StatusBadRequest},
		"specification large": {"a.example", "k1", "/checks/", "00000000000000b1", newJob(strings.Repeat("x", 4001), oneStep(1)), http.StatusBadRequest},
		"body large":          {"a.example", "k1", "/checks/", "00000000000000b1", newJob(strings.Repeat("x", 5000), oneStep(1)), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := platform.NewClient(s.entries[0].Callers, tc.host, tc.key)
			defer c.Close()
			a, err := c.Submit(ctx, limit, tc.prefix, tc.id, tc.job)
			require.NoError(t, err)
			require.Equal(t, tc.want, a.Status)
		})
	}
	require.Empty(t, s.store.Keys("rs/job/"), "a refused request leaves nothing behind")
	a, err := s.clients[0].State(ctx, limit, "/checks/", "00000000000000b1")
	require.NoError(t, err)
	require.Equal(t, http.StatusGone, a.Status)
}

// Guards against a key that is honoured after it was taken away, at an entry
// that hears from the store and at one that does not.
func TestRevokedKey(t *testing.T) {
	s := newSite(t, 0)
	ctx := context.Background()
	status := func() int {
		a, err := s.clients[0].Pending(ctx, limit, "/checks/")
		require.NoError(t, err)
		return a.Status
	}
	require.Equal(t, http.StatusOK, status())
	s.configure(t, 2, "k9")
	require.Eventually(t, func() bool { return status() == http.StatusUnauthorized }, 2*time.Second, 10*time.Millisecond)
	s.configure(t, 3, "k1")
	require.Eventually(t, func() bool { return status() == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
	s.store.SetFault(standin.Everyone, standin.Silent)
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 5*time.Second, 10*time.Millisecond)
	require.False(t, s.ready(0))
}

// Guards against a job that is accepted under a configuration that is no
// longer the newest: the entry has not heard of the change yet.
func TestAcceptedUnderNewestConfiguration(t *testing.T) {
	s := newSite(t, 0)
	s.configure(t, 2, "k9")
	a, err := s.clients[0].Submit(context.Background(), limit, "/checks/", "00000000000000d1", newJob("", oneStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, a.Status)
	require.Empty(t, s.store.Keys("rs/job/"))
}

// Guards against callers who are refused at an entry that alone does not reach
// the store, while others do.
func TestEntryCutOffFromStore(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"silent": standin.Silent, "refusing": standin.Refusing, "losing answers": standin.Losing} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			ctx := context.Background()
			require.Eventually(t, func() bool { return len(s.store.Keys("rs/entry/")) == 2 }, 20*time.Second, 10*time.Millisecond)
			time.Sleep(300 * time.Millisecond) // both entries hear of each other within milliseconds
			s.store.SetFault("entry0", fault)
			for i := range 4 { // at once, and when the entry has noticed
				id := fmt.Sprintf("00000000000000e%d", i)
				a, err := s.clients[0].Submit(ctx, limit, "/checks/", id, newJob("for=50ms", oneStep(1)))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				a, err = s.clients[0].State(ctx, limit, "/checks/", id)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				time.Sleep(700 * time.Millisecond)
			}
			a, err := s.clients[0].State(ctx, limit, "/checks/", "00000000000000ff")
			require.NoError(t, err)
			require.Equal(t, http.StatusGone, a.Status)
			require.Empty(t, s.steps.Breaches())
		})
	}
}
