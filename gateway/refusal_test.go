package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// maxNestedCalls bounds the calls of a caller that are in progress beside each other.
const maxNestedCalls = 3

// refusalHistory makes random calls about one job, with random faults of the store, and looks
// for a write that is carried out although a refusal has ruled it out.
type refusalHistory struct {
	*rand.Rand
	store   *standin.Transactions
	config  Config
	nested  int
	calls   int
	late    []lateWrite
	refused int          // number of writes that were sent before the latest refusal that rules them all out
	sent    int          // number of writes
	ended   map[int]bool // calls that were refused without a mark, which rules out their own writes
	failure string       // the first one
	marked  int          // number of refusals that rule all earlier writes out
	dead    int          // number of late writes that were ruled out and had no effect
}

// lateWrite is a commit without a reply that may still be carried out.
type lateWrite struct {
	commit rosemarysill.Commit
	call   int
	sent   int // order of the writes
}

// refusalStore is the store of one call.
type refusalStore struct {
	rosemarysill.TransactionalStore
	h    *refusalHistory
	call int
}

func (s *refusalStore) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	h := s.h
	if h.nested < maxNestedCalls && h.IntN(6) == 0 {
		h.step()
	}
	h.sent++
	c.Guards = slices.Clone(c.Guards)
	switch h.IntN(5) {
	case 0: // the reply is lost
		_, _, _ = s.TransactionalStore.Commit(ctx, c)
		return 0, nil, rosemarysill.ErrStoreUnavailable
	case 1:
		h.late = append(h.late, lateWrite{c, s.call, h.sent})
		return 0, nil, rosemarysill.ErrStoreUnavailable
	case 2:
		return 0, nil, rosemarysill.ErrStoreRefused
	}
	return s.TransactionalStore.Commit(ctx, c)
}

func (h *refusalHistory) fail(format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf(format, args...)
	}
}

// recorded reports whether the job is on record.
func (h *refusalHistory) recorded() bool { return len(h.store.Keys(jobstore.JobKey(""))) > 0 }

// step makes a call, or carries out a late write.
func (h *refusalHistory) step() {
	switch h.IntN(4) {
	case 0:
		h.carryOutLate()
	case 1:
		h.cancel()
	default:
		h.submit()
	}
}

func (h *refusalHistory) carryOutLate() {
	if len(h.late) == 0 {
		return
	}
	i := h.IntN(len(h.late))
	w := h.late[i]
	h.late = slices.Delete(h.late, i, i+1)
	before := h.recorded()
	_, _, _ = h.store.View("late").Commit(context.Background(), w.commit) // a late commit answers nobody
	ruledOut := w.sent <= h.refused || h.ended[w.call]
	switch {
	case before:
	case ruledOut && h.recorded():
		h.fail("write %d of call %d records the job; refusals have ruled out those up to %d, and those of the calls %v", w.sent, w.call, h.refused, h.ended)
	case ruledOut:
		h.dead++
	}
}

// entry returns an entry for one attempt of a call. A full one refuses all jobs.
func (h *refusalHistory) entry(call int, full bool) *Gateway {
	cfg := h.config
	cfg.Store = &refusalStore{h.store.View("entry"), h, call}
	g := New(cfg)
	if full {
		g.cfg.MaxJobs = -1
	}
	return g
}

// submit makes a call to hand the job in, at up to three entries as package relay does.
func (h *refusalHistory) submit() {
	h.nested++
	defer func() { h.nested-- }()
	h.calls++
	call := h.calls
	c := testCall(nil)
	uncertain := false
	for range 1 + h.IntN(3) {
		var marked bool
		var found uint64
		c.Marked, c.FoundMark, c.Deadline = &marked, &found, time.Now().Add(200*time.Millisecond)
		g := h.entry(call, h.IntN(3) == 0)
		err := g.Submit(context.Background(), c, func() (*work.Job, error) { return testJob(), nil })
		code := rosemarysill.CodeOf(err)
		uncertain = uncertain || code.Truth() == rosemarysill.TruthUnknown
		c.Repeated = true
		if found != 0 {
			c.MarkVersion = found
		}
		switch {
		case code == rosemarysill.OutcomeUnknown, code == rosemarysill.StoreUnavailable:
			continue // at another entry
		case code.Truth() == rosemarysill.TruthNotRun:
			h.refuse(call, marked, uncertain)
		}
		return
	}
	if !uncertain {
		h.refuse(call, false, false)
	}
}

// refuse records that a call is answered as not run.
func (h *refusalHistory) refuse(call int, marked, uncertain bool) {
	switch {
	case marked:
		h.refused, h.marked = h.sent, h.marked+1
		if h.recorded() {
			h.fail("call %d is refused, and the job is on record", call)
		}
	case !uncertain:
		h.ended[call] = true
	}
}

// cancel makes a call to cancel the job.
func (h *refusalHistory) cancel() {
	h.nested++
	defer func() { h.nested-- }()
	h.calls++
	c := testCall(nil)
	c.Deadline = time.Now().Add(200 * time.Millisecond)
	if err := h.entry(h.calls, false).Cancel(context.Background(), c); rosemarysill.CodeOf(err) == rosemarysill.UnknownJob {
		h.refuse(h.calls, true, false)
	}
}

// Guards, for random calls that overlap at several entries and random faults of the store,
// against a job that is recorded by a write from before a refusal that has ruled it out.
func TestRefusalsRuleOutEarlierWrites(t *testing.T) {
	var refusals, late int
	rapid.Check(t, func(rt *rapid.T) {
		h := &refusalHistory{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), ended: make(map[int]bool)}
		synctest.Test(t, func(*testing.T) { h.play() })
		if h.failure != "" {
			rt.Fatal(h.failure)
		}
		refusals, late = refusals+h.marked, late+h.dead
	})
	require.NotZero(t, refusals, "confirmed refusals")
	require.NotZero(t, late, "late writes that a refusal has ruled out")
}

// play makes calls until the job is on record.
func (h *refusalHistory) play() {
	h.store = standin.NewTransactions()
	g, _ := markedEntry(h.store)
	h.config = g.cfg
	for range 1 + h.IntN(25) {
		if h.recorded() {
			return
		}
		h.step()
	}
	for len(h.late) > 0 && !h.recorded() {
		h.carryOutLate()
	}
}
