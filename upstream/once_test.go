package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/record"
	"github.com/stretchr/testify/require"
)

// TestRetryAtAnotherEntryRunsOnce guards against a second execution, and
// against "not run" for a call that ran, when something is lost at any step of
// a call and the caller asks again at another entry with the same identifier.
func TestRetryAtAnotherEntryRunsOnce(t *testing.T) {
	lost := []storeFault{losesAnswer}
	down := []storeFault{loses, loses, loses, loses, loses, loses}
	cases := map[string]struct {
		script      forward
		swap, get   []storeFault
		first, then rosemarysill.Code
		runs        int
		settled     rosemarysill.Code // a third sending, after the records were put right
	}{
		"nothing lost":                    {serves, nil, nil, rosemarysill.Done, rosemarysill.Done, 1, rosemarysill.Done},
		"answer lost after forward":       {losesItsAnswer, nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 1, rosemarysill.OutcomeUnknown},
		"answer lost on create":           {serves, lost, nil, rosemarysill.Done, rosemarysill.Done, 1, rosemarysill.Done},
		"create has no effect":            {serves, []storeFault{loses}, nil, rosemarysill.Done, rosemarysill.Done, 1, rosemarysill.Done},
		"create takes effect late":        {serves, []storeFault{delays}, nil, rosemarysill.Done, rosemarysill.Done, 1, rosemarysill.Done},
		"create lost and not readable":    {serves, lost, []storeFault{loses}, rosemarysill.StoreUnavailable, rosemarysill.OutcomeUnknown, 0, rosemarysill.Done},
		"create late and not readable":    {serves, []storeFault{delays}, []storeFault{loses}, rosemarysill.StoreUnavailable, rosemarysill.Done, 1, rosemarysill.Done},
		"store refuses create":            {serves, []storeFault{refuses}, nil, rosemarysill.Overloaded, rosemarysill.Done, 1, rosemarysill.Done},
		"store down on retry too":         {losesItsAnswer, append([]storeFault{works, works}, down...), down, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 1, rosemarysill.OutcomeUnknown},
		"outcome write lost":              {serves, []storeFault{works, losesAnswer}, nil, rosemarysill.Done, rosemarysill.Done, 1, rosemarysill.Done},
		"outcome write without effect":    {serves, []storeFault{works, loses}, nil, rosemarysill.Done, rosemarysill.OutcomeUnknown, 1, rosemarysill.Done},
		"upstream reports failure":        {refusesAs(rosemarysill.UpstreamFailed), nil, nil, rosemarysill.UpstreamFailed, rosemarysill.UpstreamFailed, 0, rosemarysill.UpstreamFailed},
		"refused for good, then again":    {refusesAs(rosemarysill.TooLarge), nil, nil, rosemarysill.TooLarge, rosemarysill.TooLarge, 0, rosemarysill.TooLarge},
		"take-over answer lost":           {refusesAs(rosemarysill.TooLarge), []storeFault{works, works, losesAnswer}, nil, rosemarysill.TooLarge, rosemarysill.TooLarge, 0, rosemarysill.TooLarge},
		"answer of another call":          {mixesUp, nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 1, rosemarysill.OutcomeUnknown},
		"answer too large to carry":       {answersWith(16<<20 + 1), nil, nil, rosemarysill.AnswerTooLarge, rosemarysill.AnswerTooLarge, 1, rosemarysill.AnswerTooLarge},
		"answer too large for its record": {answersWith(64<<10 + 1), nil, nil, rosemarysill.Done, rosemarysill.AnswerTooLarge, 1, rosemarysill.AnswerTooLarge},
		"agent dies during the call":      {diesAfter(3 * time.Second), nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 1, rosemarysill.OutcomeUnknown},
		"answer just after the deadline":  {travelsLate, nil, nil, rosemarysill.Done, rosemarysill.OutcomeUnknown, 1, rosemarysill.Done},
		"agent never answers":             {diesAfter(time.Hour), nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 1, rosemarysill.OutcomeUnknown},
		"agent answers without a truth":   {refusesAs(rosemarysill.InternalError), nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 0, rosemarysill.OutcomeUnknown},
		"agent claims Done with an error": {refusesAs(rosemarysill.Done), nil, nil, rosemarysill.OutcomeUnknown, rosemarysill.OutcomeUnknown, 0, rosemarysill.OutcomeUnknown},
		"refused as stale four times":     {refusesAs(rosemarysill.StaleConfiguration), nil, nil, rosemarysill.StaleConfiguration, rosemarysill.StaleConfiguration, 0, rosemarysill.StaleConfiguration},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, 5, func(b *bench) {
				b.fleet.script = c.script
				b.faults["Swap"], b.faults["Get"] = c.swap, c.get
				call := b.call()
				call.Deadline = time.Now().Add(time.Minute)
				first := b.entries[0].Call(context.Background(), call)
				require.Equal(t, c.first, first.Code, first.Detail)
				call.Resent = true
				then := b.entries[1].Call(context.Background(), call)
				require.Equal(t, c.then, then.Code, then.Detail)
				advance(15 * time.Second)
				b.change(func() { clear(b.faults) })
				call.Deadline = time.Now().Add(time.Minute)
				third := b.entries[0].Call(context.Background(), call)
				require.Equal(t, c.settled, third.Code, third.Detail)
				if c.first == rosemarysill.Done && c.then == rosemarysill.Done {
					require.Equal(t, first.Body, then.Body)
				}
				require.LessOrEqual(t, b.fleet.ran(call.ID), 1)
				for _, r := range b.entries {
					require.LessOrEqual(t, r.Counts().Records.Writes, 12, "store writes")
				}
			})
		})
	}
}

