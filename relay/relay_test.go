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
	"testing/synctest"
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

// stub answers calls with a fixed code.
type stub struct {
	queue.Jobs
	code   rosemarysill.Code
	config queue.ConfigID
	cutOff bool    // from the store
	raised *uint64 // revision that RaiseMinRevision was called with
	least  *uint64 // MinRevision of the last call
	marked bool    // refusals leave a mark

	state    work.State  // answer to Status
	known    work.State  // of the job, by the records of the entry
	recorded *work.State // state that RecordState was called with
}

func (s stub) answer(c queue.Call) error {
	if c.DecidedBy != nil {
		*c.DecidedBy = s.config
	}
	if s.least != nil {
		*s.least = c.MinRevision
	}
	if s.code == rosemarysill.Done {
		return nil
	}
	if s.marked && c.Marked != nil {
		*c.Marked = true
	}
	return rosemarysill.NewError(s.code, "test")
}

func (s stub) Submit(_ context.Context, c queue.Call, _ func() (*work.Job, error)) error {
	return s.answer(c)
}

func (s stub) Cancel(_ context.Context, c queue.Call) error { return s.answer(c) }

func (s stub) Status(_ context.Context, c queue.Call) (queue.Status, error) {
	return queue.Status{State: s.state}, s.answer(c)
}

func (s stub) StoreReachable() bool { return !s.cutOff }

func (s stub) StoreContactAge() time.Duration { return time.Millisecond }

func (s stub) ConfigID() queue.ConfigID { return s.config }

func (s stub) MinRevision() uint64 { return s.config.Revision }

func (s stub) RecordState(_ queue.Call, state work.State) {
	if s.recorded != nil {
		*s.recorded = state
	}
}

func (s stub) FinalState(queue.Call) (work.State, bool) { return s.known, s.known.Final() }

func (s stub) RaiseMinRevision(revision uint64) {
	if s.raised != nil {
		*s.raised = revision
	}
}

// newRelay returns the relay of an entry, and starts the server of a peer.
func newRelay(t *testing.T, local, peer relay.Local, m *meter.Meter, log zerolog.Logger) *relay.Relay {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	relay.Register(server, peer, nil)
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

// Guards against an unknown outcome of a submission that a peer has refused for good: the
// mark that it has left makes the write of this entry fail, if it comes late.
func TestMarkedRefusalStands(t *testing.T) {
	for name, tc := range map[string]struct {
		peer stub
		want rosemarysill.Code
	}{
		"marked":     {stub{code: rosemarysill.Overloaded, marked: true}, rosemarysill.Overloaded},
		"not marked": {stub{code: rosemarysill.Overloaded}, rosemarysill.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, stub{code: rosemarysill.OutcomeUnknown}, tc.peer, nil, zerolog.Nop())
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			err := r.Submit(context.Background(), call, func() (*work.Job, error) { return &work.Job{}, nil })
			require.Equal(t, tc.want, rosemarysill.CodeOf(err))
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

// Guards against an answer without effect that an entry with an older configuration has
// decided, also if that entry does not check the revision, and against the loss of an
// effect that such an entry has had.
func TestAnswerByOtherConfiguration(t *testing.T) {
	for name, tc := range map[string]struct {
		peer       stub
		wantState  rosemarysill.Code
		wantCancel rosemarysill.Code
		wantRaised uint64
	}{
		"refused by an older one":     {stub{code: rosemarysill.UnknownQueue, config: queue.ConfigID{Revision: 6}}, rosemarysill.StaleConfiguration, rosemarysill.StaleConfiguration, 0},
		"key unknown to an older one": {stub{code: rosemarysill.UnknownAccount, config: queue.ConfigID{Revision: 6}}, rosemarysill.StaleConfiguration, rosemarysill.StaleConfiguration, 0},
		"allowed by an older one":     {stub{code: rosemarysill.Done, config: queue.ConfigID{Revision: 6}}, rosemarysill.StaleConfiguration, rosemarysill.Done, 6},
		"refused by the same one":     {stub{code: rosemarysill.UnknownQueue, config: queue.ConfigID{Revision: 7}}, rosemarysill.UnknownQueue, rosemarysill.UnknownQueue, 7},
		"refused by a newer one":      {stub{code: rosemarysill.UnknownQueue, config: queue.ConfigID{Revision: 8}}, rosemarysill.UnknownQueue, rosemarysill.UnknownQueue, 8},
		"allowed by a newer one":      {stub{code: rosemarysill.Done, config: queue.ConfigID{Revision: 8}}, rosemarysill.Done, rosemarysill.Done, 8},
	} {
		t.Run(name, func(t *testing.T) {
			var raised, least uint64
			tc.peer.least = &least
			local := stub{code: rosemarysill.StaleConfiguration, config: queue.ConfigID{Revision: 7}, cutOff: true, raised: &raised}
			r := newRelay(t, local, tc.peer, nil, zerolog.Nop())
			c := queue.Call{Path: "/q/0000000000000001", Deadline: time.Now().Add(20 * time.Second)}
			_, err := r.Status(context.Background(), c)
			require.Equal(t, tc.wantState, rosemarysill.CodeOf(err))
			require.Equal(t, tc.wantCancel, rosemarysill.CodeOf(r.Cancel(context.Background(), c)))
			require.Equal(t, tc.wantRaised, raised)
			require.EqualValues(t, 7, least, "the peer checks the revision before the call has an effect")
		})
	}
}

// Guards against a job that is reported as running after it was reported as completed,
// because another entry with older records answers.
func TestFinalStateStands(t *testing.T) {
	for name, tc := range map[string]struct {
		peer, known, want, wantRecorded work.State
	}{
		"the peer is behind": {work.Running, work.Completed, work.Completed, ""},
		"the peer is ahead":  {work.Completed, work.Running, work.Completed, work.Completed},
		"in progress":        {work.Running, work.Queued, work.Running, work.Running},
	} {
		t.Run(name, func(t *testing.T) {
			var recorded work.State
			r := newRelay(t, stub{cutOff: true, known: tc.known, recorded: &recorded}, stub{state: tc.peer}, nil, zerolog.Nop())
			got, err := r.Status(context.Background(), queue.Call{Path: "/q/0000000000000001", Deadline: time.Now().Add(20 * time.Second)})
			require.NoError(t, err)
			require.Equal(t, queue.Status{State: tc.want}, got)
			require.Equal(t, tc.wantRecorded, recorded)
		})
	}
}

// slowBody is an entry that writes a job to the store after its body has arrived.
type slowBody struct{ stub }

func (s slowBody) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	if _, err := decode(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the write was cut off")
	}
	return s.answer(c)
}

// Guards against a body that arrives slowly, but within the time of its caller, and uses up
// the time of the attempt to write the job. The entry would answer 504 or forward the call.
func TestSlowBodyLeavesTimeToWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := relay.New(relay.Config{Name: "this", Local: slowBody{}, Log: zerolog.Nop(), Peers: func() []relay.Peer { return nil }})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		deadline, _ := ctx.Deadline()
		err := r.Submit(ctx, queue.Call{Path: "/q/1", Deadline: deadline}, func() (*work.Job, error) {
			time.Sleep(2800 * time.Millisecond)
			return &work.Job{}, nil
		})
		require.NoError(t, err)
	})
}

