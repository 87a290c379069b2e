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

// row is what one number of agents costs.
type row struct {
	agents, tasks int
	idle, busy    load          // of the entry that places, without and with tasks
	store         storeLoad     // at rest, with tasks
	change        time.Duration // until a change was in force at all agents
	takeover      time.Duration // until another entry placed after a kill
	afterKill     storeLoad     // in the minute after the kill
	idleAgent     load          // of one agent process without tasks
	busyAgent     load          // of the same with its share of the tasks
}

// load is what one process spends.
type load struct {
	core     float64 // share of one core
	resident int64   // bytes
	bytes    float64 // TCP payload a second, both directions, with all agents
}

// storeLoad is calls at the store by kind, a minute.
type storeLoad map[string]float64

// patience bounds the waits.
const patience = 3 * time.Minute

// bench is one deployment under measurement.
type bench struct {
	o        options
	dir      string
	store    *standin.Store
	http     []netip.AddrPort
	grpc     []netip.AddrPort
	entries  []*program
	agents   *agents
	operator *operator.Client
	caller   *caller.Client
}

// firstPort and ports are the range in which freePort looks. It lies below the
// system's range for outgoing connections, one of which could take a port
// between the choice and its use.
const (
	firstPort = 12000
	ports     = 8000
)

var nextPort = os.Getpid() % ports

