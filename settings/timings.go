package settings

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// MaxStartDelay bounds the time for which a task may still start in a failure
// domain that operators have taken out, and for which a leaving upstream may
// still get work: "a few seconds" in docs/design.md, section 2.
const MaxStartDelay = 10 * time.Second

// MaxChangeDelay bounds the time in which a change of configuration is in force
// everywhere: docs/design.md, section 3.
const MaxChangeDelay = 20 * time.Second

// checkTimings reports relations between timings that the protocol needs
// (docs/design.md, section 6) and that do not hold.
func (d *decoder) checkTimings(t rosemarysill.Timings) {
	less := []struct {
		name, than string
		a, b       time.Duration
		reason     string
	}{
		{"BeatEvery", "MemberFresh", t.BeatEvery, t.MemberFresh, "each report counts as missing before the next one otherwise"},
		{"BeatEvery", "FreshFor", t.BeatEvery, t.FreshFor, "an agent refuses work between two heartbeats otherwise"},
		{"MemberFresh", "GangLease", t.MemberFresh, t.GangLease, "a gang stops before a missing report is noticed otherwise"},
		{"ReserveFor", "GangLease", t.ReserveFor, t.GangLease, "the lease of the first member started ends while others are being started otherwise"},
		{"ConfirmEvery", "ConfirmFresh", t.ConfirmEvery, t.ConfirmFresh, "authority ends between two confirmations otherwise"},
		{"ConfirmFresh", "OutageGrace", t.ConfirmFresh, t.OutageGrace, "authority by silence ends before it can begin otherwise"},
		{"Margin", "MemberFresh", t.Margin, t.MemberFresh, "the margin is for clocks, not for lost messages"},
		{"DecideEvery", "PlacerLease", t.DecideEvery, t.PlacerLease, "placement changes hands between two decisions otherwise"},
		{"Margin", "RequestMemory", 2 * t.Margin, t.RequestMemory, "half of RequestMemory bounds the age of identifiers and must exceed Margin"},
	}
	for _, r := range less {
		if r.a < r.b || d.anyBad(r.name, r.than) {
			continue
		}
		key := "Timings." + r.name
		if !d.Has(key) {
			key = "Timings." + r.than
		}
		d.AddFault(key, "%s must be shorter than %s: %s", r.name, r.than, r.reason)
	}
	if sum := t.StoreFresh + t.ReserveFor + t.BeatEvery; sum > MaxStartDelay && !d.anyBad("StoreFresh", "ReserveFor", "BeatEvery") {
		d.AddFault(d.firstGiven("StoreFresh", "ReserveFor", "BeatEvery"),
			"StoreFresh, ReserveFor and BeatEvery add up to %s; a task would start that long after its domain was taken out, and the limit is %s", sum, MaxStartDelay)
	}
	if t.FreshFor > MaxStartDelay && !d.anyBad("FreshFor") {
		d.AddFault("Timings.FreshFor", "FreshFor is %s; an agent would work that long on an old configuration, and the limit is %s", t.FreshFor, MaxStartDelay)
	}
	if sum := t.ConfirmFresh + t.FreshFor + t.BeatEvery; sum > MaxChangeDelay && !d.anyBad("ConfirmFresh", "FreshFor", "BeatEvery") {
		d.AddFault(d.firstGiven("ConfirmFresh", "FreshFor", "BeatEvery"),
			"ConfirmFresh, FreshFor and BeatEvery add up to %s; a change would be in force everywhere only after that, and the limit is %s", sum, MaxChangeDelay)
	}
}

// anyBad reports whether one of the timings has a fault of its own.
func (d *decoder) anyBad(names ...string) bool {
	for _, name := range names {
		if d.Invalid("Timings." + name) {
			return true
		}
	}
	return false
}

// firstGiven returns the first of the timings that the file holds.
func (d *decoder) firstGiven(names ...string) string {
	for _, name := range names {
		if d.Has("Timings." + name) {
			return "Timings." + name
		}
	}
	return "Timings"
}
