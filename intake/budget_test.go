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
	s := &share{}
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
				require.Equal(t, i == c.want, s.dropped, i)
			}
			if ok {
				require.Equal(t, []*share{shares[c.want]}, dropped)
			}
		})
	}
}

// Guards against a request in progress whose body is dropped, and against a dropped body
// that holds memory again.
func TestCompleteBodiesAreKept(t *testing.T) {
	b := newBudget(100)
	complete := shareAt(b, 90, 0, 0)
	complete.complete = true
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
// bodies that arrive, end and are dropped.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1000
		b := newBudget(size)
		now := epoch
		var all []*share
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				s := &share{}
				s.begin(now)
				all = append(all, s)
			}
			s := all[rapid.IntRange(0, len(all)-1).Draw(t, "share")]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				b.release(s)
			case 1:
				s.complete = true
			default:
				b.draw(s, int64(rapid.IntRange(0, 400).Draw(t, "bytes")), now)
			}
			var held int64
			for _, s := range all {
				require.False(t, s.dropped && s.held > 0)
				held += s.held
			}
			require.GreaterOrEqual(t, b.free, int64(0))
			require.EqualValues(t, size, b.free+held)
		}
	})
}
