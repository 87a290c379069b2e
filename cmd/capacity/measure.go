package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/caller"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/standin"
)

// row is the measurement for one number of agents.
type row struct {
	agents, tasks int
	idle, busy    processLoad    // of the entry that is the placer, without and with tasks
	store         storeCallRates // with running tasks, no change in progress
	configDelay   time.Duration  // from a configuration change until all agents have applied it
	takeover      time.Duration  // from the kill of the placer until another entry is the placer
	afterKill     storeCallRates // in the window after the kill
	idleAgent     processLoad    // of one agent in its own process, without tasks
	busyAgent     processLoad    // of that agent with its share of the tasks
}

// processLoad is the resource usage of one process.
type processLoad struct {
	cpuShare       float64 // share of one core
	residentBytes  int64
	bytesPerSecond float64 // TCP payload in both directions between an entry and all agents
}

// storeCallRates is the number of store calls per minute by kind.
type storeCallRates map[string]float64

// waitTimeout bounds each wait for a condition.
const waitTimeout = 3 * time.Minute

// benchmark is one deployment under measurement.
type benchmark struct {
	options       options
	dir           string
	store         *standin.Store
	httpAddresses []netip.AddrPort
	grpcAddresses []netip.AddrPort
	entries       []*process
	agents        *agents
	operator      *operator.Client
	caller        *caller.Client
}

// firstPort and portCount are the range that freePort searches. It lies below the
// system's ephemeral ports, so that no outgoing connection takes a port between its
// choice and its use.
const (
	firstPort = 12000
	portCount = 8000
)

var nextPort = os.Getpid() % portCount

// freePort returns a loopback address with a port that was free when checked.
func freePort() (netip.AddrPort, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
		}
	}
	return netip.AddrPort{}, errors.Newf("no free loopback port in %d to %d", firstPort, firstPort+portCount-1)
}

func measure(ctx context.Context, o options, n int) (row, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return row{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &benchmark{options: o, dir: dir, store: standin.NewStore(standin.StoreOptions{}), agents: newAgents()}
	server, err := standin.Serve(netip.AddrPort{}, b.store)
	if err != nil {
		return row{}, err
	}
	defer server.Stop()
	if err := b.start(server.Address(), n); err != nil {
		return row{}, err
	}
	defer b.close()
	return b.run(ctx, n)
}

func (b *benchmark) start(store netip.AddrPort, n int) error {
	for range b.options.Entries {
		h, err := freePort()
		if err != nil {
			return err
		}
		g, err := freePort()
		if err != nil {
			return err
		}
		b.httpAddresses, b.grpcAddresses = append(b.httpAddresses, h), append(b.grpcAddresses, g)
	}
	for i := range b.options.Entries {
		p, err := startEntry(b.options.Program, b.dir, fmt.Sprintf("entry-%d", i), b.httpAddresses[i], b.grpcAddresses[i], store, b.grpcAddresses)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, p)
	}
	for i := range n {
		if err := b.agents.add(i, b.grpcAddresses); err != nil {
			return err
		}
	}
	b.operator, b.caller = operator.NewClient(b.httpAddresses), caller.NewClient(b.httpAddresses)
	return nil
}

func (b *benchmark) close() {
	for _, p := range b.entries {
		p.kill()
	}
	b.agents.close()
	b.operator.Close()
	b.caller.Close()
}

