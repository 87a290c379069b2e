package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
)

func entryOf(name string, cores, link float64) jobstore.LeaderRecord {
	return jobstore.LeaderRecord{Name: name, Cores: cores, LinkMbps: link}
}

// Guards against an entry of a fifth of a core that leads hundreds of workers
// while one of four times that is there, and against a lead that stays vacant
// because a stronger entry is on record and does not take it.
func TestStrongerEntryLeads(t *testing.T) {
	weak, strong, near := entryOf("weak", 0.192, 20), entryOf("strong", 0.8, 200), entryOf("near", 0.25, 200)
	for name, c := range map[string]struct {
		own    jobstore.LeaderRecord
		others []jobstore.LeaderRecord
		at     int // ms after the lead fell vacant
		want   bool
	}{
		"alone":                        {weak, []jobstore.LeaderRecord{weak}, 0, true},
		"no records yet":               {weak, nil, 0, true},
		"the strongest":                {strong, []jobstore.LeaderRecord{weak, strong}, 0, true},
		"a little weaker":              {weak, []jobstore.LeaderRecord{weak, near}, 0, true},
		"much weaker":                  {weak, []jobstore.LeaderRecord{weak, strong}, 0, false},
		"the stronger ones do nothing": {weak, []jobstore.LeaderRecord{weak, strong}, 250, true},
		"records without a strength":   {entryOf("a", 0, 0), []jobstore.LeaderRecord{entryOf("a", 0, 0), entryOf("b", 0, 0)}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := candidate{own: c.own}
			p.campaigns(c.others, at(0))
			require.Equal(t, c.want, p.campaigns(c.others, at(c.at)))
		})
	}
}

// Guards against a lead that goes back and forth: it is handed to a stronger
// entry once, and not again soon if that cannot lead.
func TestWeakLeaderStepsDownOnce(t *testing.T) {
	weak, strong := entryOf("weak", 0.192, 20), entryOf("strong", 0.8, 200)
	all := []jobstore.LeaderRecord{weak, strong}
	p := candidate{own: weak}
	require.NoError(t, p.stepsDown(all, at(0), at(900)), "the entries have just started")
	require.ErrorIs(t, p.stepsDown(all, at(0), at(1000)), errWeak)
	require.NoError(t, p.stepsDown(all, at(1500), at(3000)))
	require.ErrorIs(t, p.stepsDown(all, at(1500), at(31_000)), errWeak)
	p = candidate{own: strong}
	require.NoError(t, p.stepsDown(all, at(0), at(60_000)))
}

// Guards against a machine that turns slow and keeps the lead, and against one
// that gives it up for a single pause or when there is no other.
func TestSlowLeaderStepsDown(t *testing.T) {
	a, b := entryOf("a", 0.8, 200), entryOf("b", 0.8, 200)
	both := []jobstore.LeaderRecord{a, b}
	for name, c := range map[string]struct {
		lags   []int // ms
		others []jobstore.LeaderRecord
		want   error
	}{
		"on time":      {[]int{1, 2, 1, 3, 1, 2, 1, 1}, both, nil},
		"one pause":    {[]int{900, 2, 1, 3, 1, 2, 1, 1}, both, nil},
		"a quota":      {[]int{90, 90, 90, 90, 90, 90, 90, 90}, both, nil},
		"slow":         {[]int{200, 180, 190, 170, 200, 160, 210, 200}, both, errSlow},
		"too early":    {[]int{500, 500, 500}, both, nil},
		"no other":     {[]int{200, 180, 190, 170, 200, 160, 210, 200}, []jobstore.LeaderRecord{a}, nil},
		"no longer so": {[]int{900, 900, 900, 900, 1, 1, 1, 1, 1, 1, 1, 1}, both, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := candidate{own: a}
			for _, ms := range c.lags {
				p.observe(time.Duration(ms) * time.Millisecond)
			}
			require.Equal(t, c.want, p.stepsDown(c.others, at(0), at(5000)))
			if c.want != nil {
				require.NoError(t, p.stepsDown(c.others, at(0), at(5100)), "once")
				require.False(t, p.campaigns(c.others, at(5200)), "it stands back for a while")
				p.led()
				require.True(t, p.campaigns(c.others, at(15_100)))
			}
		})
	}
}
