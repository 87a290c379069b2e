package delay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/delay"
)

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// drawJob draws a job before or after its objective, which is a third of the time in which
// it keeps some value.
func drawJob(t *rapid.T) delay.Job {
	draw := func(low, high float64, name string) float64 { return rapid.Float64Range(low, high).Draw(t, name) }
	objective, waited := draw(0.1, 100, "objective"), draw(0, 400, "waited")
	return delay.Job{
		Priority: rapid.IntRange(0, 5).Draw(t, "priority"), Work: draw(0, 1e6, "work"), Remaining: seconds(draw(0, 100, "remaining")),
		UntilLate: seconds(objective - waited), UntilExpired: seconds(3*objective - waited), KnownDuration: rapid.Bool().Draw(t, "known"),
	}
}

// Guards against a job that gains by waiting or by taking longer, and against a loss beyond
// that of a job that is not served.
func TestLossRisesWithWaitAndDuration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, j := delay.Default(), drawJob(t)
		f := m.Forecast(j)
		wait := seconds(rapid.Float64Range(0, 400).Draw(t, "wait"))
		later := wait + seconds(rapid.Float64Range(0, 400).Draw(t, "more"))
		require.LessOrEqual(t, f.Loss(wait), f.Loss(later))
		require.GreaterOrEqual(t, f.CostOfDelay(wait), 0.0)
		require.LessOrEqual(t, f.Loss(delay.Forever), m.ExpiredLoss*m.Value(j.Priority, j.Work)+1e-9)
		longer := j
		longer.Remaining += wait
		require.LessOrEqual(t, f.Loss(wait), m.Forecast(longer).Loss(wait))
	})
}

// Guards against a cost of delay that jumps at the deadline, so that a job counts as safe
// until it is late: it has to rise while its slack shrinks.
func TestCostOfDelayRisesSmoothly(t *testing.T) {
	f := delay.Default().Forecast(delay.Job{Priority: 1, Remaining: seconds(11), UntilLate: seconds(34), UntilExpired: seconds(102), KnownDuration: true})
	var costs []float64
	for _, wait := range []float64{8, 16, 20, 22, 24, 34} {
		costs = append(costs, f.CostOfDelay(seconds(wait))/f.LateLoss)
	}
	require.InDeltaSlice(t, []float64{0, 0.019, 0.127, 0.333, 0.682, 1}, costs, 0.01)
}

// Guards against a job that is about to become worthless and counts like one that is
// merely late.
func TestExpiryCostsMoreThanLateness(t *testing.T) {
	m := delay.Default()
	late := m.Forecast(delay.Job{Remaining: seconds(2), UntilLate: seconds(-1), UntilExpired: seconds(20)})
	expiring := m.Forecast(delay.Job{Remaining: seconds(2), UntilLate: seconds(-15), UntilExpired: seconds(3)})
	require.Greater(t, expiring.Density(100), 10*late.Density(100))
	require.Greater(t, m.ExpiredLoss-m.LateLoss, m.LateLoss)
}

// Guards against a value that a job can raise without bound by its work, and against equal
// values of the priorities.
func TestValue(t *testing.T) {
	m := delay.Default()
	for priority := range 2 {
		require.GreaterOrEqual(t, m.Value(priority, 0), 2*m.Value(priority+1, 0))
	}
	require.Greater(t, m.Value(1, 1000), m.Value(1, 10))
	require.LessOrEqual(t, m.Value(1, 1e12), 2*m.Value(1, 0))
	require.Equal(t, m.Value(2, 10), m.Value(9, 10))
	require.Equal(t, delay.Default(), delay.Model{}.OrDefault())
}

// Guards against stops whose cost leaves out what a caller loses by them.
func TestCostOfStop(t *testing.T) {
	m := delay.Default()
	job := func(untilLate float64) delay.Forecast {
		return m.Forecast(delay.Job{Priority: 1, Work: 1000, Remaining: seconds(4), UntilLate: seconds(untilLate), UntilExpired: seconds(untilLate + 60), KnownDuration: true})
	}
	base := delay.Stop{Running: job(20), Restarted: seconds(11), Wait: seconds(1), Work: 100}
	change := func(f func(s *delay.Stop)) float64 {
		s := base
		f(&s)
		return m.CostOfStop(s)
	}
	cost := m.CostOfStop(base)
	for name, other := range map[string]float64{
		"less slack":            change(func(s *delay.Stop) { s.Running = job(13) }),
		"longer wait":           change(func(s *delay.Stop) { s.Wait = seconds(9) }),
		"more work lost":        change(func(s *delay.Stop) { s.Work = 1000 }),
		"stopped before":        change(func(s *delay.Stop) { s.Earlier = 1 }),
		"stopped twice before":  change(func(s *delay.Stop) { s.Earlier = 2 }),
		"urgent, without slack": change(func(s *delay.Stop) { s.Running = job(11) }),
	} {
		require.Greater(t, other, cost, name)
	}
	require.Less(t, change(func(s *delay.Stop) { s.Restarted = s.Running.Remaining }), cost, "resumes from a checkpoint")
	require.Positive(t, m.CostOfStop(delay.Stop{Earlier: 1}), "a stop that loses nothing else")
	rapid.Check(t, func(t *rapid.T) {
		s := delay.Stop{Running: m.Forecast(drawJob(t)), Restarted: seconds(rapid.Float64Range(0, 100).Draw(t, "restarted")), Wait: seconds(rapid.Float64Range(0, 100).Draw(t, "wait"))}
		require.GreaterOrEqual(t, m.CostOfStop(s), m.StopPrice)
	})
}
