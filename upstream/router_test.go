package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// TestCostPerCall guards against store exchanges and forwards that grow beyond
// what the capacity of the store was planned for.
func TestCostPerCall(t *testing.T) {
	cases := map[string]struct {
		idempotent                     bool
		script                         forward
		forwards, writes, reads, grant int
	}{
		"idempotent":                 {true, serves, 50, 0, 0, 0},
		"not idempotent":             {false, serves, 50, 100, 0, 1},
		"refused by one of four":     {false, leavesAt(0), 52, 100, 0, 1}, // once more after 5 s
		"idempotent, lost each time": {true, losesItsAnswer, 50 + 3 + 5, 0, 0, 0},
		"not idempotent, lost":       {false, losesItsAnswer, 50, 100, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 4, func(b *bench) {
				b.fleet.script = c.script
				for range 50 {
					call := b.call()
					call.Idempotent = c.idempotent
					b.entries[0].Call(context.Background(), call)
					advance(100 * time.Millisecond)
				}
				n := b.entries[0].Counts()
				require.Equal(t, []int{c.forwards, c.writes, c.reads, c.grant}, []int{n.Forwards, n.Records.Writes, n.Records.Reads, n.Records.Grants})
			})
		})
	}
}

// leavesAt refuses at one upstream, which has begun to leave but has not
// reported it.
func leavesAt(leaving ...int) forward {
	return func(ctx context.Context, f *fakeFleet, u int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		for _, l := range leaving {
			if u == l {
				return refusesAs(rosemarysill.Leaving)(ctx, f, u, r)
			}
		}
		return servesInAnyOrder(ctx, f, u, r)
	}
}

// TestLeavingDuringLoad guards against calls that fail, run twice or get the
// answer of another call because upstreams leave, one or all of a failure
// domain, while many calls come and answers are reordered.
func TestLeavingDuringLoad(t *testing.T) {
	for name, leaving := range map[string][]int{"one upstream": {1}, "all of a domain": {0, 2}, "all but one": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, 4, func(b *bench) {
				var codes []func() map[rosemarysill.Code]int
				for i, r := range b.entries {
					codes = append(codes, b.start(r, 150, 8*time.Millisecond, func(n int, c *rosemarysill.Call) {
						c.Idempotent, c.Account = n%3 == 0, []string{"Sfax", "Sousse"}[i]
					}))
				}
				advance(100 * time.Millisecond)
				b.fleet.mu.Lock()
				b.fleet.script = leavesAt(leaving...)
				b.fleet.mu.Unlock()
				advance(time.Second) // until the next heartbeats
				b.change(func() {
					for _, u := range leaving {
						b.ups[u].Leaving, b.ups[u].LastHeartbeat = true, time.Now()
					}
				})
				for i, r := range b.entries {
					require.Equal(t, map[rosemarysill.Code]int{rosemarysill.Done: 150}, codes[i]())
					require.LessOrEqual(t, r.Counts().Forwards, 150+4*len(leaving), "refused forwards")
				}
				for id, n := range b.fleet.executions {
					require.Equal(t, 1, n, id)
				}
				require.LessOrEqual(t, b.fleet.most, 4, "two entries have sent more than the slots of both views")
			})
		})
	}
}

