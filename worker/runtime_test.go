package worker_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/worker"
	"github.com/stretchr/testify/require"
)

func newRuntime(t *testing.T) (*standin.Runtime, *worker.RuntimeClient, *standin.Server) {
	t.Helper()
	r := standin.NewRuntime(standin.RuntimeOptions{})
	srv, err := standin.Serve(netip.AddrPort{}, r)
	require.NoError(t, err)
	c := worker.NewRuntime(srv.Address(), worker.RuntimeOptions{})
	t.Cleanup(func() {
		c.Close()
		srv.Stop()
		<-srv.Done()
	})
	return r, c, srv
}

func runtimeTask(member int) rosemarysill.RuntimeTask {
	return rosemarysill.RuntimeTask{Job: uuid.MustParse("00000000-0000-7000-8000-00000000000b"), Attempt: 1, Member: member}
}

// TestRuntimeClient guards against a client whose requests the runtime
// understands differently.
func TestRuntimeClient(t *testing.T) {
	r, c, _ := newRuntime(t)
	ctx := t.Context()
	until := time.Now().Add(time.Hour)
	start := rosemarysill.TaskStart{Task: runtimeTask(0), Account: "a", Accelerators: []int{3}, Body: []byte(`{"RunSeconds":3600}`), LeaseUntil: until}
	require.NoError(t, c.Start(ctx, start))
	require.NoError(t, c.Start(ctx, start))
	require.NoError(t, c.Extend(ctx, runtimeTask(0), until.Add(time.Hour)))
	require.NoError(t, c.Throttle(ctx, runtimeTask(0), 0.5))
	name, err := c.Checkpoint(ctx, runtimeTask(0))
	require.NoError(t, err)
	all, err := c.Tasks(ctx)
	require.NoError(t, err)
	require.Len(t, all, 1)
	require.Equal(t, runtimeTask(0), all[0].Task)
	require.Equal(t, rosemarysill.TaskRunning, all[0].State)
	require.Equal(t, name, all[0].Checkpoint)
	require.NoError(t, c.Stop(ctx, runtimeTask(0)))
	require.NoError(t, c.Stop(ctx, runtimeTask(0)))
	require.NoError(t, c.Forget(ctx, runtimeTask(0)))
	all, err = c.Tasks(ctx)
	require.NoError(t, err)
	require.Empty(t, all)
	require.Len(t, r.Journal().Spans(), 1)
}

// TestRuntimeErrors guards against a "not run" without proof and against an
// "unknown" where there is proof.
func TestRuntimeErrors(t *testing.T) {
	start := rosemarysill.TaskStart{Task: runtimeTask(0), Accelerators: []int{0}, Body: []byte(`{"RunSeconds":3600}`), LeaseUntil: time.Now().Add(time.Hour)}
	other := start
	other.Task = runtimeTask(1)
	lapsed, large := start, start
	lapsed.LeaseUntil = time.Now().Add(-time.Second)
	large.Body = make([]byte, 1<<20+1)
	cases := map[string]struct {
		faults standin.RuntimeFaults
		act    func(t *testing.T, c *worker.RuntimeClient, srv *standin.Server) error
		want   rosemarysill.Code
		starts int
	}{
		"lease has ended": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Start(t.Context(), lapsed)
		}, want: rosemarysill.ReservationLapsed},
		"body too large": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Start(t.Context(), large)
		}, want: rosemarysill.TooLarge},
		"start, answer lost": {faults: standin.RuntimeFaults{LoseNext: 1}, act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Start(t.Context(), start)
		}, want: rosemarysill.OutcomeUnknown, starts: 1},
		"outage": {faults: standin.RuntimeFaults{Outage: true}, act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Start(t.Context(), start)
		}, want: rosemarysill.OutcomeUnknown},
		"extension of no task": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Extend(t.Context(), runtimeTask(0), time.Now().Add(time.Hour))
		}, want: rosemarysill.UnknownJob},
		"share over 1": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			return c.Throttle(t.Context(), runtimeTask(0), 2)
		}, want: rosemarysill.InvalidRequest},
		"accelerator in use": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			require.NoError(t, c.Start(t.Context(), start))
			return c.Start(t.Context(), other)
		}, want: rosemarysill.NoCapacity, starts: 1},
		"start after its stop": {act: func(t *testing.T, c *worker.RuntimeClient, _ *standin.Server) error {
			require.NoError(t, c.Stop(t.Context(), runtimeTask(0)))
			return c.Start(t.Context(), start)
		}, want: rosemarysill.StaleAttempt},
		"no listener": {act: func(t *testing.T, c *worker.RuntimeClient, srv *standin.Server) error {
			srv.Stop()
			<-srv.Done()
			return c.Start(t.Context(), start)
		}, want: rosemarysill.Unreachable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, c, srv := newRuntime(t)
			r.SetFaults(tc.faults)
			err := tc.act(t, c, srv)
			require.Equal(t, tc.want, rosemarysill.CodeOf(err), "%v", err)
			require.Len(t, r.Journal().Spans(), tc.starts)
		})
	}
}
