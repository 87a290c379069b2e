package settings

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// MaxStartDelay is the longest time for which a task may still start in a failure
// domain after operators took it out, and for which an upstream that is leaving may
// still receive work: "a few seconds" in docs/design.md, section 2.
const MaxStartDelay = 10 * time.Second

// MaxChangeDelay is the longest time until a configuration change is in force in
// all processes (docs/design.md, section 3).
const MaxChangeDelay = 20 * time.Second

// checkTimings reports timings that violate the constraints of the protocol
// (docs/design.md, section 6).
func (d *decoder) checkTimings(t rosemarysill.Timings) {
	relations := []struct {
		key, limitKey string
		value, limit  time.Duration
		reason        string
	}{
		{"BeatEvery", "MemberFresh", t.BeatEvery, t.MemberFresh, "otherwise each report counts as missing before the next one arrives"},
		{"BeatEvery", "FreshFor", t.BeatEvery, t.FreshFor, "otherwise an agent refuses work between two heartbeats"},
		{"MemberFresh", "GangLease", t.MemberFresh, t.GangLease, "otherwise a gang stops before a missing report is detected"},
		{"ReserveFor", "GangLease", t.ReserveFor, t.GangLease, "otherwise the lease of the first member expires while other members are being started"},
		{"ConfirmEvery", "ConfirmFresh", t.ConfirmEvery, t.ConfirmFresh, "otherwise authority expires between two confirmations"},
		{"ConfirmFresh", "OutageGrace", t.ConfirmFresh, t.OutageGrace, "otherwise authority during a store outage expires before it can begin"},
		{"Margin", "MemberFresh", t.Margin, t.MemberFresh, "the margin covers clock differences, not lost messages"},
		{"DecideEvery", "PlacerLease", t.DecideEvery, t.PlacerLease, "otherwise the placer lease expires between two decisions"},
		{"Margin", "RequestMemory", 2 * t.Margin, t.RequestMemory, "half of RequestMemory bounds the age of identifiers and must exceed Margin"},
	}
	for _, r := range relations {
		if r.value < r.limit || d.anyInvalid(r.key, r.limitKey) {
			continue
		}
		faultKey := "Timings." + r.key
		if !d.Has(faultKey) {
			faultKey = "Timings." + r.limitKey
		}
		d.AddFault(faultKey, "%s must be shorter than %s: %s", r.key, r.limitKey, r.reason)
	}
	if delay := t.StoreFresh + t.ReserveFor + t.BeatEvery; delay > MaxStartDelay && !d.anyInvalid("StoreFresh", "ReserveFor", "BeatEvery") {
		d.AddFault(d.firstPresent("StoreFresh", "ReserveFor", "BeatEvery"),
			"StoreFresh, ReserveFor and BeatEvery add up to %s; a task could start that long after its domain was taken out; the limit is %s", delay, MaxStartDelay)
	}
	if t.FreshFor > MaxStartDelay && !d.anyInvalid("FreshFor") {
		d.AddFault("Timings.FreshFor", "FreshFor is %s; an agent could use an outdated configuration for that long; the limit is %s", t.FreshFor, MaxStartDelay)
	}
	if delay := t.ConfirmFresh + t.FreshFor + t.BeatEvery; delay > MaxChangeDelay && !d.anyInvalid("ConfirmFresh", "FreshFor", "BeatEvery") {
		d.AddFault(d.firstPresent("ConfirmFresh", "FreshFor", "BeatEvery"),
			"ConfirmFresh, FreshFor and BeatEvery add up to %s; a change could take that long to be in force in all processes; the limit is %s", delay, MaxChangeDelay)
	}
}

// anyInvalid reports whether any of the timings could not be decoded.
func (d *decoder) anyInvalid(names ...string) bool {
	for _, name := range names {
		if d.Invalid("Timings." + name) {
			return true
		}
	}
	return false
}

// firstPresent returns the key of the first of the timings that the file holds, or
// "Timings" if it holds none of them.
func (d *decoder) firstPresent(names ...string) string {
	for _, name := range names {
		if d.Has("Timings." + name) {
			return "Timings." + name
		}
	}
	return "Timings"
}
