package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/caller"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/standin"
)

// waitTimeout bounds each wait for a state of the deployment.
const waitTimeout = 20 * time.Second

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rosemarysill")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "rosemarysill")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// process is a running process of the rosemarysill program.
type process struct {
	cmd    *exec.Cmd
	log    *bytes.Buffer
	exited chan error
}

// startProcess starts the program and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	path, err := buildProgram()
	require.NoError(t, err)
	p := &process{cmd: exec.Command(path, args...), log: &bytes.Buffer{}, exited: make(chan error, 1)}
	p.cmd.Stderr = p.log
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		for range p.exited { // the log is complete once the process has exited
		}
		if t.Failed() {
			t.Logf("%v:\n%s", args, p.log)
		}
	})
	return p
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Kill())
	<-p.exited
}

// terminate sends SIGTERM and waits for the graceful shutdown.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.exited:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "process did not exit after SIGTERM", p.log.String())
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	a, err := standin.FreeAddress()
	require.NoError(t, err)
	return a
}

// deployment is a small deployment of separate processes. The store, upstreams and
// runtimes are stand-ins in the process of the test.
type deployment struct {
	t         *testing.T
	scale     float64
	store     *standin.Store
	storeAddr netip.AddrPort
	http      []netip.AddrPort
	grpc      []netip.AddrPort
	entries   []*process
	agents    map[string]*process
	upstreams map[string]*standin.Upstream
	runtimes  map[string]*standin.Runtime
	calls     *standin.CallJournal
	tasks     *standin.TaskJournal
	caller    *caller.Client
	operator  *operator.Client
}

// scale is the factor of the protocol timings. Shorter timings shorten the tests.
const scale = 0.25

var domains = []string{"Bizerte", "Tunis", "Nabeul", "Sousse"}

func newDeployment(t *testing.T, entries, upstreams, workers int) *deployment {
	t.Helper()
	return newDeploymentAt(t, scale, entries, upstreams, workers)
}

// newDeploymentAt starts a deployment whose protocol timings are scaled by a factor.
func newDeploymentAt(t *testing.T, scale float64, entries, upstreams, workers int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, scale: scale, store: standin.NewStore(standin.StoreOptions{}), agents: map[string]*process{},
		upstreams: map[string]*standin.Upstream{}, runtimes: map[string]*standin.Runtime{},
		calls: standin.NewCallJournal(), tasks: standin.NewTaskJournal(),
	}
	server, err := standin.Serve(netip.AddrPort{}, d.store)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	d.storeAddr = server.Address()
	for range entries {
		d.http, d.grpc = append(d.http, freeAddress(t)), append(d.grpc, freeAddress(t))
	}
	for i := range entries {
		d.entries = append(d.entries, d.startEntry(i))
	}
	d.caller, d.operator = caller.NewClient(d.http), operator.NewClient(d.http)
	t.Cleanup(d.caller.Close)
	t.Cleanup(d.operator.Close)
	for i := range upstreams {
		d.startUpstream(fmt.Sprintf("upstream-%d", i), domains[i%len(domains)])
	}
	for i := range workers {
		d.startWorker(fmt.Sprintf("worker-%d", i), domains[i%len(domains)], fmt.Sprintf("rack-%d", i/12))
	}
	return d
}

