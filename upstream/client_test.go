package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/upstream"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func newUpstream(t *testing.T, uo standin.UpstreamOptions, o upstream.ClientOptions) (*standin.Upstream, *upstream.Client, *standin.Server) {
	t.Helper()
	u := standin.NewUpstream(uo)
	srv, err := standin.Serve(netip.AddrPort{}, u)
	require.NoError(t, err)
	c := upstream.NewClient(srv.Address(), o)
	t.Cleanup(func() {
		c.Close()
		srv.Stop()
		<-srv.Done()
	})
	return u, c, srv
}

// TestServeErrors guards against an answer that is not the whole answer to the
// call, a "not run" without proof, and a second run by the HTTP library.
func TestServeErrors(t *testing.T) {
	const hour = `{"Seconds":3600}`
	cases := map[string]struct {
		body    string
		faults  standin.UpstreamFaults
		limits  standin.UpstreamOptions
		options upstream.ClientOptions
		within  time.Duration // deadline, an hour when 0
		stopped bool          // the upstream does not listen
		want    rosemarysill.Code
		runs    int
	}{
		"answered":                {body: `{"AnswerBytes":100000}`, want: rosemarysill.Done, runs: 1},
		"fails":                   {body: `{"Fail":true}`, want: rosemarysill.UpstreamFailed, runs: 1},
		"body not understood":     {body: `{"Seconds":"x"}`, want: rosemarysill.InvalidRequest},
		"body over client limit":  {body: "12345", options: upstream.ClientOptions{MaxBodyBytes: 4}, want: rosemarysill.TooLarge},
		"body over server limit":  {body: "12345", limits: standin.UpstreamOptions{MaxBodyBytes: 4}, want: rosemarysill.TooLarge},
		"answer over the limit":   {body: `{"AnswerBytes":1001}`, options: upstream.ClientOptions{MaxAnswerBytes: 1000}, want: rosemarysill.AnswerTooLarge, runs: 1},
		"closed before the run":   {faults: standin.UpstreamFaults{Outage: true}, want: rosemarysill.OutcomeUnknown},
		"closed after the run":    {faults: standin.UpstreamFaults{CloseAfterRun: true}, want: rosemarysill.OutcomeUnknown, runs: 1},
		"closed in the answer":    {body: `{"AnswerBytes":100000}`, faults: standin.UpstreamFaults{Truncate: true}, want: rosemarysill.OutcomeUnknown, runs: 1},
		"answer too short":        {body: `{"AnswerBytes":100000}`, faults: standin.UpstreamFaults{Shorten: true}, want: rosemarysill.OutcomeUnknown, runs: 1},
		"answer of another call":  {faults: standin.UpstreamFaults{OtherID: true}, want: rosemarysill.OutcomeUnknown, runs: 1},
		"slow past the deadline":  {faults: standin.UpstreamFaults{Slow: time.Hour}, within: 50 * time.Millisecond, want: rosemarysill.OutcomeUnknown, runs: 1},
		"answer after deadline":   {faults: standin.UpstreamFaults{Late: time.Hour}, within: 50 * time.Millisecond, want: rosemarysill.OutcomeUnknown, runs: 1},
		"deadline has passed":     {within: -time.Second, want: rosemarysill.DeadlineUnmeetable},
		"no listener":             {stopped: true, want: rosemarysill.Unreachable},
		"long call, no fault yet": {body: hour, within: 50 * time.Millisecond, want: rosemarysill.OutcomeUnknown, runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			u, c, srv := newUpstream(t, tc.limits, tc.options)
			u.SetFaults(tc.faults)
			if tc.stopped {
				srv.Stop()
				<-srv.Done()
			}
			call := rosemarysill.Call{ID: uuid.Must(uuid.NewV7()), Account: "a", Class: rosemarysill.Urgent, Body: []byte(tc.body), Deadline: time.Now().Add(time.Hour)}
			if tc.within != 0 {
				call.Deadline = time.Now().Add(tc.within)
			}
			got, err := c.Serve(t.Context(), call)
			require.Equal(t, tc.want, rosemarysill.CodeOf(err), "%v", err)
			require.Equal(t, tc.runs, u.Journal().RunsOf(call.ID))
			if tc.want == rosemarysill.Done {
				require.Equal(t, standin.AnswerFor(call.ID, 100000), got)
			}
		})
	}
}

