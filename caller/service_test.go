package caller

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/stretchr/testify/require"
)

// fakeService answers with what the test sets.
type fakeService struct {
	call func(context.Context, rosemarysill.Call) rosemarysill.Answer
	job  rosemarysill.Job
	err  error
}

func (f *fakeService) Call(ctx context.Context, c rosemarysill.Call) rosemarysill.Answer {
	return f.call(ctx, c)
}

func (f *fakeService) Submit(_ context.Context, spec rosemarysill.JobSpec) (rosemarysill.Job, error) {
	return rosemarysill.Job{Spec: spec, State: rosemarysill.JobQueued}, f.err
}

func (f *fakeService) Cancel(_ context.Context, id uuid.UUID) (rosemarysill.Job, error) {
	return rosemarysill.Job{Spec: rosemarysill.JobSpec{ID: id}, CancelRequested: true}, f.err
}

func (f *fakeService) Job(context.Context, uuid.UUID) (rosemarysill.Job, error) { return f.job, f.err }

// serve starts an entry's caller side and returns its address and a function
// that begins its shutdown.
func serve(t *testing.T, service rosemarysill.CallerService, limits message.Limits) (netip.AddrPort, func(), *message.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s := message.NewServer(NewHandler(service, limits), limits)
	go func() { _ = s.Run(ctx, l) }()
	t.Cleanup(func() { stop(); <-s.Done() })
	return netip.MustParseAddrPort(l.Addr().String()), stop, s
}

func testLimits() message.Limits {
	limits := message.DefaultLimits()
	limits.LingerFor = time.Millisecond
	return limits
}

func newCall() rosemarysill.Call {
	return rosemarysill.Call{
		ID: uuid.Must(uuid.NewV7()), Account: "Sfax", Class: rosemarysill.Urgent,
		Deadline: time.Now().Add(time.Minute), Body: []byte("coil 7"),
	}
}

// TestRequestsReachServiceWhole guards against fields lost between the client
// and the service.
func TestRequestsReachServiceWhole(t *testing.T) {
	call := newCall()
	call.Resent = true
	service := &fakeService{call: func(_ context.Context, got rosemarysill.Call) rosemarysill.Answer {
		require.WithinDuration(t, call.Deadline, got.Deadline, time.Minute)
		got.Deadline = call.Deadline
		require.Equal(t, call, got)
		return rosemarysill.Answer{ID: got.ID, Upstream: "u1", Body: []byte("answer")}
	}}
	entry, _, _ := serve(t, service, testLimits())
	c := NewClient([]netip.AddrPort{entry})
	defer c.Close()
	require.Equal(t, rosemarysill.Answer{ID: call.ID, Upstream: "u1", Body: []byte("answer")}, c.Call(t.Context(), call))

	spec := rosemarysill.JobSpec{ID: call.ID, Account: "Sfax", Class: rosemarysill.Batch, Shape: rosemarysill.Shape{Members: 4, Accelerators: 1, Adjacent: true}, DeclaredSeconds: 60, Body: []byte("x")}
	job, err := c.Submit(t.Context(), spec)
	require.NoError(t, err)
	require.Equal(t, rosemarysill.Job{Spec: spec, State: rosemarysill.JobQueued}, job)
	job, err = c.Cancel(t.Context(), call.ID)
	require.NoError(t, err)
	require.True(t, job.CancelRequested)
	service.err = rosemarysill.NewError(rosemarysill.UnknownJob, "none")
	_, err = c.Job(t.Context(), call.ID)
	require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(err))
}
