package workload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/workload"
)

// Guards against a policy that is slow to give back a guarantee, loses work in
// failure domain moves, or is worse than the baselines where the deployments
// weigh it most. All figures are in virtual time, so that they do not depend on
// the machine.
func TestPolicyAgainstBaselines(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	for _, generate := range []func(uint64) workload.Scenario{workload.FlipperMaghreb, workload.Fjordtork} {
		t.Run(generate(1).Name, func(t *testing.T) {
			var results []*workload.Result
			for _, v := range workload.Policies() {
				results = append(results, workload.Measure(v, generate, 1))
			}
			ours, inOrder, firstFit := results[0], results[1], results[2]
			require.NotZero(t, ours.Reclaim.Count())
			// A claim may arrive just after a decision and its capacity be free
			// just after another.
			require.LessOrEqual(t, ours.Reclaim.Max(), timings.ReclaimWithin+2*timings.DecideEvery)
			require.Less(t, ours.Completion.Mean(), inOrder.Completion.Mean()/2)
			require.Greater(t, ours.MovesUseful, 0.9*inOrder.MovesUseful)
			require.LessOrEqual(t, ours.Completion.Mean(), firstFit.Completion.Mean()*11/10)
			require.Greater(t, ours.MovesUseful, 0.9*firstFit.MovesUseful)
			require.Equal(t, inOrder.Finished+inOrder.Rejected+inOrder.Failed, ours.Finished+ours.Rejected+ours.Failed, "jobs are missing")
		})
	}
}

// Guards against an account that gets more by sending more requests: under
// equal demand no account holds a quarter more than another.
func TestEqualDemand(t *testing.T) {
	r := workload.Measure(workload.Policies()[0], workload.EqualDemand, 1)
	require.LessOrEqual(t, r.Fairness, 1.25)
	require.Positive(t, r.Fairness)
}

// Guards against figures that differ from run to run of the same seed.
func TestRunRepeats(t *testing.T) {
	v := workload.Policies()[0]
	a, b := workload.Measure(v, workload.Fjordtork, 3), workload.Measure(v, workload.Fjordtork, 3)
	require.Equal(t, a.Completion.Mean(), b.Completion.Mean())
	require.InDelta(t, a.Lost, b.Lost, 1e-9)
	require.Equal(t, a.Examined, b.Examined)
}