// freePort returns a loopback address that was free a moment ago.
func freePort() (netip.AddrPort, error) {
	for range ports {
		nextPort = (nextPort + 1) % ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			return l.Addr().(*net.TCPAddr).AddrPort(), l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

func measure(ctx context.Context, o options, n int) (row, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return row{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{o: o, dir: dir, store: standin.NewStore(standin.StoreOptions{}), agents: newAgents()}
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

func (b *bench) start(store netip.AddrPort, n int) error {
	for range b.o.Entries {
		h, err := freePort()
		if err != nil {
			return err
		}
		g, err := freePort()
		if err != nil {
			return err
		}
		b.http, b.grpc = append(b.http, h), append(b.grpc, g)
	}
	for i := range b.o.Entries {
		p, err := startEntry(b.o.Program, b.dir, fmt.Sprintf("entry-%d", i), b.http[i], b.grpc[i], store, b.grpc)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, p)
	}
	for i := range n {
		if err := b.agents.add(i, b.grpc); err != nil {
			return err
		}
	}
	b.operator, b.caller = operator.NewClient(b.http), caller.NewClient(b.http)
	return nil
}

func (b *bench) close() {
	for _, p := range b.entries {
		p.kill()
	}
	b.agents.close()
	b.operator.Close()
	b.caller.Close()
}

// until repeats f until it succeeds.
func until(ctx context.Context, f func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// change plans and confirms an intent and returns the revision that it made.
func (b *bench) change(ctx context.Context, in rosemarysill.Intent) (uint64, error) {
	var revision uint64
	err := until(ctx, func() error {
		p, err := b.operator.Plan(ctx, in)
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

// status asks one entry.
func (b *bench) status(ctx context.Context, i int) (rosemarysill.Status, error) {
	c := operator.NewClient(b.http[i : i+1])
	defer c.Close()
	return c.Status(ctx)
}

// inForce waits until the revision is in force at n agents.
func (b *bench) inForce(ctx context.Context, n int, revision uint64) error {
	return until(ctx, func() error {
		s, err := b.status(ctx, len(b.http)-1)
		if err == nil && (s.Revision < revision || s.AgentsAtRevision < n) {
			err = errors.Newf("%d of %d agents have revision %d", s.AgentsAtRevision, n, s.Revision)
		}
		return err
	})
}

// placing returns the entry that places.
func (b *bench) placing(ctx context.Context, skip int) (int, error) {
	found := -1
	err := until(ctx, func() error {
		for i := range b.entries {
			if i == skip {
				continue
			}
			if s, err := b.status(ctx, i); err == nil && s.IsPlacer {
				found = i
				return nil
			}
		}
		return errors.New("no entry places")
	})
	return found, err
}

func (b *bench) run(ctx context.Context, n int) (row, error) {
	r := row{agents: n}
	in := rosemarysill.Intent{Kind: rosemarysill.Declare}
	for i := range 91 {
		in.Accounts = append(in.Accounts, rosemarysill.Account{Name: fmt.Sprintf("account-%02d", i)})
	}
	for i := range domains {
		in.Domains = append(in.Domains, rosemarysill.Domain{Name: domainName(i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	revision, err := b.change(ctx, in)
	if err != nil {
		return r, errors.Wrap(err, "declare")
	}
	if err := b.inForce(ctx, n, revision); err != nil {
		return r, err
	}
	at, err := b.placing(ctx, -1)
	if err != nil {
		return r, err
	}
	one, stop, err := b.oneAgent()
	if err != nil {
		return r, err
	}
	defer stop()
	if err := b.inForce(ctx, n+1, revision); err != nil {
		return r, err
	}
	loads, _, err := b.window(b.entries[at], one)
	if err != nil {
		return r, err
	}
	r.idle, r.idleAgent = loads[0], loads[1]
	if err := b.fill(ctx, n); err != nil {
		return r, errors.Wrap(err, "tasks")
	}
	r.tasks = int(b.o.Tasks * float64(n))
	if loads, r.store, err = b.window(b.entries[at], one); err != nil {
		return r, err
	}
	r.busy, r.busyAgent = loads[0], loads[1]
	began := time.Now()
	revision, err = b.change(ctx, rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "account-new"}}})
	if err != nil {
		return r, errors.Wrap(err, "change")
	}
	if err := b.inForce(ctx, n, revision); err != nil {
		return r, err
	}
	r.change = time.Since(began)
	if len(b.entries) < 2 {
		return r, nil
	}
	began = time.Now()
	before := b.store.Counters().Calls
	b.entries[at].kill()
	if _, err := b.placing(ctx, at); err != nil {
		return r, err
	}
	r.takeover = time.Since(began)
	time.Sleep(time.Until(began.Add(b.o.Window)))
	r.afterKill = perMinute(before, b.store.Counters().Calls, time.Since(began))
	return r, nil
}

// window measures processes for a while. The bytes are those of one entry.
func (b *bench) window(programs ...*program) ([]load, storeLoad, error) {
	before := make([]time.Duration, len(programs))
	for i, p := range programs {
		var err error
		if before[i], err = p.cpu(); err != nil {
			return nil, nil, err
		}
	}
	began, calls := time.Now(), b.store.Counters().Calls
	bytes := b.agents.bytes.sent.Load() + b.agents.bytes.received.Load()
	time.Sleep(b.o.Window)
	took := time.Since(began)
	bytes = b.agents.bytes.sent.Load() + b.agents.bytes.received.Load() - bytes
	var loads []load
	for i, p := range programs {
		after, err := p.cpu()
		if err != nil {
			return nil, nil, err
		}
		resident, err := p.resident()
		if err != nil {
			return nil, nil, err
		}
		loads = append(loads, load{
			core: (after - before[i]).Seconds() / took.Seconds(), resident: resident,
			// All entries get the same heartbeats.
			bytes: float64(bytes) / took.Seconds() / float64(len(b.entries)),
		})
	}
	return loads, perMinute(calls, b.store.Counters().Calls, took), nil
}

func perMinute(before, after map[string]int, d time.Duration) storeLoad {
	out := storeLoad{}
	for kind, n := range after {
		if n > before[kind] {
			out[kind] = float64(n-before[kind]) / d.Minutes()
		}
	}
	return out
}

// oneAgent starts a worker's agent as a process of its own.
func (b *bench) oneAgent() (*program, func(), error) {
	server, err := standin.Serve(netip.AddrPort{}, standin.NewRuntime(standin.RuntimeOptions{Name: "measured"}))
	if err != nil {
		return nil, nil, err
	}
	listen, err := freePort()
	if err != nil {
		return nil, nil, err
	}
	p, err := startAgent(b.o.Program, b.dir, "measured", listen, server.Address(), b.grpc)
	if err != nil {
		return nil, nil, err
	}
	return p, func() { p.kill(); server.Stop() }, nil
}

// fill submits jobs of one task without accelerators until the fleet runs the
// wished number of tasks, in gangs of 8.
func (b *bench) fill(ctx context.Context, n int) error {
	const members = 8
	jobs := int(b.o.Tasks * float64(n) / members)
	for i := range jobs {
		spec := rosemarysill.JobSpec{
			ID: uuid.Must(uuid.NewV7()), Account: fmt.Sprintf("account-%02d", i%91), Class: rosemarysill.Normal, Idempotent: true,
			Shape:           rosemarysill.Shape{Members: members, Processors: 1, MemoryMB: 64},
			DeclaredSeconds: 3600, Body: []byte(`{"RunSeconds":36000}`),
		}
		if err := until(ctx, func() error { _, err := b.caller.Submit(ctx, spec); return err }); err != nil {
			return err
		}
	}
	return until(ctx, func() error {
		s, err := b.operator.Status(ctx)
		if err == nil && s.Jobs[rosemarysill.JobRunning] < jobs {
			err = errors.Newf("jobs %v of %d", s.Jobs, jobs)
		}
		return err
	})
}
