package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// fleet returns n usable workers with 8 accelerators, three to a rack.
func fleet(n int) []rosemarysill.WorkerState {
	workers := make([]rosemarysill.WorkerState, n)
	for i := range workers {
		workers[i] = rosemarysill.WorkerState{Usable: true, Identity: rosemarysill.AgentIdentity{
			Name: fmt.Sprintf("w%02d", i), Domain: fmt.Sprintf("d%d", i/3), Rack: fmt.Sprintf("r%d", i/3),
			Accelerators: 8, Processors: 64, MemoryMB: 128 << 10,
		}}
	}
	return workers
}

func job(n byte, account string, s rosemarysill.Shape) rosemarysill.JobSpec {
	return rosemarysill.JobSpec{ID: uuid.UUID{15: n}, Account: account, Class: rosemarysill.Normal, Idempotent: true, Shape: s}
}

// Guards against a part of a gang being placed, two gangs on one accelerator
// and impossible jobs that wait for ever.
func TestDecideOutcome(t *testing.T) {
	cfg := rosemarysill.Configuration{Accounts: []rosemarysill.Account{{Name: "a"}, {Name: "q", QuotaAccelerators: 4}}}
	old := start.Add(-time.Hour)
	tests := map[string]struct {
		job  rosemarysill.WaitingJob
		code rosemarysill.Code
		hold bool
	}{
		"one member":            {job: rosemarysill.WaitingJob{Spec: job(1, "a", rosemarysill.Shape{Members: 1, Accelerators: 8})}},
		"a rack":                {job: rosemarysill.WaitingJob{Spec: job(1, "a", rosemarysill.Shape{Members: 3, Accelerators: 8, Adjacent: true})}},
		"more than a rack":      {job: rosemarysill.WaitingJob{Submitted: old, Spec: job(1, "a", rosemarysill.Shape{Members: 4, Accelerators: 8, Adjacent: true})}, code: rosemarysill.ImpossibleShape},
		"more, not patient yet": {job: rosemarysill.WaitingJob{Submitted: start, Spec: job(1, "a", rosemarysill.Shape{Members: 4, Accelerators: 8, Adjacent: true})}, hold: true},
		"two racks":             {job: rosemarysill.WaitingJob{Spec: job(1, "a", rosemarysill.Shape{Members: 6, Accelerators: 8})}},
		"no members":            {job: rosemarysill.WaitingJob{Spec: job(1, "a", rosemarysill.Shape{Accelerators: 8})}, code: rosemarysill.ImpossibleShape},
		"unknown account":       {job: rosemarysill.WaitingJob{Spec: job(1, "x", rosemarysill.Shape{Members: 1, Accelerators: 1})}, code: rosemarysill.UnknownAccount},
		"over the quota":        {job: rosemarysill.WaitingJob{Spec: job(1, "q", rosemarysill.Shape{Members: 1, Accelerators: 5})}, code: rosemarysill.QuotaExceeded},
		"failed on three":       {job: rosemarysill.WaitingJob{FailedOn: []string{"w01", "w02", "w03"}, Spec: job(1, "a", rosemarysill.Shape{Members: 1, Accelerators: 1})}, code: rosemarysill.FailedEverywhere},
		"failed thrice on one":  {job: rosemarysill.WaitingJob{FailedOn: []string{"w01", "w01", "w01"}, Spec: job(1, "a", rosemarysill.Shape{Members: 1, Accelerators: 1})}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := placement.New().Decide(rosemarysill.ClusterState{
				Config: cfg, Workers: fleet(6), Waiting: []rosemarysill.WaitingJob{tt.job},
			}, start)
			switch {
			case tt.code != rosemarysill.Done:
				require.Len(t, d.Reject, 1)
				require.Equal(t, tt.code, d.Reject[0].Code)
				require.Empty(t, d.Place)
			case tt.hold:
				require.Len(t, d.Hold, 1)
				require.Empty(t, d.Place)
			default:
				require.Len(t, d.Place, 1)
				require.Len(t, d.Place[0].Slots, tt.job.Spec.Shape.Members)
			}
		})
	}
}
