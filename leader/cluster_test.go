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

// fakeDeclarations holds declarations that a test can change.
type fakeDeclarations struct {
	mu  sync.Mutex
	out map[string]bool
	cfg queue.Configuration

	waves map[string]operators.Wave
}

func (d *fakeDeclarations) Configuration() *queue.Configuration { return &d.cfg }

func (d *fakeDeclarations) Waves() map[string]operators.Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.waves)
}

func (d *fakeDeclarations) FreshAsOf() time.Time { return uptime.Now() }

func (d *fakeDeclarations) DomainOut(domain string) bool {
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

// entry is an entry of the election with the server of its streams.
type entry struct {
	process
	cache  *jobstore.Cache
	leader *leader.Leader
}

// agent is the agent of a worker.
type agent struct {
	process
	runner *runner.Runner
	worker *standin.StepWorker
	name   string
	seq    uint64

	capacity work.Shape // announced
	rack     string     // announced
}

// cluster is a set of entries and agents with stand-ins for the store and the workers.
type cluster struct {
	t            *testing.T
	store        *standin.Transactions
	steps        *standin.Steps
	declarations *fakeDeclarations
	entries      map[string]*entry
	agents       map[string]*agent

	adviser         *fakeAdviser  // of entries that are added later
	machines        *fakeMachines // of entries that are added later
	cores           float64       // of entries that are added later
	rack            string        // of agents that are added later
	statusRetention time.Duration // of entries that are added later
}

func newCluster(t *testing.T, entries, agents int) *cluster {
	c := &cluster{
		t: t, store: standin.NewTransactions(), steps: standin.NewSteps(),
		declarations: &fakeDeclarations{out: make(map[string]bool)}, entries: make(map[string]*entry), agents: make(map[string]*agent),
		statusRetention: time.Minute, rack: "r1-1",
	}
	for i := range entries {
		c.addEntry(fmt.Sprintf("entry%d", i))
	}
	for i := range agents {
		name := fmt.Sprintf("agent%d", i)
		c.addAgent(name, c.steps.Add("i-"+name))
	}
	t.Cleanup(func() {
		for _, a := range c.agents {
			a.kill()
		}
		for _, e := range c.entries {
			e.kill()
		}
	})
	return c
}

func (c *cluster) addEntry(name string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	view := c.store.View(name)
	e := &entry{process: process{cancel, make(chan struct{})}, cache: jobstore.NewCache(view, zerolog.Nop())}
	cfg := leader.Config{
		Name: name, Address: netip.MustParseAddrPort(l.Addr().String()), Cores: c.cores, Store: view, Cache: e.cache, Declarations: c.declarations,
		StatusRetention: c.statusRetention, StopGrace: 50 * time.Millisecond, GangWait: 3 * time.Second, Log: zerolog.Nop(),
		EncodeWaveStatus: func(id string, completed bool) (string, []byte) {
			if completed {
				return "status/" + id, []byte("completed")
			}
			return "status/" + id, []byte("running")
		},
	}
	if c.adviser != nil {
		cfg.Adviser = c.adviser
	}
	if c.machines != nil {
		cfg.Machines = c.machines
	}
	elector := leader.New(cfg)
	e.leader = elector
	server := grpc.NewServer()
	control.Register(server, elector)
	go func() {
		defer close(e.done)
		var wg sync.WaitGroup
		wg.Go(func() { e.cache.Run(ctx) })
		wg.Go(func() {
			jobstore.KeepRegistered(ctx, view, jobstore.LeaderRecord{Name: name, Address: cfg.Address, Cores: cfg.Cores}, func(error) {})
		})
		wg.Go(func() { elector.Run(ctx) })
		wg.Go(func() { _ = server.Serve(l) }) // it ends with Stop
		<-ctx.Done()
		server.Stop()
		wg.Wait()
	}()
	c.entries[name] = e
}

// crash ends an entry that cannot release its lease.
func (c *cluster) crash(name string) {
	c.store.SetFault(name, standin.Refusing)
	c.entries[name].kill()
	delete(c.entries, name)
}

func (c *cluster) addAgent(name string, worker *standin.StepWorker) {
	c.addAgentWith(name, worker, worker)
}

// addAgentWith adds an agent that calls its worker through a runtime.
func (c *cluster) addAgentWith(name string, worker *standin.StepWorker, runtime work.Runtime) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{process: process{cancel, make(chan struct{})}, worker: worker, name: name, rack: c.rack, capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}}
	a.runner = runner.New(runner.Config{
		Name: name, Store: c.store.View(name), Runtime: runtime, Log: zerolog.Nop(),
		Register: func(work.Registrar) http.Handler { return http.NotFoundHandler() },
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(c.t, err)
	go func() {
		defer close(a.done)
		_ = a.runner.Run(ctx, l) // it ends with ctx
	}()
	c.agents[name] = a
	c.announce(a, work.WorkerReady, 0)
}

// announce sends a status report of the worker to its agent.
func (c *cluster) announce(a *agent, state work.WorkerState, remaining time.Duration) {
	a.seq++
	a.runner.Announce(work.Announcement{
		ID: "i-" + a.name, StartedAtMS: a.worker.Born(), Sequence: a.seq, Service: "s", Domain: "d-" + a.name, Rack: a.rack, State: state,
		Remaining: remaining, Capacity: a.capacity,
	})
}

// setCapacity changes the capacity of a worker. Starts that the worker gets while its
// agent takes the report of a smaller one are not breaches.
func (c *cluster) setCapacity(a *agent, accelerators int64) {
	a.capacity = work.Shape{MilliCPU: 1000 * accelerators, MemoryMB: 1000 * accelerators, Accelerators: accelerators}
	c.announce(a, work.WorkerReady, 0)
	time.Sleep(50 * time.Millisecond) // calls of the stand-in take less
	a.worker.SetCapacity(a.capacity)
}

// submit records a job with the given steps.
func (c *cluster) submit(id string, steps ...work.Step) *work.Job {
	j := &work.Job{ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: steps}
	return c.submitJob(j)
}

func (c *cluster) submitJob(j *work.Job) *work.Job {
	value, err := jobstore.EncodeJob(j)
	require.NoError(c.t, err)
	_, _, err = c.store.View("operator").Commit(context.Background(), rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.JobKey(j.ID)}},
		Writes: []rosemarysill.Write{{Key: jobstore.JobKey(j.ID), Value: value}},
	})
	require.NoError(c.t, err)
	return j
}

// state returns the state of a job that an entry shows.
func (c *cluster) state(id string) work.State {
	for _, e := range c.entries {
		if got, ok := e.cache.Job(id); ok {
			return got.State()
		}
	}
	return ""
}

// awaitState waits until a job has a state. The timeout is far above the expected time,
// so that the test also passes on a loaded machine.
func (c *cluster) awaitState(id string, want work.State) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.state(id) == want }, 40*time.Second, 10*time.Millisecond, "job %s is %q, want %q", id, c.state(id), want)
}

// awaitLeader waits for a leader and returns its name.
func (c *cluster) awaitLeader() string {
	c.t.Helper()
	var name string
	require.Eventually(c.t, func() bool {
		for _, e := range c.entries {
			if rec, at := e.cache.LeaderRecord(); at != 0 {
				name = rec.Name
				return c.entries[name] != nil
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
	return name
}

// requireNoBreaches requires that tasks ran once at a time and not after they were done.
func (c *cluster) requireNoBreaches() {
	c.t.Helper()
	require.Empty(c.t, c.steps.Breaches())
}

// step returns a step of tasks with an estimated duration.
func step(count int, d time.Duration) work.Step {
	return work.Step{Count: count, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}, Estimate: d}
}