// TestServeFullUpstream guards against more calls at an upstream than it has
// slots, and against a refusal that is not proved.
func TestServeFullUpstream(t *testing.T) {
	u, c, _ := newUpstream(t, standin.UpstreamOptions{}, upstream.ClientOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			_, err := c.Serve(ctx, rosemarysill.Call{ID: uuid.Must(uuid.NewV7()), Body: []byte(`{"Seconds":3600}`)})
			return err
		})
	}
	require.Eventually(t, func() bool { return u.Busy() == 8 }, 10*time.Second, time.Millisecond)
	ninth := rosemarysill.Call{ID: uuid.Must(uuid.NewV7())}
	_, err := c.Serve(t.Context(), ninth)
	require.Equal(t, rosemarysill.NoCapacity, rosemarysill.CodeOf(err))
	require.Zero(t, u.Journal().RunsOf(ninth.ID))
	cancel()
	require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(g.Wait()))
}

// TestServeOwnAnswers guards against answers that reach another caller when
// many calls share connections.
func TestServeOwnAnswers(t *testing.T) {
	u, c, _ := newUpstream(t, standin.UpstreamOptions{Slots: 32}, upstream.ClientOptions{})
	var g errgroup.Group
	for i := range 32 {
		g.Go(func() error {
			for n := range 8 {
				id := uuid.Must(uuid.NewV7())
				length := 40 + 1000*i + n
				got, err := c.Serve(t.Context(), rosemarysill.Call{ID: id, Body: []byte(`{"AnswerBytes":` + strconv.Itoa(length) + `}`)})
				if err != nil {
					return err
				}
				if string(got) != string(standin.AnswerFor(id, length)) {
					return rosemarysill.NewError(rosemarysill.InternalError, "answer of %d bytes is not that of call %s", len(got), id)
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	runs, dropped := u.Journal().Runs()
	require.Len(t, runs, 256)
	require.Zero(t, dropped)
}

// TestServeMalformedAnswers guards against an answer that another server has
// made: only a refusal that the upstream has named proves that a call did not
// run.
func TestServeMalformedAnswers(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
	}{
		"without identifier":      {200, "ok"},
		"gateway's error":         {503, "no capacity"},
		"refusal without a name":  {503, `{}`},
		"unknown refusal":         {503, `{"Error":"Busy"}`},
		"refusal that is cut off": {503, `{"Error":"NoCapacity"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer srv.Close()
			c := upstream.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), upstream.ClientOptions{})
			defer c.Close()
			_, err := c.Serve(t.Context(), rosemarysill.Call{ID: uuid.Must(uuid.NewV7())})
			require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err), "%v", err)
			require.Equal(t, 1, calls, "a call is sent once")
		})
	}
}

// TestServeStaleConnection guards against a second run of a call when the
// upstream has closed a connection that the client holds for reuse.
func TestServeStaleConnection(t *testing.T) {
	u, c, srv := newUpstream(t, standin.UpstreamOptions{}, upstream.ClientOptions{})
	_, err := c.Serve(t.Context(), rosemarysill.Call{ID: uuid.Must(uuid.NewV7())})
	require.NoError(t, err)
	srv.Stop()
	<-srv.Done()
	again, err := standin.Serve(srv.Address(), u)
	require.NoError(t, err)
	defer func() {
		again.Stop()
		<-again.Done()
	}()
	for range 20 {
		call := rosemarysill.Call{ID: uuid.Must(uuid.NewV7())}
		_, err := c.Serve(t.Context(), call)
		if err != nil {
			require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err), "%v", err)
		}
		require.LessOrEqual(t, u.Journal().RunsOf(call.ID), 1)
	}
}

// TestServeConnectionLimit guards against a stand-in that takes more
// connections than an upstream does.
func TestServeConnectionLimit(t *testing.T) {
	u, c, srv := newUpstream(t, standin.UpstreamOptions{Slots: 8, Conns: 2}, upstream.ClientOptions{})
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", srv.Address().String())
		require.NoError(t, err)
		defer conn.Close()
		held = append(held, conn)
	}
	refused, err := net.Dial("tcp", srv.Address().String())
	require.NoError(t, err)
	defer refused.Close()
	require.NoError(t, refused.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the third connection is closed")
	require.NoError(t, held[0].Close())
	call := rosemarysill.Call{ID: uuid.Must(uuid.NewV7())}
	require.Eventually(t, func() bool {
		_, err := c.Serve(t.Context(), call)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, u.Journal().RunsOf(call.ID))
}