// TestUnreadableRecordProvesNothing guards against "not run" for a call that an
// unmarked duplicate finds recorded but cannot read, and against calls that are
// refused for ever because a lease is gone.
func TestUnreadableRecordProvesNothing(t *testing.T) {
	inBubble(t, 2, 1, func(b *bench) {
		call := b.call()
		require.Equal(t, rosemarysill.Done, b.entries[0].Call(context.Background(), call).Code)
		b.change(func() { b.faults["Get"] = []storeFault{loses} })
		require.Equal(t, rosemarysill.OutcomeUnknown, b.entries[1].Call(context.Background(), call).Code)
		changed := call
		changed.Body = []byte("flipper")
		require.Equal(t, rosemarysill.IdentifierReused, b.entries[1].Call(context.Background(), changed).Code)
		b.store.leases[0] = time.Now() // the next record needs another one
		other := b.call()
		require.Equal(t, rosemarysill.Done, b.entries[0].Call(context.Background(), other).Code)
		b.store.items[record.Key(other)] = rosemarysill.Item{Value: []byte("{"), Version: 9}
		require.Equal(t, rosemarysill.OutcomeUnknown, b.entries[1].Call(context.Background(), other).Code)
		require.Equal(t, 1, b.fleet.ran(other.ID))
	})
}

// TestRecordOutlivesItsIdentifier guards against a late retry that finds no
// record and runs again, also when the record hangs on a lease that was granted
// for an earlier one and the retry's entry has a clock that is behind; and
// against records that are never deleted.
func TestRecordOutlivesItsIdentifier(t *testing.T) {
	for name, age := range map[string]time.Duration{"new lease": 0, "lease of an earlier record": 59 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 1, func(b *bench) {
				const memory, behind = time.Hour, 50 * time.Second
				b.tick = time.Minute
				ctx, stop := context.WithCancel(context.Background())
				second := b.entry(ctx, behind)
				b.entries[0].Call(ctx, b.call())
				advance(age)
				call := b.call()
				shiftID(memory / 2)(&call) // as early as it is honoured
				call.Deadline = time.Now().Add(time.Second)
				require.Equal(t, rosemarysill.Done, b.entries[0].Call(ctx, call).Code)
				honoured := 0
				for begin := time.Now(); time.Since(begin) <= memory+behind; advance(10 * time.Second) {
					call.Deadline = time.Now().Add(time.Second)
					if a := second.Call(ctx, call); a.Code != rosemarysill.IdentifierExpired {
						require.Equal(t, "run 1 of coil", string(a.Body))
						honoured++
					}
				}
				require.Greater(t, honoured, 355)
				advance(3 * time.Minute)
				require.Zero(t, b.store.live(record.Key(call)).Version)
				stop()
				<-second.Done()
			})
		})
	}
}