// stuckStore is an entry whose write to the store gets no reply.
type stuckStore struct{ stub }

func (stuckStore) Submit(ctx context.Context, _ queue.Call, decode func() (*work.Job, error)) error {
	_, _ = decode()
	<-ctx.Done()
	return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "no reply")
}

// Guards against a write without a reply that takes all the time of a call, so that no other
// entry is asked.
func TestAttemptIsBoundedAfterBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := relay.New(relay.Config{Name: "this", Local: stuckStore{}, Log: zerolog.Nop(), Peers: func() []relay.Peer { return nil }})
		start := time.Now()
		err := r.Submit(t.Context(), queue.Call{Path: "/q/1", Deadline: start.Add(3 * time.Second)}, func() (*work.Job, error) {
			time.Sleep(time.Second)
			return &work.Job{}, nil
		})
		require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err))
		require.Less(t, time.Since(start), 2*time.Second)
	})
}

// repeatedPeer records whether a call has said that it was tried before.
type repeatedPeer struct {
	stub
	repeated *bool
}

func (p repeatedPeer) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	*p.repeated = c.Repeated
	return p.stub.Submit(ctx, c, decode)
}

// Guards against a repetition that replaces the mark of a later refusal because it is taken
// for a new try of the caller, and against a new try that is refused as a repetition because
// it reaches an entry without contact with the store.
func TestRepeatedCallSaysSo(t *testing.T) {
	for name, tc := range map[string]struct {
		local stub
		want  bool
	}{
		"tried here before": {stub{code: rosemarysill.StoreUnavailable}, true},
		"not tried here":    {stub{cutOff: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			repeated := !tc.want
			r := newRelay(t, tc.local, repeatedPeer{stub{}, &repeated}, nil, zerolog.Nop())
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			require.NoError(t, r.Submit(context.Background(), call, func() (*work.Job, error) { return &work.Job{}, nil }))
			require.Equal(t, tc.want, repeated)
		})
	}
}

// markingEntry records what it is told of earlier attempts of a submission, and answers that
// it has found a mark.
type markingEntry struct {
	stub
	found uint64
	told  *queue.Call
}

func (e markingEntry) Submit(_ context.Context, c queue.Call, _ func() (*work.Job, error)) error {
	*e.told = c
	*c.FoundMark = e.found
	return e.answer(c)
}

// Guards against a job that is refused because of a mark that an earlier attempt of the same
// call has found, and against a later mark that the last attempt, at this entry, replaces.
func TestRepetitionHasTheMarkOfEarlierAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		local, peer markingEntry
		toldLocal   queue.Call // Repeated and MarkVersion
		toldPeer    queue.Call
	}{
		"first at this entry": {
			local:    markingEntry{stub: stub{code: rosemarysill.OutcomeUnknown}, found: 7},
			peer:     markingEntry{stub: stub{code: rosemarysill.Done}},
			toldPeer: queue.Call{Repeated: true, MarkVersion: 7},
		},
		"first at the peer": {
			local:     markingEntry{stub: stub{cutOff: true}},
			peer:      markingEntry{stub: stub{code: rosemarysill.StoreUnavailable}, found: 9},
			toldLocal: queue.Call{Repeated: true, MarkVersion: 9},
		},
		"no mark": {
			local:     markingEntry{stub: stub{cutOff: true}},
			peer:      markingEntry{stub: stub{code: rosemarysill.StoreUnavailable}},
			toldLocal: queue.Call{Repeated: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var toldLocal, toldPeer queue.Call
			tc.local.told, tc.peer.told = &toldLocal, &toldPeer
			r := newRelay(t, tc.local, tc.peer, nil, zerolog.Nop())
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			require.NoError(t, r.Submit(t.Context(), call, func() (*work.Job, error) { return &work.Job{}, nil }))
			require.Equal(t, tc.toldLocal, queue.Call{Repeated: toldLocal.Repeated, MarkVersion: toldLocal.MarkVersion})
			require.Equal(t, tc.toldPeer, queue.Call{Repeated: toldPeer.Repeated, MarkVersion: toldPeer.MarkVersion})
		})
	}
}