// writeSettings writes a settings file into a temporary directory of the test.
func (d *deployment) writeSettings(name string, lines ...string) string {
	d.t.Helper()
	t := rosemarysill.DefaultTimings().Scaled(d.scale)
	lines = append(lines, "Log:", "  Level: info", "Timings:")
	for key, value := range map[string]time.Duration{
		"BeatEvery": t.BeatEvery, "FreshFor": t.FreshFor, "StoreFresh": t.StoreFresh, "ConfirmEvery": t.ConfirmEvery,
		"ConfirmFresh": t.ConfirmFresh, "OutageGrace": t.OutageGrace, "Margin": t.Margin, "MemberFresh": t.MemberFresh,
		"ReserveFor": t.ReserveFor, "GangLease": t.GangLease, "PlacerLease": t.PlacerLease,
	} {
		lines = append(lines, fmt.Sprintf("  %s: %s", key, value))
	}
	path := filepath.Join(d.t.TempDir(), name+".yaml")
	require.NoError(d.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

func yamlList(addresses []netip.AddrPort) string {
	var out []string
	for _, a := range addresses {
		out = append(out, fmt.Sprintf("%q", a))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

func (d *deployment) startEntry(i int) *process {
	peers := slices.Delete(slices.Clone(d.grpc), i, i+1)
	path := d.writeSettings(fmt.Sprintf("entry-%d", i),
		fmt.Sprintf("Name: entry-%d", i), "Domain: "+domains[i%len(domains)],
		fmt.Sprintf("Listen: {HTTP: %q, GRPC: %q}", d.http[i], d.grpc[i]),
		fmt.Sprintf("Store: %q", d.storeAddr), "Peers: "+yamlList(peers), "Limits: {StoreTimeout: 200ms}")
	return startProcess(d.t, "entry", path)
}

func (d *deployment) startAgent(name, kind, domain, rack, capacity string, backEnd netip.AddrPort) {
	lines := []string{
		"Name: " + name, "Kind: " + kind, "Domain: " + domain, fmt.Sprintf("Listen: %q", freeAddress(d.t)),
		"Entries: " + yamlList(d.grpc), fmt.Sprintf("BackEnd: %q", backEnd), "Capacity: " + capacity,
	}
	if rack != "" {
		lines = append(lines, "Rack: "+rack)
	}
	d.agents[name] = startProcess(d.t, "agent", d.writeSettings(name, lines...))
}

func (d *deployment) startUpstream(name, domain string) {
	u := standin.NewUpstream(standin.UpstreamOptions{Name: name, Journal: d.calls})
	server, err := standin.Serve(netip.AddrPort{}, u)
	require.NoError(d.t, err)
	d.t.Cleanup(server.Stop)
	d.upstreams[name] = u
	d.startAgent(name, "Upstream", domain, "", "{Slots: 8}", server.Address())
}

func (d *deployment) startWorker(name, domain, rack string) {
	r := standin.NewRuntime(standin.RuntimeOptions{Name: name, Journal: d.tasks})
	server, err := standin.Serve(netip.AddrPort{}, r)
	require.NoError(d.t, err)
	d.t.Cleanup(server.Stop)
	d.runtimes[name] = r
	d.startAgent(name, "Worker", domain, rack, "{Accelerators: 8, Processors: 64, MemoryMB: 131072}", server.Address())
}

// eventually calls f until it succeeds, and fails the test after waitTimeout.
func (d *deployment) eventually(condition string, f func() error) {
	d.t.Helper()
	var last error
	require.Eventually(d.t, func() bool { last = f(); return last == nil }, waitTimeout, 50*time.Millisecond,
		"%s: %v", condition, &last)
}

// declareConfiguration declares the client accounts and failure domains of the tests.
func (d *deployment) declareConfiguration() {
	d.t.Helper()
	in := rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "Bizerte Arcades"}, {Name: "Sfax Flippers"}}}
	for _, name := range domains {
		in.Domains = append(in.Domains, rosemarysill.Domain{Name: name, Region: "Tunisia"})
	}
	d.applyIntent(in)
}

// applyIntent requests a plan for an intent and confirms it.
func (d *deployment) applyIntent(in rosemarysill.Intent) {
	d.t.Helper()
	d.eventually("change", func() error {
		p, err := d.operator.Plan(context.Background(), in)
		if err != nil {
			return err
		}
		c, err := d.operator.Confirm(context.Background(), p.ID)
		if err == nil && c.Code != rosemarysill.Done {
			err = rosemarysill.NewError(c.Code, "%s", c.Detail)
		}
		return err
	})
}

// waitReady waits until all entries are established and the given number of agents
// has the configuration. A joining entry rejects requests that need the store.
func (d *deployment) waitReady(agents int) {
	d.t.Helper()
	for i := range d.http {
		c := operator.NewClient(d.http[i : i+1])
		d.eventually("agents", func() error {
			s, err := c.Status(context.Background())
			if err == nil && s.Entry.State != rosemarysill.Established {
				err = fmt.Errorf("entry %s is %s", s.Entry.Name, s.Entry.State)
			}
			if err == nil && (s.Revision == 0 || s.AgentsAtRevision < agents) {
				err = fmt.Errorf("%d agents have revision %d, agents with an older one: %v", s.AgentsAtRevision, s.Revision, s.AgentsBehind)
			}
			return err
		})
		c.Close()
	}
}

func newCall(body standin.CallBody) rosemarysill.Call {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return rosemarysill.Call{
		ID: uuid.Must(uuid.NewV7()), Account: "Bizerte Arcades", Class: rosemarysill.Urgent, Idempotent: true,
		Deadline: time.Now().Add(20 * time.Second), Body: data,
	}
}

func newJob(members, accelerators int, body string) rosemarysill.JobSpec {
	return rosemarysill.JobSpec{
		ID: uuid.Must(uuid.NewV7()), Account: "Sfax Flippers", Class: rosemarysill.Normal, Idempotent: true,
		Shape:           rosemarysill.Shape{Members: members, Accelerators: accelerators, Processors: 1, MemoryMB: 64},
		DeclaredSeconds: 1, Body: []byte(body),
	}
}

// waitFinished waits until a job is in a final state.
func (d *deployment) waitFinished(id uuid.UUID) rosemarysill.Job {
	d.t.Helper()
	var job rosemarysill.Job
	d.eventually("job "+id.String(), func() error {
		var err error
		job, err = d.caller.Job(context.Background(), id)
		if err == nil && !job.State.Final() {
			err = fmt.Errorf("state %s attempt %d: %s", job.State, job.Attempt, job.Detail)
		}
		return err
	})
	return job
}

// TestCallAndGangEndToEnd guards against a failure anywhere on the path of a
// request through separate processes.
func TestCallAndGangEndToEnd(t *testing.T) {
	d := newDeployment(t, 2, 2, 3)
	d.declareConfiguration()
	d.waitReady(5)

	call := newCall(standin.CallBody{})
	answer := d.caller.Call(context.Background(), call)
	require.Equal(t, rosemarysill.Done, answer.Code, answer.Detail)
	require.Equal(t, 1, d.calls.RunsOf(call.ID))

	spec := newJob(3, 4, `{"RunSeconds":0.2,"Result":"flippers: 12"}`)
	_, err := d.caller.Submit(context.Background(), spec)
	require.NoError(t, err)
	job := d.waitFinished(spec.ID)
	require.Equal(t, rosemarysill.JobDone, job.State, job.Detail)
	require.Equal(t, "flippers: 12", string(job.Result))
	require.Len(t, d.tasks.Spans(), 3)
}

// TestWorkContinuesAfterEntryKilled guards against work that stops or runs twice
// when the placing entry is killed. The other entry must continue calls and gangs.
func TestWorkContinuesAfterEntryKilled(t *testing.T) {
	d := newDeployment(t, 2, 2, 3)
	d.declareConfiguration()
	d.waitReady(5)
	var specs []rosemarysill.JobSpec
	for range 6 {
		spec := newJob(3, 2, `{"RunSeconds":1,"Result":"reconciled"}`)
		_, err := d.caller.Submit(context.Background(), spec)
		require.NoError(t, err)
		specs = append(specs, spec)
	}
	d.entries[d.placerIndex()].kill(t)

	call := newCall(standin.CallBody{})
	answer := d.caller.Call(context.Background(), call)
	require.Equal(t, rosemarysill.Done, answer.Code, answer.Detail)
	for _, spec := range specs {
		require.Equal(t, rosemarysill.JobDone, d.waitFinished(spec.ID).State)
	}
	require.Empty(t, d.tasks.StartedTwice())
	require.Empty(t, d.tasks.Overlapping())
}

// placerIndex returns the index of the entry that places jobs.
func (d *deployment) placerIndex() int {
	d.t.Helper()
	placer := -1
	d.eventually("placing entry", func() error {
		for i := range d.http {
			c := operator.NewClient(d.http[i : i+1])
			s, err := c.Status(context.Background())
			c.Close()
			if err == nil && s.IsPlacer {
				placer = i
				return nil
			}
		}
		return fmt.Errorf("no entry is the placer")
	})
	return placer
}

// TestGracefulShutdownFinishesRequests guards against a graceful shutdown that
// interrupts a request in progress: the agent of an upstream and an entry shut down
// while calls run. The timings are not scaled: with a StoreFresh of 0.75 s both entries
// can briefly lose their authority on a busy machine and reject a call as not run.
func TestGracefulShutdownFinishesRequests(t *testing.T) {
	d := newDeploymentAt(t, 1, 2, 2, 0)
	d.declareConfiguration()
	d.waitReady(2)
	results := make(chan rosemarysill.Answer, 64)
	var calls sync.WaitGroup
	send := func(n int) {
		for range n {
			calls.Go(func() { results <- d.caller.Call(context.Background(), newCall(standin.CallBody{Seconds: 0.3})) })
		}
	}
	send(12)
	d.eventually("calls in progress", func() error {
		if d.upstreams["upstream-0"].Busy() == 0 {
			return fmt.Errorf("upstream-0 runs no call")
		}
		return nil
	})
	d.agents["upstream-0"].terminate(t)
	send(12)
	d.entries[0].terminate(t)
	send(12)
	calls.Wait()
	close(results)
	n := 0
	for a := range results {
		require.Equal(t, rosemarysill.Done, a.Code, a.Detail)
		require.Equal(t, 1, d.calls.RunsOf(a.ID))
		n++
	}
	require.Equal(t, 36, n)
}