// TestRefusedBeforeForward guards against work that begins although the entry
// must not, or cannot, serve it, and against wrong proof for a resent call.
func TestRefusedBeforeForward(t *testing.T) {
	past := func(b *bench) { b.auth.Until = time.Now() }
	cases := map[string]struct {
		auth         func(b *bench)
		call         func(c *rosemarysill.Call)
		want, resent rosemarysill.Code
	}{
		"no authority":            {past, nil, rosemarysill.NotAuthoritative, rosemarysill.OutcomeUnknown},
		"store outage":            {func(b *bench) { b.auth.StoreContact = false }, nil, rosemarysill.StoreUnavailable, rosemarysill.OutcomeUnknown},
		"store contact expired":   {func(b *bench) { b.auth.StoreDeadline = time.Now() }, nil, rosemarysill.StoreUnavailable, rosemarysill.OutcomeUnknown},
		"account not declared":    {nil, func(c *rosemarysill.Call) { c.Account = "Gabès" }, rosemarysill.UnknownAccount, rosemarysill.OutcomeUnknown},
		"domains out":             {func(b *bench) { b.auth.Config.Domains = nil }, nil, rosemarysill.NoUpstream, rosemarysill.NoUpstream},
		"all drained":             {func(b *bench) { b.auth.Config.Drained = []string{"u0", "u1"} }, nil, rosemarysill.NoUpstream, rosemarysill.NoUpstream},
		"deadline passed":         {nil, func(c *rosemarysill.Call) { c.Deadline = time.Now() }, rosemarysill.DeadlineUnmeetable, rosemarysill.OutcomeUnknown},
		"deadline too far":        {nil, func(c *rosemarysill.Call) { c.Deadline = time.Now().Add(31 * time.Minute) }, rosemarysill.InvalidRequest, rosemarysill.OutcomeUnknown},
		"identifier too old":      {nil, shiftID(-31 * time.Minute), rosemarysill.IdentifierExpired, rosemarysill.IdentifierExpired},
		"identifier in future":    {nil, shiftID(31 * time.Minute), rosemarysill.IdentifierExpired, rosemarysill.IdentifierExpired},
		"identifier of version 4": {nil, func(c *rosemarysill.Call) { c.ID[6] = 0x40 }, rosemarysill.IdentifierExpired, rosemarysill.IdentifierExpired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 2, func(b *bench) {
				call := b.call()
				if c.call != nil {
					c.call(&call)
				}
				if c.auth != nil {
					b.change(func() { c.auth(b) })
				}
				for resent, want := range map[bool]rosemarysill.Code{false: c.want, true: c.resent} {
					call.Resent = resent
					a := b.entries[0].Call(context.Background(), call)
					require.Equal(t, want, a.Code, "resent %v: %s", resent, a.Detail)
				}
				require.Zero(t, b.fleet.forwards)
			})
		})
	}
}

func shiftID(by time.Duration) func(c *rosemarysill.Call) {
	return func(c *rosemarysill.Call) {
		ms := uint64(time.Now().Add(by).UnixMilli())
		for i := range 6 {
			c.ID[i] = byte(ms >> (40 - 8*i))
		}
	}
}

// TestAuthorityLostBetweenRecordAndForward guards against a paused entry that
// forwards on old authority after it created the record.
func TestAuthorityLostBetweenRecordAndForward(t *testing.T) {
	inBubble(t, 2, 2, func(b *bench) {
		until := b.auth.Until
		call := b.call()
		go func() {
			advance(500 * time.Microsecond) // while the store writes
			b.change(func() { b.auth.Until = time.Now() })
		}()
		require.Equal(t, rosemarysill.NotAuthoritative, b.entries[0].Call(context.Background(), call).Code)
		require.Zero(t, b.fleet.forwards)
		b.change(func() { b.auth.Until = until })
		require.Equal(t, rosemarysill.Done, b.entries[1].Call(context.Background(), call).Code)
	})
}

// TestWriteRateIsLimited guards against an entry that uses up the store's rate.
func TestWriteRateIsLimited(t *testing.T) {
	inBubble(t, 1, 60, func(b *bench) {
		codes := b.start(b.entries[0], 60, 0, unchanged)()
		require.Equal(t, map[rosemarysill.Code]int{rosemarysill.Done: 50, rosemarysill.Overloaded: 10}, codes)
		require.Equal(t, 100, b.entries[0].Counts().Records.Writes)
	})
}

