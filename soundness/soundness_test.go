package soundness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/soundness"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Guards against last attempts on a worker that fails everything, because a single early
// failure there is no evidence, and against sound workers that stay suspect.
func TestRisk(t *testing.T) {
	early := soundness.Failure{Job: "a", At: at(0), Early: true, Contrast: true}
	other := soundness.Failure{Job: "b", At: at(100), Early: true}
	for name, c := range map[string]struct {
		apply   func(*soundness.Record)
		now     int
		suspect bool
	}{
		"nothing known":                        {func(*soundness.Record) {}, 0, false},
		"member fails at once, others work":    {func(r *soundness.Record) { r.Fail(early) }, 100, true},
		"the same, 6 s later":                  {func(r *soundness.Record) { r.Fail(early) }, 6000, true},
		"the same, 12 s later":                 {func(r *soundness.Record) { r.Fail(early) }, 12_000, false},
		"a run that has started since works":   {func(r *soundness.Record) { r.Fail(early); r.Prove(at(500)) }, 1000, false},
		"a run that had started before works":  {func(r *soundness.Record) { r.Fail(early); r.Prove(at(-500)) }, 1000, true},
		"failure reported after a later proof": {func(r *soundness.Record) { r.Prove(at(500)); r.Fail(early) }, 1000, false},
		"late failure":                         {func(r *soundness.Record) { r.Fail(soundness.Failure{Job: "a", At: at(0)}) }, 0, false},
		"late failures of two jobs": {func(r *soundness.Record) {
			r.Fail(soundness.Failure{Job: "a", At: at(0)})
			r.Fail(soundness.Failure{Job: "b", At: at(0)})
		}, 0, true},
		"job has failed elsewhere":             {func(r *soundness.Record) { f := early; f.FailedElsewhere = 1; r.Fail(f) }, 0, false},
		"another job fails as well":            {func(r *soundness.Record) { f := early; f.FailedElsewhere = 1; r.Fail(f); r.Fail(other) }, 100, true},
		"job fails everywhere":                 {func(r *soundness.Record) { r.Fail(early); r.Retract("a") }, 100, false},
		"another job's failure is not excused": {func(r *soundness.Record) { r.Fail(early); r.Fail(other); r.Retract("a") }, 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			var r soundness.Record
			c.apply(&r)
			require.Equal(t, c.suspect, r.Risk(soundness.Spell{}, at(c.now)) > soundness.SuspectRisk)
		})
	}
}

// Guards against a last attempt, during a spell of failing workers, on workers that have
// proved nothing since it began, and against a fleet that is distrusted after the spell
// or because of a single worker.
func TestSpell(t *testing.T) {
	records := make([]*soundness.Record, 40)
	for i := range records {
		records[i] = &soundness.Record{}
		records[i].Prove(at(-1000))
	}
	risk := func(i, now int) float64 {
		return records[i].Risk(soundness.FindSpell(records, at(now)), at(now))
	}
	records[0].Fail(soundness.Failure{Job: "a", At: at(0), Early: true, Contrast: true})
	require.Equal(t, soundness.BaseRisk, risk(5, 100), "one worker")
	records[1].Fail(soundness.Failure{Job: "b", At: at(300), Early: true, Contrast: true})
	records[2].Prove(at(400))
	require.Equal(t, soundness.BaseRisk, risk(2, 1000), "proved sound since")
	require.Greater(t, risk(5, 1000), 10*soundness.BaseRisk)
	require.Less(t, risk(5, 1000), soundness.SuspectRisk)
	require.Greater(t, risk(1, 1000), 0.8, "0.7 s after its own failure")
	require.Equal(t, soundness.BaseRisk, risk(5, 9000), "the spell is over")
}

// Guards against records that grow without bound.
func TestRecordIsBounded(t *testing.T) {
	var r soundness.Record
	for i := range 1000 {
		r.Fail(soundness.Failure{Job: "a", At: at(i), Early: true})
	}
	require.Equal(t, at(999), r.LastFailure())
	require.Less(t, r.Risk(soundness.Spell{}, at(1000)), 1.0)
	r.Retract("a")
	require.Equal(t, soundness.BaseRisk, r.Risk(soundness.Spell{}, at(1000)))
}