// retryUntilTimeout repeats f until it succeeds, for at most waitTimeout, and
// returns its last error.
func retryUntilTimeout(ctx context.Context, f func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// applyIntent plans and confirms an intent and returns the resulting revision.
func (b *benchmark) applyIntent(ctx context.Context, intent rosemarysill.Intent) (uint64, error) {
	var revision uint64
	err := retryUntilTimeout(ctx, func() error {
		p, err := b.operator.Plan(ctx, intent)
		if err != nil {
			return err
		}
		c, err := b.operator.Confirm(ctx, p.ID)
		if err == nil && c.Code != rosemarysill.Done {
			err = rosemarysill.NewError(c.Code, "%s", c.Detail)
		}
		revision = c.Revision
		return err
	})
	return revision, err
}

// status returns the status that the entry with index i reports.
func (b *benchmark) status(ctx context.Context, i int) (rosemarysill.Status, error) {
	c := operator.NewClient(b.httpAddresses[i : i+1])
	defer c.Close()
	return c.Status(ctx)
}

// waitForRevision waits until n agents have applied the revision.
func (b *benchmark) waitForRevision(ctx context.Context, n int, revision uint64) error {
	return retryUntilTimeout(ctx, func() error {
		s, err := b.status(ctx, len(b.httpAddresses)-1)
		if err == nil && (s.Revision < revision || s.AgentsAtRevision < n) {
			err = errors.Newf("%d of %d agents have revision %d, want %d", s.AgentsAtRevision, n, s.Revision, revision)
		}
		return err
	})
}

// findPlacer waits until an entry is the placer and returns its index. It does not
// ask the entry with index skip.
func (b *benchmark) findPlacer(ctx context.Context, skip int) (int, error) {
	found := -1
	err := retryUntilTimeout(ctx, func() error {
		for i := range b.entries {
			if i == skip {
				continue
			}
			if s, err := b.status(ctx, i); err == nil && s.IsPlacer {
				found = i
				return nil
			}
		}
		return errors.Newf("none of %d entries reports that it is the placer", len(b.entries))
	})
	return found, err
}

func (b *benchmark) run(ctx context.Context, n int) (row, error) {
	r := row{agents: n}
	intent := rosemarysill.Intent{Kind: rosemarysill.Declare}
	for i := range 91 {
		intent.Accounts = append(intent.Accounts, rosemarysill.Account{Name: fmt.Sprintf("account-%02d", i)})
	}
	for i := range domainCount {
		intent.Domains = append(intent.Domains, rosemarysill.Domain{Name: domainName(i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	revision, err := b.applyIntent(ctx, intent)
	if err != nil {
		return r, errors.Wrap(err, "declare")
	}
	if err := b.waitForRevision(ctx, n, revision); err != nil {
		return r, err
	}
	placer, err := b.findPlacer(ctx, -1)
	if err != nil {
		return r, err
	}
	agentProcess, stop, err := b.startMeasuredAgent()
	if err != nil {
		return r, err
	}
	defer stop()
	if err := b.waitForRevision(ctx, n+1, revision); err != nil {
		return r, err
	}
	loads, _, err := b.measureProcesses(b.entries[placer], agentProcess)
	if err != nil {
		return r, err
	}
	r.idle, r.idleAgent = loads[0], loads[1]
	if err := b.submitJobs(ctx, n); err != nil {
		return r, errors.Wrap(err, "tasks")
	}
	r.tasks = int(b.options.Tasks * float64(n))
	if loads, r.store, err = b.measureProcesses(b.entries[placer], agentProcess); err != nil {
		return r, err
	}
	r.busy, r.busyAgent = loads[0], loads[1]
	startTime := time.Now()
	revision, err = b.applyIntent(ctx, rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "account-new"}}})
	if err != nil {
		return r, errors.Wrap(err, "change")
	}
	if err := b.waitForRevision(ctx, n, revision); err != nil {
		return r, err
	}
	r.configDelay = time.Since(startTime)
	if len(b.entries) < 2 {
		return r, nil
	}
	startTime = time.Now()
	before := b.store.Counters().Calls
	b.entries[placer].kill()
	if _, err := b.findPlacer(ctx, placer); err != nil {
		return r, err
	}
	r.takeover = time.Since(startTime)
	time.Sleep(time.Until(startTime.Add(b.options.Window)))
	r.afterKill = perMinute(before, b.store.Counters().Calls, time.Since(startTime))
	return r, nil
}

// measureProcesses measures processes and store calls over one window. The traffic
// of each load is the average of one entry.
func (b *benchmark) measureProcesses(processes ...*process) ([]processLoad, storeCallRates, error) {
	before := make([]time.Duration, len(processes))
	for i, p := range processes {
		var err error
		if before[i], err = p.cpuTime(); err != nil {
			return nil, nil, err
		}
	}
	startTime, callsBefore := time.Now(), b.store.Counters().Calls
	traffic := b.agents.traffic.sent.Load() + b.agents.traffic.received.Load()
	time.Sleep(b.options.Window)
	elapsed := time.Since(startTime)
	traffic = b.agents.traffic.sent.Load() + b.agents.traffic.received.Load() - traffic
	var loads []processLoad
	for i, p := range processes {
		after, err := p.cpuTime()
		if err != nil {
			return nil, nil, err
		}
		resident, err := p.residentBytes()
		if err != nil {
			return nil, nil, err
		}
		loads = append(loads, processLoad{
			cpuShare: (after - before[i]).Seconds() / elapsed.Seconds(), residentBytes: resident,
			// All entries receive the same heartbeats.
			bytesPerSecond: float64(traffic) / elapsed.Seconds() / float64(len(b.entries)),
		})
	}
	return loads, perMinute(callsBefore, b.store.Counters().Calls, elapsed), nil
}

func perMinute(before, after map[string]int, d time.Duration) storeCallRates {
	rates := storeCallRates{}
	for kind, n := range after {
		if n > before[kind] {
			rates[kind] = float64(n-before[kind]) / d.Minutes()
		}
	}
	return rates
}

// startMeasuredAgent starts a worker's agent in a process of its own.
func (b *benchmark) startMeasuredAgent() (*process, func(), error) {
	server, err := standin.Serve(netip.AddrPort{}, standin.NewRuntime(standin.RuntimeOptions{Name: "measured"}))
	if err != nil {
		return nil, nil, err
	}
	listen, err := freePort()
	if err != nil {
		return nil, nil, err
	}
	p, err := startAgent(b.options.Program, b.dir, "measured", listen, server.Address(), b.grpcAddresses)
	if err != nil {
		return nil, nil, err
	}
	return p, func() { p.kill(); server.Stop() }, nil
}

// submitJobs submits gang jobs of 8 tasks without accelerators, as many as n agents
// need for the requested number of tasks, and waits until all of them run.
func (b *benchmark) submitJobs(ctx context.Context, n int) error {
	const gangSize = 8
	jobs := int(b.options.Tasks * float64(n) / gangSize)
	for i := range jobs {
		spec := rosemarysill.JobSpec{
			ID: uuid.Must(uuid.NewV7()), Account: fmt.Sprintf("account-%02d", i%91), Class: rosemarysill.Normal, Idempotent: true,
			Shape:           rosemarysill.Shape{Members: gangSize, Processors: 1, MemoryMB: 64},
			DeclaredSeconds: 3600, Body: []byte(`{"RunSeconds":36000}`),
		}
		if err := retryUntilTimeout(ctx, func() error { _, err := b.caller.Submit(ctx, spec); return err }); err != nil {
			return err
		}
	}
	return retryUntilTimeout(ctx, func() error {
		s, err := b.operator.Status(ctx)
		if err == nil && s.Jobs[rosemarysill.JobRunning] < jobs {
			err = errors.Newf("jobs by state are %v, want %d running", s.Jobs, jobs)
		}
		return err
	})
}
