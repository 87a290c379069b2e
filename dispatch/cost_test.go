package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// loaded returns a state at the size of a deployment: 11 upstreams of 8 slots,
// all busy, and calls of 91 accounts waiting.
func loaded() (*bed, []rosemarysill.UpstreamState) {
	l := DefaultLimits()
	l.Queued = 100_000
	var ups []rosemarysill.UpstreamState
	for i := range 11 {
		ups = append(ups, up(fmt.Sprintf("u%02d", i), 8, start))
	}
	b := newBed(l, ups...)
	for i := range 88 + 91*10 {
		b.arrive(fmt.Sprint("account ", i%91), rosemarysill.Classes()[i%3], time.Hour)
	}
	return b, ups
}

// cycle is one heartbeat's view, one arrival, and one answer with the dispatch
// that follows.
func cycle(b *bed, ups []rosemarysill.UpstreamState) {
	b.do(Reported{Upstreams: ups})
	b.arrive("account 7", rosemarysill.Normal, time.Hour)
	b.finish(b.sends[0].Ticket, rosemarysill.Done, time.Millisecond)
	b.sends = b.sends[1:]
}

// TestCostOfDecisions guards against work per call that grows with the number of
// waiting calls.
func TestCostOfDecisions(t *testing.T) {
	b, ups := loaded()
	require.LessOrEqual(t, testing.AllocsPerRun(500, func() { cycle(b, ups) }), 10.0)
}

func BenchmarkCycle(bench *testing.B) {
	b, ups := loaded()
	bench.ReportAllocs()
	for bench.Loop() {
		cycle(b, ups)
	}
}