func mixesUp(_ context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	a := f.run(r)
	a.ID = uuid.Max
	return a, nil
}

func answersWith(size int) forward {
	return func(_ context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		a := f.run(r)
		a.Body = make([]byte, size)
		return a, nil
	}
}

// travelsLate answers in time with an answer that arrives after the deadline.
func travelsLate(ctx context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	a := f.run(r)
	select {
	case <-time.After(r.Remaining + 100*time.Millisecond):
		return a, nil
	case <-ctx.Done():
		return rosemarysill.Answer{}, ctx.Err()
	}
}

func diesAfter(d time.Duration) forward {
	return func(ctx context.Context, f *fakeFleet, _ int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		f.run(r)
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		<-ctx.Done()
		return rosemarysill.Answer{}, ctx.Err()
	}
}

// sending is one sending of an identifier in a history.
type sending struct {
	id     uuid.UUID
	resent bool
}

// onceModel is a register of calls. The state is "" before the call runs, its
// answer after that, and "?" when it ran with an answer that nobody has seen.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[uuid.UUID][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(sending).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		s, a := state.(string), output.(rosemarysill.Answer)
		switch a.Code.Truth() {
		case rosemarysill.TruthDone:
			if s == "" || s == "?" || s == string(a.Body) {
				return []any{string(a.Body)}
			}
		case rosemarysill.TruthNotRun:
			if s == "" {
				return []any{s}
			}
		case rosemarysill.TruthUnknown:
			if s == "" {
				return []any{"", "?"}
			}
			return []any{s}
		}
		return nil
	},
}

// TestAtMostOnceUnderFaults guards against two executions of an identifier and
// against answers that contradict each other, with faults of store and agents
// at random and several sendings of each identifier, some at the same time.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, 3, 4, func(b *bench) { onceHistory(t, b, seeded(seed)) })
		})
	}
}

func onceHistory(t *testing.T, b *bench, rnd *rand.Rand) {
	begin := time.Now()
	var mu sync.Mutex // guards rnd and history
	chance := func(percent int) bool {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(100) < percent
	}
	refusals := []forward{refusesAs(rosemarysill.Leaving), refusesAs(rosemarysill.NoCapacity), refusesAs(rosemarysill.Unreachable)}
	b.fleet.script = func(ctx context.Context, f *fakeFleet, u int, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
		switch {
		case chance(15):
			return losesItsAnswer(ctx, f, u, r)
		case chance(25):
			return refusals[u%len(refusals)](ctx, f, u, r)
		}
		return serves(ctx, f, u, r)
	}
	for _, op := range []string{"Swap", "Get", "Grant"} {
		for range 60 {
			f := works
			if chance(25) {
				f = storeFault(rnd.IntN(5))
			}
			b.faults[op] = append(b.faults[op], f)
		}
	}
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range 12 {
		call := b.call()
		for copies := range 1 + client%2 { // some are duplicated on the way
			wg.Go(func() {
				for n := range 4 {
					sent := call
					sent.Resent = n > 0 || copies > 0 || client%2 == 1
					sent.Deadline = time.Now().Add(2 * time.Second)
					started := time.Since(begin)
					a := b.entries[(client+n+copies)%len(b.entries)].Call(context.Background(), sent)
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: 2*client + copies, Input: sending{call.ID, sent.Resent}, Output: a,
						Call: int64(started), Return: int64(time.Since(begin)),
					})
					mu.Unlock()
					advance(time.Duration(client*37+n*411) * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	for _, op := range history {
		id := op.Input.(sending).id
		require.LessOrEqual(t, b.fleet.ran(id), 1, "identifier %s ran more than once", id)
		a := op.Output.(rosemarysill.Answer)
		require.False(t, a.Code == rosemarysill.Done && !strings.HasPrefix(string(a.Body), "run 1"), "answer %q", a.Body)
	}
	require.True(t, porcupine.CheckOperations(onceModel.ToModel(), history), "the answers contradict each other")
}
