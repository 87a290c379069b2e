package explanation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

var size = work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}

// busy returns a run that fills a worker.
func busy(name string, change func(*schedule.Run)) schedule.Run {
	r := schedule.Run{Key: work.RunKey{Task: work.TaskKey{Job: name}, Run: 1}, Demand: size, MilliCPU: size.MilliCPU, Priority: 2, Cost: 0.01}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against explanations that name another decision than the one that is made, or
// another reason for which a worker is left out.
func TestExplanation(t *testing.T) {
	gang := work.Step{Count: 2, Gang: true, Shape: size}
	endsSoon := func(r *schedule.Run) { r.EndsIn = 4 * time.Second }
	for name, tc := range map[string]struct {
		step     work.Step
		priority int
		refusal  string
		change   func([]*schedule.Worker, *schedule.Unit)
		want     explanation.Decision
		excluded map[schedule.Reason]int
		expected int64 // ExpectedInMs; -1 for none
	}{
		"starts": {step: gang, want: explanation.Starts, excluded: map[schedule.Reason]int{schedule.NotPreferred: 2}},
		"left out": {step: gang, want: explanation.Starts, change: func(w []*schedule.Worker, _ *schedule.Unit) {
			w[0].Schedulable, w[1].Service = false, "t"
		}, excluded: map[schedule.Reason]int{"DomainOut": 1, schedule.OtherService: 1}},
		"too slow": {step: gang, want: explanation.Starts, change: func(w []*schedule.Worker, u *schedule.Unit) {
			w[0].Speed, w[1].Speed, u.MinSpeed = 0.4, 0.4, 0.8
		}, excluded: map[schedule.Reason]int{schedule.TooSlow: 2}},
		"refused": {step: gang, refusal: "NoCapacity: x", want: explanation.Refused, excluded: map[schedule.Reason]int{schedule.NotPreferred: 2}},
		"no label": {step: work.Step{Count: 1, Shape: size, RequiredLabel: "x"}, want: explanation.Waits, expected: -1,
			excluded: map[schedule.Reason]int{schedule.NoLabel: 4}},
		"too large": {step: work.Step{Count: 1, Shape: work.Shape{Accelerators: 9}}, want: explanation.Waits, expected: -1,
			excluded: map[schedule.Reason]int{schedule.TooSmall: 4}},
		"waits": {step: gang, priority: 1, want: explanation.Waits, expected: 4000, change: func(w []*schedule.Worker, _ *schedule.Unit) {
			for _, x := range w[:3] {
				x.Runs = []schedule.Run{busy(x.ID, endsSoon)}
			}
		}, excluded: map[schedule.Reason]int{schedule.NoRoom: 3, schedule.NotTogether: 1}},
		"withheld": {step: gang, want: explanation.Withheld, expected: -1, change: func(w []*schedule.Worker, u *schedule.Unit) {
			u.MaxRisk = 0.1
			for _, x := range w {
				x.FailureRisk = 0.5
			}
		}, excluded: map[schedule.Reason]int{schedule.TooRisky: 4}},
		"preempts": {step: gang, want: explanation.Preempts, expected: -1, change: func(w []*schedule.Worker, _ *schedule.Unit) {
			for _, x := range w {
				x.Runs = []schedule.Run{busy(x.ID, nil)}
			}
		}, excluded: map[schedule.Reason]int{schedule.NoRoom: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			var workers []*schedule.Worker
			for i := range 4 {
				workers = append(workers, &schedule.Worker{ID: fmt.Sprint("w", i), Service: "s", Rack: "r", Schedulable: true, Capacity: size})
			}
			j := &work.Job{ID: "preview", Service: "s", Queue: "q", Account: "a", Priority: tc.priority, MaxAttempts: 2, Steps: []work.Step{tc.step, {Count: 1, DependsOn: []int{0}}}}
			u := &schedule.Unit{Job: j, TasksByWorker: make(map[string]int), Forecast: delay.Forecast{LateLoss: 1}}
			for i := range tc.step.Count {
				u.Indexes = append(u.Indexes, i)
			}
			if tc.change != nil {
				tc.change(workers, u)
			}
			plan, steps, ok := schedule.Explain(workers, []*schedule.Unit{u}, 0, j.ID, func() bool { return false })
			require.True(t, ok)
			e := explanation.New(explanation.Input{Job: j, Plan: plan, Steps: steps, Workers: workers, Closed: map[string]schedule.Reason{"w0": "DomainOut"}, Refusal: tc.refusal})
			require.Equal(t, tc.want, e.Decision, e.Detail)
			require.Len(t, e.Steps, 1)
			require.Equal(t, tc.excluded, e.Steps[0].ExcludedCount)
			require.Equal(t, []int{1}, e.LaterSteps)
			if tc.expected < 0 {
				require.Nil(t, e.Steps[0].ExpectedIn)
			} else {
				require.Equal(t, tc.expected, *e.Steps[0].ExpectedIn)
			}
			switch tc.want {
			case explanation.Starts:
				require.Len(t, e.Steps[0].Starts, 2)
			case explanation.Preempts:
				require.Len(t, e.Stops, 2)
				require.InDelta(t, 0.01, e.Stops[0].Cost, 1e-9)
				require.Equal(t, e.Stops[0].Job, e.Stops[0].Worker, "the worker of the run")
			}
			require.Contains(t, e.Text(), string(tc.want)+": ")
			for r, n := range tc.excluded {
				require.Contains(t, e.Text(), fmt.Sprintf("left out, %s: %d (", r, n))
			}
		})
	}
}

// Guards against a job that begins later and is shown as one that waits for capacity.
func TestLater(t *testing.T) {
	j := &work.Job{ID: "preview", Service: "s", Occurrences: 2, Start: time.Unix(4e9, 0), Steps: []work.Step{{Count: 1}}}
	e := explanation.New(explanation.Input{Job: j})
	require.Equal(t, explanation.Later, e.Decision)
	require.Equal(t, []int{0}, e.LaterSteps)
}
