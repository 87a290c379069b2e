package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
)

func entryRecord(name string, cores, link float64) jobstore.LeaderRecord {
	return jobstore.LeaderRecord{Name: name, Cores: cores, LinkMbps: link}
}

// Guards against an entry with a fifth of a core that leads hundreds of workers while
// one with four times as much is registered, and against a leadership that stays vacant
// because a stronger entry is registered and does not campaign.
func TestWeakCandidateDefersToStrongerEntry(t *testing.T) {
	weak, strong, near := entryRecord("weak", 0.192, 20), entryRecord("strong", 0.8, 200), entryRecord("near", 0.25, 200)
	for name, c := range map[string]struct {
		own    jobstore.LeaderRecord
		others []jobstore.LeaderRecord
		at     int // ms after the leadership became vacant
		want   bool
	}{
		"alone":                            {weak, []jobstore.LeaderRecord{weak}, 0, true},
		"no records yet":                   {weak, nil, 0, true},
		"the strongest entry":              {strong, []jobstore.LeaderRecord{weak, strong}, 0, true},
		"slightly weaker":                  {weak, []jobstore.LeaderRecord{weak, near}, 0, true},
		"much weaker":                      {weak, []jobstore.LeaderRecord{weak, strong}, 0, false},
		"stronger entries do not campaign": {weak, []jobstore.LeaderRecord{weak, strong}, 250, true},
		"unknown processor shares":         {entryRecord("a", 0, 0), []jobstore.LeaderRecord{entryRecord("a", 0, 0), entryRecord("b", 0, 0)}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := candidate{own: c.own}
			p.shouldCampaign(c.others, at(0))
			require.Equal(t, c.want, p.shouldCampaign(c.others, at(c.at)))
		})
	}
}

// Guards against a leadership that moves back and forth: it is handed over to a stronger
// entry, and not again within minHandoverInterval if that entry cannot lead.
func TestWeakLeaderHandsOverAtIntervals(t *testing.T) {
	weak, strong := entryRecord("weak", 0.192, 20), entryRecord("strong", 0.8, 200)
	all := []jobstore.LeaderRecord{weak, strong}
	p := candidate{own: weak}
	require.NoError(t, p.checkStepDown(all, at(0), at(900)), "the entries have just started")
	require.ErrorIs(t, p.checkStepDown(all, at(0), at(1000)), errStrongerEntry)
	require.NoError(t, p.checkStepDown(all, at(1500), at(3000)))
	require.ErrorIs(t, p.checkStepDown(all, at(1500), at(31_000)), errStrongerEntry)
	p = candidate{own: strong}
	require.NoError(t, p.checkStepDown(all, at(0), at(60_000)))
}

// Guards against an entry that stays the leader although its machine has become slow, and
// against one that steps down after a single pause or when there is no other entry.
func TestSlowLeaderStepsDown(t *testing.T) {
	a, b := entryRecord("a", 0.8, 200), entryRecord("b", 0.8, 200)
	both := []jobstore.LeaderRecord{a, b}
	for name, c := range map[string]struct {
		lags   []int // ms
		others []jobstore.LeaderRecord
		want   error
	}{
		"on time":              {[]int{1, 2, 1, 3, 1, 2, 1, 1}, both, nil},
		"single pause":         {[]int{900, 2, 1, 3, 1, 2, 1, 1}, both, nil},
		"processor quota":      {[]int{90, 90, 90, 90, 90, 90, 90, 90}, both, nil},
		"slow":                 {[]int{200, 180, 190, 170, 200, 160, 210, 200}, both, errTooSlow},
		"too few measurements": {[]int{500, 500, 500}, both, nil},
		"no other entry":       {[]int{200, 180, 190, 170, 200, 160, 210, 200}, []jobstore.LeaderRecord{a}, nil},
		"lag has ended":        {[]int{900, 900, 900, 900, 1, 1, 1, 1, 1, 1, 1, 1}, both, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := candidate{own: a}
			for _, ms := range c.lags {
				p.observeLag(time.Duration(ms) * time.Millisecond)
			}
			require.ErrorIs(t, p.checkStepDown(c.others, at(0), at(5000)), c.want)
			if c.want != nil {
				require.NoError(t, p.checkStepDown(c.others, at(0), at(5100)), "a slow leader does not step down again within slowBackoff")
				require.False(t, p.shouldCampaign(c.others, at(5200)), "a slow entry defers to others for a while")
				p.observeLeader()
				require.True(t, p.shouldCampaign(c.others, at(15_100)))
			}
		})
	}
}
