package attempt

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/fleet"
	"github.com/rosemarysill/rosemarysill/gang"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/lease"
	"github.com/rosemarysill/rosemarysill/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAgents are two workers' agents; the second one refuses reservations. It
// answers a stop only when the test lets it.
type fakeAgents struct {
	mu       sync.Mutex
	reserved int
	stopped  []int
	refuse   bool
	commits  int
	stopping chan struct{}
}

func (f *fakeAgents) Agent(netip.AddrPort) (rosemarysill.Agent, error) { return f, nil }

func (f *fakeAgents) Forward(context.Context, rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.InvalidRequest, "a worker answers no calls")
}

func (f *fakeAgents) Reserve(_ context.Context, r rosemarysill.ReserveRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse && r.Member == 1 {
		return rosemarysill.NewError(rosemarysill.NoCapacity, "taken")
	}
	f.reserved++
	return nil
}

func (f *fakeAgents) Commit(context.Context, rosemarysill.CommitRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	return nil
}

func (f *fakeAgents) Stop(ctx context.Context, r rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	select {
	case <-f.stopping:
	case <-ctx.Done():
		return rosemarysill.StopReply{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = append(f.stopped, r.Member)
	return rosemarysill.StopReply{Stopped: true}, nil
}

// fixedMembers is a membership with store contact.
type fixedMembers struct{ cfg rosemarysill.Configuration }

func (m fixedMembers) Authority() rosemarysill.Authority {
	far := time.Now().Add(time.Hour)
	return rosemarysill.Authority{Until: far, StoreContact: true, StoreDeadline: far, Established: true, Config: m.cfg}
}

func (m fixedMembers) FenceAttempt(context.Context, uuid.UUID, int, uint64) error { return nil }

// testDriver returns the driver of a gang of two members on two workers, its
// attempt and its first effects.
func testDriver(t *testing.T, f *fakeAgents, cfg rosemarysill.Configuration) (*Driver, *gang.Attempt, []gang.Effect, *standin.Store) {
	t.Helper()
	ctx := context.Background()
	store := standin.NewStore(standin.StoreOptions{WritesPerS: -1, ReadsPerS: -1})
	opts := rosemarysill.NewOptions(rosemarysill.WithStore(store), rosemarysill.WithAgents(f))
	now := time.Now()
	holder := lease.NewHolder(store, uuid.New(), opts.Timings.PlacerLease, time.Now)
	holds, _ := holder.Keep(ctx)
	require.True(t, holds)
	table := fleet.New(opts.Timings, 10, now)
	var slots []rosemarysill.Slot
	for _, name := range []string{"a", "b"} {
		slot := rosemarysill.Slot{Worker: name, Boot: uuid.New()}
		slots = append(slots, slot)
		table.Observe(rosemarysill.AgentReport{
			Name: name, Boot: slot.Boot, Sequence: 1, HasTasks: true,
			Identity: &rosemarysill.AgentIdentity{Name: name, Boot: slot.Boot, Kind: rosemarysill.WorkerAgent, Domain: "Tunis", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		}, now)
	}
	book := job.NewBook(store, zerolog.Nop(), func() {})
	spec := rosemarysill.JobSpec{ID: uuid.Must(uuid.NewV7()), Shape: rosemarysill.Shape{Members: 2}}
	stored, _ := book.Write(ctx, rosemarysill.Job{Spec: spec, State: rosemarysill.JobQueued}, 0, now)
	epoch, _ := holder.Held()
	parts := Parts{Opts: opts, Holder: holder, Table: table, Book: book, Members: fixedMembers{cfg}, Started: func() time.Time { return now }}
	a, effects := gang.Begin(stored.Job, epoch, 1, slots, opts.Timings, now)
	return New(parts, stored, epoch, rosemarysill.PlacedJob{Spec: spec, Attempt: 1, Slots: slots}), a, effects, store
}

var domainIn = rosemarysill.Configuration{Revision: 1, Domains: []rosemarysill.Domain{{Name: "Tunis"}}}

// TestAbandonedAttemptGivesReservationsBack guards against reservations that
// hold their capacity until they lapse, because the end of the attempt cut off
// the stops.
func TestAbandonedAttemptGivesReservationsBack(t *testing.T) {
	f := &fakeAgents{refuse: true, stopping: make(chan struct{})}
	d, a, effects, store := testDriver(t, f, domainIn)
	outcome := make(chan gang.Outcome, 1)
	go func() { outcome <- d.Run(context.Background(), a, effects) }()
	require.Never(t, func() bool { return len(outcome) > 0 }, 100*time.Millisecond, 10*time.Millisecond,
		"the attempt ended without the answers to its stops")
	close(f.stopping)
	require.Equal(t, gang.Abandoned, <-outcome)
	require.Contains(t, f.stopped, 0)
	require.Zero(t, f.commits)
	require.Equal(t, 3, store.Counters().Calls[standin.StoreSwap], "holder, epoch and submission; no start is recorded")
}

// TestNoStartInDomainThatIsOut guards against a start recorded on reservations
// that were made before the failure domain was taken out.
func TestNoStartInDomainThatIsOut(t *testing.T) {
	f := &fakeAgents{stopping: make(chan struct{})}
	close(f.stopping)
	out := domainIn
	out.Domains = []rosemarysill.Domain{{Name: "Tunis", Out: true}}
	d, a, effects, store := testDriver(t, f, out)
	require.Equal(t, gang.Abandoned, d.Run(context.Background(), a, effects))
	require.Equal(t, 2, f.reserved)
	require.Zero(t, f.commits)
	require.Equal(t, 3, store.Counters().Calls[standin.StoreSwap])
}

// TestNoCommitWithoutLease guards against commits by an entry that lost the
// placement lease after its reservations.
func TestNoCommitWithoutLease(t *testing.T) {
	f := &fakeAgents{stopping: make(chan struct{})}
	close(f.stopping)
	d, a, effects, _ := testDriver(t, f, domainIn)
	d.parts.Holder.Release(context.Background())
	require.Equal(t, gang.Lost, d.Run(context.Background(), a, effects))
	require.Zero(t, f.commits)
}

// TestWritesOfAJob guards against more store writes for a job than the four
// that docs/CAPACITY.md counts with: submission, recorded start, running, end.
func TestWritesOfAJob(t *testing.T) {
	f := &fakeAgents{stopping: make(chan struct{})}
	close(f.stopping)
	d, a, effects, store := testDriver(t, f, domainIn)
	outcome := make(chan gang.Outcome, 1)
	go func() { outcome <- d.Run(context.Background(), a, effects) }()
	report := func(sequence uint64, state rosemarysill.TaskState) {
		for i, slot := range d.Placed().Slots {
			d.parts.Table.Observe(rosemarysill.AgentReport{
				Name: slot.Worker, Boot: slot.Boot, Sequence: sequence, HasTasks: true, TasksDigest: sequence,
				Tasks: []rosemarysill.TaskReport{{Job: d.ID(), Attempt: 1, Member: i, Members: 2, State: state, Result: []byte("done")}},
			}, time.Now())
		}
		d.Notify()
	}
	state := func() rosemarysill.JobState {
		s, _ := d.parts.Book.Get(d.ID())
		return s.Job.State
	}
	wait := func(want rosemarysill.JobState) {
		require.Eventually(t, func() bool { return state() == want }, 10*time.Second, time.Millisecond, string(want))
	}
	wait(rosemarysill.JobStarting)
	report(2, rosemarysill.TaskRunning)
	wait(rosemarysill.JobRunning)
	report(3, rosemarysill.TaskDone)
	require.Equal(t, gang.Finished, <-outcome)
	require.Equal(t, rosemarysill.JobDone, state())
	require.Equal(t, 2+4, store.Counters().Calls[standin.StoreSwap], "two for the placement lease, four for the job")
	require.Equal(t, 2, f.commits)
}
