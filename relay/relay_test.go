package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/relay"
	"github.com/rosemarysill/rosemarysill/work"
)

// stub answers submissions and cancellations with a fixed code.
type stub struct {
	queue.Jobs
	code   rosemarysill.Code
	config queue.ConfigID
	cutOff bool // from the store
}

func (s stub) err() error {
	if s.code == rosemarysill.Done {
		return nil
	}
	return rosemarysill.NewError(s.code, "test")
}

func (s stub) Submit(context.Context, queue.Call, func() (*work.Job, error)) error { return s.err() }

func (s stub) Cancel(context.Context, queue.Call) error { return s.err() }

func (s stub) StoreReachable() bool { return !s.cutOff }

func (s stub) StoreContactAge() time.Duration { return time.Millisecond }

func (s stub) ConfigID() queue.ConfigID { return s.config }

// newRelay returns the relay of an entry, and starts the server of a peer.
func newRelay(t *testing.T, local, peer relay.Local, m *meter.Meter, log zerolog.Logger) *relay.Relay {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	relay.Register(server, peer)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }() // returns after Stop
	t.Cleanup(func() { server.Stop(); <-done })
	r := relay.New(relay.Config{
		Name: "this", Local: local, Meter: m, Log: log,
		Peers: func() []relay.Peer {
			return []relay.Peer{{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
		},
	})
	t.Cleanup(r.Close)
	return r
}

// Guards against an answer that claims that a request had no effect although the
// first entry's write took effect and only its answer was lost. The next entry may
// refuse the same request, for instance because it does not know the key.
func TestUncertainSubmissionIsNotRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		local, peer            rosemarysill.Code
		wantSubmit, wantCancel rosemarysill.Code
	}{
		"refused by the peer":       {rosemarysill.OutcomeUnknown, rosemarysill.UnknownAccount, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"queue unknown to the peer": {rosemarysill.OutcomeUnknown, rosemarysill.UnknownQueue, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"done by the peer":          {rosemarysill.OutcomeUnknown, rosemarysill.Done, rosemarysill.Done, rosemarysill.Done},
		"job unknown to the peer":   {rosemarysill.OutcomeUnknown, rosemarysill.UnknownJob, rosemarysill.UnknownJob, rosemarysill.UnknownJob},
		"not run at either":         {rosemarysill.StoreUnavailable, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"outcome unknown at both":   {rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown},
		"decided by this entry":     {rosemarysill.UnknownAccount, rosemarysill.Done, rosemarysill.UnknownAccount, rosemarysill.UnknownAccount},
		"store unavailable at both": {rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable, rosemarysill.StoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, stub{code: tc.local}, stub{code: tc.peer}, nil, zerolog.Nop())
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			err := r.Submit(context.Background(), call, func() (*work.Job, error) { return &work.Job{}, nil })
			require.Equal(t, tc.wantSubmit, rosemarysill.CodeOf(err))
			require.Equal(t, tc.wantCancel, rosemarysill.CodeOf(r.Cancel(context.Background(), call)))
		})
	}
}

// Guards against forwards that do not say why this entry did not answer itself, and which
// configurations the two entries had.
func TestForwardIsExplained(t *testing.T) {
	for name, tc := range map[string]struct {
		local      stub
		wantReason string
	}{
		"cut off from the store": {stub{cutOff: true, config: queue.ConfigID{Version: 7}}, "StoreContactLost"},
		"failed attempt":         {stub{code: rosemarysill.StoreUnavailable, config: queue.ConfigID{Version: 7}}, "StoreUnavailable"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			m := meter.New()
			r := newRelay(t, tc.local, stub{code: rosemarysill.UnknownQueue, config: queue.ConfigID{Version: 5}}, m, zerolog.New(&out))
			err := r.Cancel(context.Background(), queue.Call{Path: "/q/0000000000000001", Deadline: time.Now().Add(20 * time.Second)})
			require.Equal(t, rosemarysill.UnknownQueue, rosemarysill.CodeOf(err))
			var line struct {
				Name, Job, Entry, Code, Reason string
				OwnVersion, Version            int64
			}
			require.NoError(t, json.Unmarshal(out.Bytes(), &line))
			require.Equal(t, "QueueRelayed 0000000000000001 other UnknownQueue", strings.Join([]string{line.Name, line.Job, line.Entry, line.Code}, " "))
			require.Equal(t, tc.wantReason, line.Reason)
			require.Equal(t, []int64{7, 5}, []int64{line.OwnVersion, line.Version})
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			require.Contains(t, w.Body.String(), `rosemarysill_relayed_total{code="UnknownQueue",reason="`+tc.wantReason+`"} 1`)
		})
	}
}
