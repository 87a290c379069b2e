package agent

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	boot     = uuid.MustParse("0193a000-0000-7000-8000-00000000b007")
	address1 = netip.MustParseAddrPort("10.0.0.1:7000")
	address2 = netip.MustParseAddrPort("10.0.0.2:7000")
)

func id(n byte) uuid.UUID { return uuid.UUID{6: 0x70, 8: 0x80, 15: n} }

// fakeEntry grants freshness and leases to what it hears.
type fakeEntry struct {
	mu       sync.Mutex
	orders   rosemarysill.AgentOrders
	renew    bool // grant leases to running members
	lost     bool // replies are lost
	entries  []netip.AddrPort
	beats    []rosemarysill.AgentReport
	digest   uint64
	lastBeat time.Time
}

func (e *fakeEntry) Heartbeat(_ context.Context, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := b.Reports[0]
	e.beats = append(e.beats, r)
	e.lastBeat = time.Now()
	if e.lost {
		return rosemarysill.HeartbeatReply{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "lost")
	}
	if r.HasTasks {
		e.digest = r.TasksDigest
	}
	orders := e.orders
	orders.Name, orders.AckedDigest, orders.Leases = r.Name, e.digest, nil
	for _, t := range r.Tasks {
		if e.renew && t.State == rosemarysill.TaskRunning {
			e.orders.Leases = []rosemarysill.LeaseGrant{{Job: t.Job, Attempt: t.Attempt, Duration: 15 * time.Second}}
		}
	}
	if e.renew {
		orders.Leases = e.orders.Leases
	}
	return rosemarysill.HeartbeatReply{Orders: []rosemarysill.AgentOrders{orders}, Entries: e.entries}, nil
}

func (e *fakeEntry) set(change func(e *fakeEntry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *fakeEntry) last() rosemarysill.AgentReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beats[len(e.beats)-1]
}

type fakeEntries map[netip.AddrPort]*fakeEntry

func (f fakeEntries) Entry(a netip.AddrPort) (rosemarysill.HeartbeatReceiver, error) {
	if e, ok := f[a]; ok {
		return e, nil
	}
	return nil, rosemarysill.NewError(rosemarysill.Unreachable, "no entry at %s", a)
}

func newEntry() *fakeEntry {
	return &fakeEntry{orders: rosemarysill.AgentOrders{Revision: 1, Epoch: 3, FreshFor: 5 * time.Second}}
}

// fakeRuntime keeps tasks in memory and counts requests. A request named in
// hangs waits for the end of its context.
type fakeRuntime struct {
	mu       sync.Mutex
	tasks    map[rosemarysill.RuntimeTask]rosemarysill.TaskStatus
	requests []string
	stopped  time.Time
	hangs    map[string]bool
	gaveUp   map[string]time.Time // when a request that hung was given up
}

func newRuntime() *fakeRuntime {
	return &fakeRuntime{tasks: map[rosemarysill.RuntimeTask]rosemarysill.TaskStatus{}, hangs: map[string]bool{}, gaveUp: map[string]time.Time{}}
}

func (r *fakeRuntime) request(ctx context.Context, name string) error {
	r.mu.Lock()
	hangs := r.hangs[name]
	if name != "Tasks" {
		r.requests = append(r.requests, name)
	}
	r.mu.Unlock()
	if hangs {
		<-ctx.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gaveUp[name] = time.Now()
		return ctx.Err()
	}
	return nil
}

func (r *fakeRuntime) did(names ...string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		for _, name := range names {
			if request == name {
				n++
			}
		}
	}
	return n
}

func (r *fakeRuntime) Start(ctx context.Context, t rosemarysill.TaskStart) error {
	if err := r.request(ctx, "Start"); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks[t.Task] = rosemarysill.TaskStatus{Task: t.Task, State: rosemarysill.TaskRunning}
	return nil
}

func (r *fakeRuntime) Extend(ctx context.Context, _ rosemarysill.RuntimeTask, _ time.Time) error {
	return r.request(ctx, "Extend")
}

func (r *fakeRuntime) Checkpoint(ctx context.Context, _ rosemarysill.RuntimeTask) (string, error) {
	return "c1", r.request(ctx, "Checkpoint")
}

func (r *fakeRuntime) Throttle(ctx context.Context, _ rosemarysill.RuntimeTask, _ float64) error {
	return r.request(ctx, "Throttle")
}

func (r *fakeRuntime) Stop(ctx context.Context, t rosemarysill.RuntimeTask) error {
	if err := r.request(ctx, "Stop"); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = time.Now()
	delete(r.tasks, t)
	return nil
}

func (r *fakeRuntime) Tasks(ctx context.Context) ([]rosemarysill.TaskStatus, error) {
	if err := r.request(ctx, "Tasks"); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []rosemarysill.TaskStatus
	for _, s := range r.tasks {
		list = append(list, s)
	}
	return list, nil
}

func (r *fakeRuntime) Forget(ctx context.Context, _ rosemarysill.RuntimeTask) error {
	return r.request(ctx, "Forget")
}

// serveFunc is an upstream.
type serveFunc func(ctx context.Context, c rosemarysill.Call) ([]byte, error)

func (f serveFunc) Serve(ctx context.Context, c rosemarysill.Call) ([]byte, error) { return f(ctx, c) }

func config(entries ...netip.AddrPort) Config {
	return Config{Entries: entries, Identity: rosemarysill.AgentIdentity{
		Name: "a1", Boot: boot, Slots: 4, Accelerators: 4, Processors: 8, MemoryMB: 1000}}
}
