package soundness

import (
	"math"
	"time"
)

const (
	// spellTime is the time within which the failures of a spell occur.
	spellTime = 8 * time.Second
	// minSpellWorkers is the number of failing workers from which on there is a spell. One
	// worker at a time says nothing about others.
	minSpellWorkers = 2
	// unknownWorkers is added to the workers that have proved sound during a spell, so that
	// few observations give no high share.
	unknownWorkers = 20
)

// Spell is a time in which several workers fail. The zero value stands for none.
type Spell struct {
	since, last time.Time // of its failures
	share       float64   // of failing workers
}

// FindSpell returns the spell that the records show at the given time.
func FindSpell(records []*Record, now time.Time) Spell {
	var s Spell
	failing, proved := 0, 0
	for _, r := range records {
		found := false
		for _, f := range r.failures {
			if !f.Early || now.Sub(f.At) > spellTime {
				continue
			}
			found = true
			if s.since.IsZero() || f.At.Before(s.since) {
				s.since = f.At
			}
			if f.At.After(s.last) {
				s.last = f.At
			}
		}
		if found {
			failing++
		}
	}
	if failing < minSpellWorkers {
		return Spell{}
	}
	for _, r := range records {
		if r.provedAt.After(s.since) {
			proved++
		}
	}
	s.share = float64(failing+1) / float64(failing+proved+unknownWorkers)
	return s
}

// Active reports whether there is a spell.
func (s Spell) Active() bool { return s.share > 0 }

// risk returns the risk of a worker apart from its own failures. A worker that has proved
// sound since the spell began is not affected.
func (s Spell) risk(r *Record, now time.Time) float64 {
	if !s.Active() || r.provedAt.After(s.since) {
		return BaseRisk
	}
	return max(BaseRisk, s.share*math.Exp(-now.Sub(s.last).Seconds()/recoveryTime.Seconds()))
}
