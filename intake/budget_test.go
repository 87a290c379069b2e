package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// shareAt returns a share that has received n bytes between two times after epoch.
func shareAt(b *budget, n int64, began, last time.Duration) *share {
	s := newShare(func() {})
	s.begin(epoch.Add(began))
	if n > 0 {
		b.draw(s, n, epoch.Add(last))
	}
	return s
}

// Guards against a budget that ordinary requests cannot get memory from beside bodies
// that have stopped arriving, and against one that drops a body that arrives well.
func TestWhichBodyGivesWay(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		first, second func(*budget) *share
		now           time.Duration
		want          int // of the two that gives way; 2 for the body that draws
	}{
		"stalled before slow": {
			func(b *budget) *share { return shareAt(b, 500, 0, 0) },
			func(b *budget) *share { return shareAt(b, 500, 0, 950*ms) }, 1000 * ms, 0},
		"least progress of two stalled": {
			func(b *budget) *share { return shareAt(b, 400, 0, 100*ms) },
			func(b *budget) *share { return shareAt(b, 600, 0, 100*ms) }, 1000 * ms, 0},
		"older of two equal ones": {
			func(b *budget) *share { return shareAt(b, 500, 500*ms, 510*ms) },
			func(b *budget) *share { return shareAt(b, 500, 0, 510*ms) }, 1000 * ms, 1},
		"drawing body has the least progress": {
			func(b *budget) *share { return shareAt(b, 500, 990*ms, 990*ms) },
			func(b *budget) *share { return shareAt(b, 500, 990*ms, 990*ms) }, 1000 * ms, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBudget(1000)
			shares := []*share{c.first(b), c.second(b), shareAt(b, 0, c.now, c.now)}
			dropped, ok := b.draw(shares[2], 100, epoch.Add(c.now))
			require.Equal(t, c.want != 2, ok)
			for i, s := range shares {
				require.Equal(t, i == c.want, s.dropped.Load(), i)
			}
			if ok {
				require.Equal(t, []*share{shares[c.want]}, dropped)
			}
		})
	}
}

// Guards against a request in progress whose body is dropped, and against a dropped body
// that holds memory again.
func TestExecutedBodiesAreKept(t *testing.T) {
	b := newBudget(100)
	complete := shareAt(b, 90, 0, 0)
	require.True(t, b.execute(complete))
	late := shareAt(b, 0, time.Hour, time.Hour)
	dropped, ok := b.draw(late, 20, epoch.Add(time.Hour))
	require.Empty(t, dropped)
	require.False(t, ok)
	_, ok = b.draw(late, 1, epoch.Add(time.Hour))
	require.False(t, ok)
	b.release(complete)
	require.EqualValues(t, 100, b.free)
}

// Guards against a connection of long standing whose message is dropped because of the
// time for which it had none.
func TestAgeBeginsWithTheFirstBytes(t *testing.T) {
	b := newBudget(100)
	agent := shareAt(b, 10, 0, 0)
	b.giveBack(agent, 10)
	slow := shareAt(b, 40, time.Hour-time.Second, time.Hour)
	b.draw(agent, 50, epoch.Add(time.Hour))
	dropped, ok := b.draw(shareAt(b, 0, time.Hour, time.Hour), 50, epoch.Add(time.Hour))
	require.True(t, ok)
	require.Equal(t, []*share{slow}, dropped)
}

// Guards against a budget that is exceeded, or that loses bytes, by any sequence of
// bodies that arrive, end, are dropped and are released: a dropped body holds its memory
// until its reader has returned it. Also guards against a body that waits for ever.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1000
		b := newBudget(size)
		now := epoch
		var all []*share
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				s := newShare(func() {})
				s.begin(now)
				all = append(all, s)
			}
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "share")]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				if s.wanted == 0 { // its reader waits otherwise
					b.release(s)
				}
			case 1:
				if s.wanted == 0 {
					b.execute(s)
				}
			default:
				if s.wanted == 0 {
					held := s.held
					n := int64(rapid.IntRange(1, 400).Draw(t, "bytes"))
					_, ok := b.draw(s, n, now)
					require.Equal(t, ok, !s.dropped.Load())
					require.True(t, s.held == held || s.held == held+n && ok)
				}
			}
			var held, returning, wanted int64
			for _, s := range all {
				held += s.held
				wanted += s.wanted
				if s.dropped.Load() {
					returning += s.held
					require.Zero(t, s.wanted)
				}
			}
			require.GreaterOrEqual(t, b.free, int64(0))
			require.EqualValues(t, size, b.free+held)
			require.EqualValues(t, []int64{returning, wanted}, []int64{b.returning, b.wanted})
			require.LessOrEqual(t, wanted, b.free+returning, "a body waits for bytes that nobody returns")
		}
		for _, s := range all {
			if s.dropped.Load() {
				b.release(s)
			}
		}
		require.Zero(t, b.wanted)
		require.Zero(t, b.waiting.Len())
	})
}

// Guards against the memory of a dropped body that is given to another before its reader has
// returned it.
func TestDroppedBodyCountsUntilReturned(t *testing.T) {
	b := newBudget(100)
	first := shareAt(b, 100, 0, 0)
	second := shareAt(b, 0, time.Second, time.Second)
	dropped, ok := b.draw(second, 60, epoch.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, []*share{first}, dropped)
	require.EqualValues(t, 100, first.held)
	require.Zero(t, second.held)
	require.Empty(t, second.ready)
	b.release(first)
	require.EqualValues(t, 60, second.held)
	require.Len(t, second.ready, 1)
}

// Guards against work under the lock of a process that grows with the bodies that arrive.
func TestDrawComparesFewBodies(t *testing.T) {
	const bodies = 1000
	b := newBudget(bodies)
	shares := make([]*share, bodies)
	for i := range shares {
		shares[i] = shareAt(b, 1, time.Duration(bodies-i)*time.Millisecond, 2*time.Second) // the last one has the lowest rate
	}
	dropped, ok := b.draw(shareAt(b, 0, 3*time.Second, 3*time.Second), 1, epoch.Add(3*time.Second))
	require.True(t, ok)
	require.Len(t, dropped, 1)
	require.Contains(t, shares[:maxCandidates], dropped[0])
}