// TestStoreOutageDelaysNoOthers guards against calls that need no record waiting
// for the store, and against waiting calls that time out one after the other.
func TestStoreOutageDelaysNoOthers(t *testing.T) {
	inBubble(t, 1, 2, func(b *bench) {
		for range 1000 {
			b.faults["Swap"] = append(b.faults["Swap"], loses)
			b.faults["Get"] = append(b.faults["Get"], loses)
			b.faults["Grant"] = append(b.faults["Grant"], loses)
		}
		recorded := b.start(b.entries[0], 40, 0, unchanged)
		others := b.start(b.entries[0], 40, 0, func(_ int, c *rosemarysill.Call) { c.Idempotent = true })
		require.Equal(t, map[rosemarysill.Code]int{rosemarysill.Done: 40}, others())
		require.Equal(t, map[rosemarysill.Code]int{rosemarysill.StoreUnavailable: 40}, recorded())
		require.Equal(t, 40, b.fleet.forwards)
	})
}

// TestCallerGone guards against slots and queue places that are not given back,
// forwards for nobody, and outcomes that are not recorded, when callers hang up.
func TestCallerGone(t *testing.T) {
	cases := map[string]struct {
		after, busy time.Duration // when the caller hangs up; how long the slots are busy before
		idempotent  bool
		want        rosemarysill.Code
		runs        int
		retry       rosemarysill.Code
	}{
		"while the record is written": {500 * time.Microsecond, 0, false, rosemarysill.CancelledUnstarted, 0, rosemarysill.Done},
		"in the queue":                {time.Second, time.Minute, false, rosemarysill.CancelledUnstarted, 0, rosemarysill.DeadlineUnmeetable},
		"in the queue, idempotent":    {time.Second, time.Minute, true, rosemarysill.CancelledUnstarted, 0, rosemarysill.DeadlineUnmeetable},
		"in progress":                 {5 * time.Millisecond, 0, false, rosemarysill.OutcomeUnknown, 1, rosemarysill.Done},
		"in progress, idempotent":     {5 * time.Millisecond, 0, true, rosemarysill.OutcomeUnknown, 1, rosemarysill.Done},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 1, func(b *bench) {
				r := b.entries[0]
				if c.busy > 0 {
					b.change(func() { b.ups[0].FreeSlots, b.ups[0].LastHeartbeat = 0, time.Now().Add(time.Nanosecond) })
				}
				call := b.call()
				call.Idempotent = c.idempotent
				ctx, cancel := context.WithTimeout(context.Background(), c.after)
				defer cancel()
				require.Equal(t, c.want, r.Call(ctx, call).Code)
				advance(100 * time.Millisecond)
				require.Equal(t, c.runs, b.fleet.ran(call.ID))
				require.Zero(t, r.Waiting()+r.InProgress())
				require.Equal(t, c.retry, r.Call(context.Background(), call).Code)
			})
		})
	}
}

// TestShutdownFinishesCalls guards against calls cut off by a planned stop.
func TestShutdownFinishesCalls(t *testing.T) {
	inBubble(t, 0, 1, func(b *bench) {
		ctx, stop := context.WithCancel(context.Background())
		r := b.entry(ctx, 0)
		codes := b.start(r, 6, 0, func(i int, c *rosemarysill.Call) { c.Idempotent = i%2 == 0 }) // two in progress, four waiting
		advance(5 * time.Millisecond)
		stop()
		synctest.Wait()
		require.Equal(t, rosemarysill.ShuttingDown, r.Call(context.Background(), b.call()).Code)
		select {
		case <-r.Done():
			require.Fail(t, "the router has ended before its calls")
		default:
		}
		require.Equal(t, map[rosemarysill.Code]int{rosemarysill.Done: 6}, codes())
		<-r.Done()
	})
}

// TestEachAnswerIsObservedOnce guards against figures that miss refused calls,
// count time in the queue as service, or grow with names that callers make up.
func TestEachAnswerIsObservedOnce(t *testing.T) {
	inBubble(t, 1, 1, func(b *bench) {
		b.start(b.entries[0], 4, 0, func(i int, c *rosemarysill.Call) {
			c.Idempotent = true
			if i == 0 {
				c.Account = "made up"
			}
		})()
		require.ElementsMatch(t, []string{" UnknownAccount 0s 0s", "Sfax Done 0s 10ms", "Sfax Done 0s 10ms", "Sfax Done 10ms 20ms"}, b.observed)
	})
}
