package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/stretchr/testify/require"
)

func call(n byte, attempt int, idempotent bool) rosemarysill.ForwardRequest {
	return rosemarysill.ForwardRequest{
		Call: rosemarysill.Call{ID: id(n), Account: "a", Class: rosemarysill.Normal, Idempotent: idempotent,
			Deadline: time.Now().Add(time.Minute), Body: []byte{n}},
		Attempt: attempt,
	}
}

// bubble runs an agent on a fake clock while test runs, then lets it leave.
func bubble(t *testing.T, build func() *Agent, test func(t *testing.T, a *Agent)) {
	synctest.Test(t, func(t *testing.T) {
		a := build()
		go func() { _ = a.Run(context.Background()) }()
		defer func() {
			a.Leave()
			<-a.Done()
		}()
		synctest.Wait()
		test(t, a)
	})
}

// pass lets time pass on the fake clock, and waits until everything that is due
// has happened.
func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestLeaveCutsOffNoCall guards against a planned stop that loses a request:
// each one is answered whole or refused as not run, and none begins after the
// agent leaves.
func TestLeaveCutsOffNoCall(t *testing.T) {
	var began, ended, answered, refused, other, left atomic.Int64
	entries := fakeEntries{address1: newEntry(), address2: newEntry()}
	serve := serveFunc(func(ctx context.Context, c rosemarysill.Call) ([]byte, error) {
		began.Add(1)
		select {
		case <-time.After(100 * time.Millisecond):
			ended.Add(1)
			return c.Body, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	bubble(t, func() *Agent { return NewUpstream(config(address1, address2), entries, serve) }, func(t *testing.T, a *Agent) {
		var callers sync.WaitGroup
		for caller := range byte(4) {
			callers.Go(func() {
				<-time.After(time.Duration(caller) * 30 * time.Millisecond)
				for n := range byte(40) {
					answer, err := a.Forward(context.Background(), call(40*caller+n, 1, n%2 == 0))
					switch {
					case err == nil && answer.Body[0] == 40*caller+n:
						answered.Add(1)
					case rosemarysill.CodeOf(err) == rosemarysill.Leaving:
						refused.Add(1)
					default:
						other.Add(1)
					}
				}
			})
		}
		pass(1050 * time.Millisecond)
		left.Store(began.Load())
		a.Leave()
		synctest.Wait()
		for _, e := range entries {
			require.True(t, e.last().Leaving, "told at once")
			e.set(func(e *fakeEntry) { require.Zero(t, time.Since(e.lastBeat)) })
		}
		callers.Wait()
	})
	t.Logf("%d answered, %d refused as leaving, %d other", answered.Load(), refused.Load(), other.Load())
	require.Equal(t, left.Load(), began.Load(), "none begins after leaving")
	require.Equal(t, began.Load(), ended.Load())
	require.Equal(t, began.Load(), answered.Load())
	require.Equal(t, int64(160), answered.Load()+refused.Load())
	require.NotZero(t, refused.Load())
}

// TestRepeatedDelivery guards against a second run of a call, and against an
// answer that belongs to other content.
func TestRepeatedDelivery(t *testing.T) {
	notRun := rosemarysill.NewError(rosemarysill.Overloaded, "full")
	cases := map[string]struct {
		first, second rosemarysill.ForwardRequest
		err           error // of the first run
		dropped       bool  // the first answer is no longer kept
		want          rosemarysill.Code
		runs          int64
	}{
		"same attempt":                           {first: call(1, 1, true), second: call(1, 1, true), runs: 1},
		"same attempt, non-idempotent":           {first: call(1, 1, false), second: call(1, 1, false), runs: 1},
		"later attempt":                          {first: call(1, 1, true), second: call(1, 2, true), runs: 2},
		"later attempt, non-idempotent":          {first: call(1, 1, false), second: call(1, 2, false), runs: 1},
		"later attempt after unknown outcome":    {first: call(1, 1, false), second: call(1, 2, false), err: errors.New("reset"), want: rosemarysill.OutcomeUnknown, runs: 1},
		"later attempt after proof":              {first: call(1, 1, false), second: call(1, 2, false), err: notRun, want: rosemarysill.Overloaded, runs: 2},
		"same attempt after proof":               {first: call(1, 1, false), second: call(1, 1, false), err: notRun, want: rosemarysill.Overloaded, runs: 1},
		"earlier attempt that comes late":        {first: call(1, 2, true), second: call(1, 1, true), want: rosemarysill.StaleAttempt, runs: 1},
		"other content":                          {first: call(1, 1, true), second: func() rosemarysill.ForwardRequest { r := call(1, 1, true); r.Call.Body = []byte("x"); return r }(), want: rosemarysill.IdentifierReused, runs: 1},
		"non-idempotent whose answer is dropped": {first: call(1, 1, false), second: call(1, 2, false), dropped: true, want: rosemarysill.OutcomeUnknown, runs: 1},
		"idempotent whose answer is dropped":     {first: call(1, 1, true), second: call(1, 1, true), dropped: true, runs: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			serve := serveFunc(func(_ context.Context, served rosemarysill.Call) ([]byte, error) {
				if served.ID == id(1) {
					runs.Add(1)
				}
				return []byte("answer"), c.err
			})
			cfg := config(address1)
			cfg.Answers = 1
			bubble(t, func() *Agent { return NewUpstream(cfg, fakeEntries{address1: newEntry()}, serve) }, func(t *testing.T, a *Agent) {
				c.first.Call.Deadline, c.second.Call.Deadline = time.Now().Add(time.Minute), time.Now().Add(time.Minute)
				_, err := a.Forward(context.Background(), c.first)
				require.Equal(t, rosemarysill.CodeOf(c.err), rosemarysill.CodeOf(err))
				if c.dropped {
					_, _ = a.Forward(context.Background(), call(2, 1, true))
				}
				answer, err := a.Forward(context.Background(), c.second)
				require.Equal(t, c.want, rosemarysill.CodeOf(err), "%v", err)
				if err == nil {
					require.Equal(t, rosemarysill.Answer{ID: id(1), Upstream: "a1", Body: []byte("answer")}, answer)
				}
			})
			require.Equal(t, c.runs, runs.Load())
		})
	}
}

// TestDeliveryJoins guards against a second run of a call that is in progress,
// and against its end when the connection that brought it is lost.
func TestDeliveryJoins(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int64
	serve := serveFunc(func(ctx context.Context, _ rosemarysill.Call) ([]byte, error) {
		runs.Add(1)
		select {
		case <-release:
			return []byte("answer"), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	bubble(t, func() *Agent {
		release = make(chan struct{})
		return NewUpstream(config(address1), fakeEntries{address1: newEntry()}, serve)
	}, func(t *testing.T, a *Agent) {
		first, lose := context.WithCancel(context.Background())
		codes := make(chan rosemarysill.Code, 2)
		for _, ctx := range []context.Context{first, context.Background()} {
			go func() {
				_, err := a.Forward(ctx, call(1, 1, false))
				codes <- rosemarysill.CodeOf(err)
			}()
			synctest.Wait()
		}
		lose()
		require.Equal(t, rosemarysill.OutcomeUnknown, <-codes)
		close(release)
		require.Equal(t, rosemarysill.Done, <-codes)
		require.Equal(t, int64(1), runs.Load())
	})
}

// TestAnswerBeyondBound guards against an answer that is dropped before its own
// caller has read it.
func TestAnswerBeyondBound(t *testing.T) {
	cfg := config(address1)
	cfg.AnswerBytes = 1
	serve := serveFunc(func(context.Context, rosemarysill.Call) ([]byte, error) { return []byte("answer"), nil })
	bubble(t, func() *Agent { return NewUpstream(cfg, fakeEntries{address1: newEntry()}, serve) }, func(t *testing.T, a *Agent) {
		answer, err := a.Forward(context.Background(), call(1, 1, false))
		require.NoError(t, err)
		require.Equal(t, "answer", string(answer.Body))
	})
}

// TestRefusals guards against work that the agent must not take, and against
// answers beyond the limit.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(e *fakeEntry)
		wait   time.Duration
		late   time.Duration
		want   rosemarysill.Code
	}{
		"accepted":                     {wait: 2 * time.Second},
		"heartbeat replies lost":       {func(e *fakeEntry) { e.lost = true }, 6 * time.Second, 0, rosemarysill.StaleConfiguration},
		"domain out":                   {func(e *fakeEntry) { e.orders.Revision, e.orders.DomainOut = 2, true }, 2 * time.Second, 0, rosemarysill.DomainOut},
		"drained":                      {func(e *fakeEntry) { e.orders.Revision, e.orders.Drained = 2, true }, 2 * time.Second, 0, rosemarysill.Leaving},
		"entry with an older revision": {func(e *fakeEntry) { e.orders.Revision = 0 }, 6 * time.Second, 0, rosemarysill.StaleConfiguration},
		"past the deadline":            {nil, 0, 2 * time.Minute, rosemarysill.DeadlineUnmeetable},
		"answer too large":             {nil, 0, 0, rosemarysill.AnswerTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEntry()
			serve := serveFunc(func(context.Context, rosemarysill.Call) ([]byte, error) {
				if c.want == rosemarysill.AnswerTooLarge {
					return make([]byte, maxAnswer+1), nil
				}
				return nil, nil
			})
			bubble(t, func() *Agent { return NewUpstream(config(address1), fakeEntries{address1: e}, serve) }, func(t *testing.T, a *Agent) {
				if c.change != nil {
					e.set(c.change)
				}
				pass(c.wait)
				r := call(1, 1, true)
				r.Call.Deadline = r.Call.Deadline.Add(-c.late)
				_, err := a.Forward(context.Background(), r)
				require.Equal(t, c.want, rosemarysill.CodeOf(err), "%v", err)
			})
		})
	}
}

// TestSlotsAreCounted guards against more calls at a time than the upstream has
// slots, and against slots that are not given back.
func TestSlotsAreCounted(t *testing.T) {
	e := newEntry()
	serve := serveFunc(func(context.Context, rosemarysill.Call) ([]byte, error) {
		<-time.After(3 * time.Second)
		return nil, nil
	})
	bubble(t, func() *Agent { return NewUpstream(config(address1), fakeEntries{address1: e}, serve) }, func(t *testing.T, a *Agent) {
		for n := range byte(4) {
			go func() { _, _ = a.Forward(context.Background(), call(n, 1, true)) }()
		}
		pass(2100 * time.Millisecond)
		require.Equal(t, [2]int{0, 4}, [2]int{e.last().FreeSlots, e.last().InProgress})
		_, err := a.Forward(context.Background(), call(9, 1, true))
		require.Equal(t, rosemarysill.NoCapacity, rosemarysill.CodeOf(err))
		pass(2 * time.Second)
		require.Equal(t, 4, e.last().FreeSlots)
	})
}

// TestServeAnswersWhileLeaving guards against a server that closes before the
// calls in progress are answered over the network.
func TestServeAnswersWhileLeaving(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 8)
	serve := serveFunc(func(_ context.Context, c rosemarysill.Call) ([]byte, error) {
		began <- struct{}{}
		<-release
		return c.Body, nil
	})
	e := newEntry()
	a := NewUpstream(config(address1), fakeEntries{address1: e}, serve)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- a.Serve(ctx, l, peer.ServerConfig{}) }()
	clients := peer.NewClients(peer.ClientsConfig{})
	defer clients.Close()
	client, err := clients.Agent(netip.MustParseAddrPort(l.Addr().String()))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		a.backend.(*upstream).mu.Lock()
		defer a.backend.(*upstream).mu.Unlock()
		return a.backend.(*upstream).standing.Revision == 1
	}, 10*time.Second, time.Millisecond)

	results := make(chan string, 4)
	for n := range byte(4) {
		go func() {
			r := call(n, 1, false)
			r.Remaining = time.Minute
			answer, err := client.Forward(context.Background(), r)
			results <- fmt.Sprint(answer.Body, err)
		}()
	}
	for range 4 {
		<-began
	}
	stop()
	require.Eventually(t, func() bool { return e.last().Leaving }, 10*time.Second, time.Millisecond)
	r := call(9, 1, true)
	r.Remaining = time.Minute
	_, err = client.Forward(context.Background(), r)
	require.Equal(t, rosemarysill.Leaving, rosemarysill.CodeOf(err))
	close(release)
	got := map[string]bool{}
	for range 4 {
		got[<-results] = true
	}
	require.Equal(t, map[string]bool{"[0] <nil>": true, "[1] <nil>": true, "[2] <nil>": true, "[3] <nil>": true}, got)
	require.NoError(t, <-served)
}
