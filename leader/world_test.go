package leader_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	operators "github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/leader"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/runner"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// declared is a leader.Declarations with a fixed configuration.
type declared struct {
	mu  sync.Mutex
	out map[string]bool
	cfg queue.Configuration

	waves map[string]operators.Wave
}

func (d *declared) Configuration() *queue.Configuration { return &d.cfg }

func (d *declared) Waves() map[string]operators.Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.waves)
}

func (d *declared) FreshAsOf() time.Time { return uptime.Now() }

func (d *declared) DomainOut(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.out[domain]
}

// process is an entry or an agent.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (p *process) kill() {
	p.cancel()
	<-p.done
}

// entry is an entry's part in the election, with the server of its streams.
type entry struct {
	process
	copy *jobstore.Cache
}

// agent is the agent beside a worker.
type agent struct {
	process
	runner *runner.Runner
	worker *standin.StepWorker
	name   string
	seq    uint64
}

// world is a set of processes with their stand-ins.
type world struct {
	t        *testing.T
	store    *standin.Transactions
	steps    *standin.Steps
	declared *declared
	entries  map[string]*entry
	agents   map[string]*agent

	adviser   *adviser   // of entries that are added later
	machinery *machinery // the same
	cores     float64    // the same
	statusFor time.Duration
}

func newWorld(t *testing.T, entries, agents int) *world {
	w := &world{
		t: t, store: standin.NewTransactions(), steps: standin.NewSteps(),
		declared: &declared{out: make(map[string]bool)}, entries: make(map[string]*entry), agents: make(map[string]*agent),
		statusFor: time.Minute,
	}
	for i := range entries {
		w.addEntry(fmt.Sprintf("entry%d", i))
	}
	for i := range agents {
		name := fmt.Sprintf("agent%d", i)
		w.addAgent(name, w.steps.Add("i-"+name))
	}
	t.Cleanup(func() {
		for _, a := range w.agents {
			a.kill()
		}
		for _, e := range w.entries {
			e.kill()
		}
	})
	return w
}

func (w *world) addEntry(name string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	view := w.store.View(name)
	e := &entry{process: process{cancel, make(chan struct{})}, copy: jobstore.NewCache(view, zerolog.Nop())}
	cfg := leader.Config{
		Name: name, Address: netip.MustParseAddrPort(l.Addr().String()), Cores: w.cores, Store: view, Cache: e.copy, Declarations: w.declared,
		StatusRetention: w.statusFor, StopGrace: 50 * time.Millisecond, GangWait: 3 * time.Second, Log: zerolog.Nop(),
		EncodeWaveStatus: func(id string, completed bool) (string, []byte) {
			if completed {
				return "status/" + id, []byte("completed")
			}
			return "status/" + id, []byte("running")
		},
	}
	if w.adviser != nil {
		cfg.Adviser = w.adviser
	}
	if w.machinery != nil {
		cfg.Machines = w.machinery
	}
	lead := leader.New(cfg)
	server := grpc.NewServer()
	control.Register(server, lead)
	go func() {
		defer close(e.done)
		var parts sync.WaitGroup
		parts.Go(func() { e.copy.Run(ctx) })
		parts.Go(func() {
			jobstore.KeepRegistered(ctx, view, jobstore.LeaderRecord{Name: name, Address: cfg.Address, Cores: cfg.Cores}, func(error) {})
		})
		parts.Go(func() { lead.Run(ctx) })
		parts.Go(func() { _ = server.Serve(l) }) // it ends with Stop
		<-ctx.Done()
		server.Stop()
		parts.Wait()
	}()
	w.entries[name] = e
}

// crash ends an entry without giving the lead up.
func (w *world) crash(name string) {
	w.store.SetFault(name, standin.Refusing)
	w.entries[name].kill()
	delete(w.entries, name)
}

func (w *world) addAgent(name string, worker *standin.StepWorker) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{process: process{cancel, make(chan struct{})}, worker: worker, name: name}
	a.runner = runner.New(runner.Config{
		Name: name, Store: w.store.View(name), Runtime: worker, Log: zerolog.Nop(),
		Register: func(work.Registrar) http.Handler { return http.NotFoundHandler() },
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(w.t, err)
	go func() {
		defer close(a.done)
		_ = a.runner.Run(ctx, l) // it ends with ctx
	}()
	w.agents[name] = a
	w.announce(a, work.WorkerReady, 0)
}

// announce sends a status report of the worker to its agent.
func (w *world) announce(a *agent, state work.WorkerState, remaining time.Duration) {
	a.seq++
	a.runner.Announce(work.Announcement{
		ID: "i-" + a.name, StartedAtMS: a.worker.Born(), Sequence: a.seq, Service: "s", Domain: "d-" + a.name, Rack: "r1-1", State: state,
		Remaining: remaining, Capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8},
	})
}

// submit records a job.
func (w *world) submit(id string, steps ...work.Step) *work.Job {
	j := &work.Job{ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: steps}
	return w.record(j)
}

func (w *world) record(j *work.Job) *work.Job {
	value, err := jobstore.EncodeJob(j)
	require.NoError(w.t, err)
	_, _, err = w.store.View("operator").Commit(context.Background(), rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.JobKey(j.ID)}},
		Writes: []rosemarysill.Write{{Key: jobstore.JobKey(j.ID), Value: value}},
	})
	require.NoError(w.t, err)
	return j
}

// state returns what the entries show of a job.
func (w *world) state(id string) work.State {
	for _, e := range w.entries {
		if got, ok := e.copy.Job(id); ok {
			return got.State()
		}
	}
	return ""
}

// reaches waits until a job has a state. The limit is far above what the
// mechanisms need, so that a loaded machine does not fail the test.
func (w *world) reaches(id string, want work.State) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.state(id) == want }, 40*time.Second, 10*time.Millisecond, "job %s is %q, want %q", id, w.state(id), want)
}

// leads waits for a leader and returns its name.
func (w *world) leads() string {
	w.t.Helper()
	var name string
	require.Eventually(w.t, func() bool {
		for _, e := range w.entries {
			if rec, at := e.copy.LeaderRecord(); at != 0 {
				name = rec.Name
				return w.entries[name] != nil
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
	return name
}

func (w *world) sound() {
	w.t.Helper()
	require.Empty(w.t, w.steps.Breaches())
}

// step returns a step of tasks that run for a while.
func step(count int, d time.Duration) work.Step {
	return work.Step{Count: count, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}, Estimate: d}
}
