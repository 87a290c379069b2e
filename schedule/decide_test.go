package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/work"
)

// decideInput holds the arguments of Decide.
type decideInput struct {
	workers       []*Worker
	units         []*Unit
	urgentReserve float64
}

// clone copies the parts of the input that Decide changes.
func (in decideInput) clone() decideInput {
	c := decideInput{urgentReserve: in.urgentReserve}
	budgets := make(map[*StopBudget]*StopBudget)
	for _, w := range in.workers {
		v := *w
		v.Runs = slices.Clone(w.Runs)
		for i, r := range v.Runs {
			if r.Budget != nil && budgets[r.Budget] == nil {
				budgets[r.Budget] = &StopBudget{r.Budget.Left}
			}
			v.Runs[i].Budget = budgets[r.Budget]
		}
		c.workers = append(c.workers, &v)
	}
	shared := make(map[string]map[string]int)
	for _, u := range in.units {
		v := *u
		if shared[u.Job.ID] == nil {
			shared[u.Job.ID] = maps.Clone(u.TasksByWorker)
		}
		v.TasksByWorker = shared[u.Job.ID]
		c.units = append(c.units, &v)
	}
	return c
}

// drawDecideInput draws a partly used fleet, with gangs across workers, and queued
// units of all kinds. Costs are integers, so that sums do not depend on the order of
// addition.
func drawDecideInput(t *rapid.T) decideInput {
	drawInt := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
	drawOneIn := func(n int, name string) bool { return drawInt(1, n, name) == 1 }
	var in decideInput
	budgets := make(map[string]*StopBudget) // by gang, or by group of single runs
	unequal := drawOneIn(2, "unequal speeds")
	for i := range drawInt(1, 14, "workers") {
		w := &Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/drawInt(1, 4, "rack")), Schedulable: !drawOneIn(9, "closed"), Suspect: drawOneIn(9, "suspect"), Probing: drawOneIn(2, "probing"), FailureRisk: float64(drawInt(0, 4, "risk")) / 8, Labels: []string{"a", "b"}[:drawInt(0, 2, "labels")], StartedRecently: drawOneIn(5, "recent"),
			Capacity: work.Shape{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8},
		}
		if unequal {
			w.Speed = []float64{0, 0.5, 1, 1.5}[drawInt(0, 3, "speed")]
			w.Slow, w.Unproven = w.Speed == 0.5 || drawOneIn(9, "slow"), drawOneIn(3, "unproven")
		}
		if drawOneIn(3, "shrunk") { // below what its runs take, in one resource or several
			w.Capacity = work.Shape{MilliCPU: 1000 * int64(drawInt(0, 32, "cores left")), MemoryMB: int64(drawInt(0, 600, "MB left")), Accelerators: int64(drawInt(0, 8, "accelerators left"))}
		}
		for n := range drawInt(0, 4, "runs") {
			a := int64(drawInt(0, 3, "accelerators"))
			d := work.Shape{MilliCPU: 1000 * a, MemoryMB: 100, Accelerators: a}
			r := Run{
				Key: work.RunKey{Task: work.TaskKey{Job: fmt.Sprintf("r%d.%d", i, n)}, Run: 1}, Demand: d, MilliCPU: d.MilliCPU, Priority: drawInt(0, 2, "priority"), Preempted: drawInt(0, 3, "preempted"), Account: fmt.Sprint("a", drawInt(0, 1, "account")), RequiredLabel: []string{"", "a", "b"}[drawInt(0, 2, "required label")], Advised: drawOneIn(9, "advised"),
				Guaranteed: drawOneIn(6, "reserved"), Cost: float64(drawInt(0, 5, "cost")), LongRunning: drawOneIn(4, "long-running"), Late: drawOneIn(5, "late"), Stopping: drawOneIn(7, "stopping"), EndsSoon: drawOneIn(7, "ending"), StopOverdue: drawOneIn(9, "stuck"),
			}
			if drawOneIn(5, "costly") { // above what a unit loses by being late
				r.Cost += 500
			}
			if drawOneIn(3, "gang") {
				r.Gang = fmt.Sprint("gang", drawInt(0, 3, "group"))
			}
			r.EndsIn = time.Duration(drawInt(0, 5, "ends in")) * time.Second
			if group := cmp.Or(r.Gang, fmt.Sprint("single", drawInt(0, 3, "group"))); group != "gang0" && group != "single0" {
				if budgets[group] == nil {
					budgets[group] = &StopBudget{drawInt(-1, 4, "budget")}
				}
				r.Budget = budgets[group]
			}
			w.Runs = append(w.Runs, r)
		}
		in.workers = append(in.workers, w)
	}
	for i := range drawInt(1, 7, "jobs") {
		a := int64(drawInt(0, 8, "accelerators"))
		s := work.Step{
			Count: drawInt(1, 6, "tasks"), Shape: work.Shape{MilliCPU: 1000 * int64(drawInt(0, 8, "cores")), MemoryMB: 100, Accelerators: a},
			Gang: drawOneIn(2, "gang"), SameRack: drawOneIn(2, "same rack"), BestEffort: drawOneIn(9, "fills"),
		}
		if drawOneIn(5, "data") {
			s.DataRack = "r0"
		}
		if drawOneIn(4, "bound") {
			s.MaxPerWorker = drawInt(1, 2, "per worker")
		}
		j := &work.Job{ID: fmt.Sprintf("j%d", i), Account: fmt.Sprint("a", drawInt(0, 1, "account")), Service: "s", Priority: drawInt(0, 2, "priority"), Steps: []work.Step{s}}
		tasksByWorker := map[string]int{"w00": drawInt(0, 1, "beside")}
		unit := Unit{
			Job: j, Guaranteed: drawOneIn(3, "reserved"), MustStartNow: drawOneIn(5, "pressed"), AnyRack: drawOneIn(5, "any rack"), Failed: drawOneIn(5, "failed"), Deferrable: drawOneIn(2, "patient"), Isolated: drawOneIn(5, "isolated"), Timeliness: Timeliness(drawInt(0, 4, "timeliness")),
			QueuedSince: time.Unix(int64(drawInt(0, 5, "since")), 0), Deadline: time.Unix(int64(drawInt(0, 5, "due")), 0), TasksByWorker: tasksByWorker,
		}
		unit.Careful, unit.AcceptsSuspects, unit.MaxRisk = drawOneIn(3, "careful"), drawOneIn(4, "accepts"), float64(drawInt(0, 4, "bound"))/8
		if drawOneIn(2, "forecast") {
			unit.Forecast = delay.Default().Forecast(delay.Job{
				Priority: j.Priority, Work: 100, Remaining: time.Duration(drawInt(1, 5, "remaining")) * time.Second,
				UntilLate: time.Duration(drawInt(-3, 9, "until late")) * time.Second, UntilExpired: time.Duration(drawInt(-3, 30, "until expired")) * time.Second,
			})
			unit.Duration = time.Duration(drawInt(0, 5, "duration")) * time.Second
			unit.Waited = time.Duration(drawInt(0, 5, "waited")) * time.Second
			unit.SpreadSlowdown = float64(drawInt(0, 3, "spread slowdown"))
			unit.StopTime, unit.Density = time.Second, float64(drawInt(0, 2, "density"))
		}
		unit.AvoidsRecentStarts = unit.Isolated && drawOneIn(2, "waits")
		if drawOneIn(2, "needs speed") {
			unit.MinSpeed = []float64{0.7, 1, 1.2}[drawInt(0, 2, "min speed")]
			unit.MinSpeedAfterStop = []float64{0, unit.MinSpeed, 1.3}[drawInt(0, 2, "min speed after stop")]
		}
		for n := range s.Count {
			if u := unit; s.Gang && n > 0 {
				in.units[len(in.units)-1].Indexes = append(in.units[len(in.units)-1].Indexes, n)
			} else {
				u.Indexes = []int{n}
				in.units = append(in.units, &u)
			}
		}
	}
	in.urgentReserve = float64(drawInt(0, 200, "keep"))
	return in
}

// Guards against plans of Decide that differ from those of refDecide, a simpler
// implementation of the same rules.
func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDecideInput(t)
		forReference, forDecide := in.clone(), in.clone()
		require.Equal(t, refDecide(forReference.workers, forReference.units, forReference.urgentReserve), Decide(forDecide.workers, forDecide.units, forDecide.urgentReserve))
	})
}

// fullFleetInput returns the input that is most expensive to decide: n workers that
// are all in use, n/40 urgent gangs of 8 that need preemption, n/40 gangs of priority 1
// whose slack runs out, and n single tasks.
func fullFleetInput(n int) decideInput {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	shape := func(accelerators int64) work.Shape {
		return work.Shape{MilliCPU: 1000 * accelerators, MemoryMB: 100, Accelerators: accelerators}
	}
	var in decideInput
	for i := range n {
		w := &Worker{
			ID: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/8), Schedulable: true,
			Capacity: work.Shape{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8},
		}
		for k := range 8 {
			r := Run{
				Key: work.RunKey{Task: work.TaskKey{Job: fmt.Sprintf("batch%d", i), Index: k}, Run: 1}, Demand: shape(1), Priority: 1 + k%2,
				Cost: float64(random.IntN(500)) / 2000, EndsIn: time.Duration(1000+random.IntN(9000)) * time.Millisecond,
			}
			if k < 2 {
				r.Gang = fmt.Sprint("gang", i/4)
			}
			w.Runs = append(w.Runs, r)
		}
		in.workers = append(in.workers, w)
	}
	single := &work.Job{ID: "single", Service: "s", Priority: 1, Steps: []work.Step{{Count: n, Shape: shape(2)}}}
	tasksByWorker := make(map[string]int)
	for i := range n {
		in.units = append(in.units, &Unit{Job: single, Indexes: []int{i}, TasksByWorker: tasksByWorker})
	}
	for g := range max(1, n/40) {
		j := &work.Job{ID: fmt.Sprintf("gang%d", g), Service: "s", Steps: []work.Step{{Count: 8, Shape: shape(2), Gang: true, SameRack: true}}}
		in.units = append(in.units, &Unit{Job: j, Indexes: []int{0, 1, 2, 3, 4, 5, 6, 7}, TasksByWorker: make(map[string]int), Forecast: forecastWithoutSlack(0), StopTime: time.Second})
		k := &work.Job{ID: fmt.Sprintf("batch%d", g), Service: "s", Priority: 1, Steps: j.Steps}
		in.units = append(in.units, &Unit{Job: k, Indexes: []int{0, 1, 2, 3, 4, 5, 6, 7}, TasksByWorker: make(map[string]int), Forecast: forecastWithoutSlack(1), StopTime: time.Second})
	}
	return in
}

func forecastWithoutSlack(priority int) delay.Forecast {
	return delay.Default().Forecast(delay.Job{Priority: priority, Work: 100, Remaining: 2 * time.Second, UntilLate: 3 * time.Second, UntilExpired: 9 * time.Second})
}

// Guards against decisions that become too slow at the design size of 1,100 workers. The
// bounds on runs and workers examined: at 240 workers, four times each run (8 a worker)
// for each of the 6 urgent gangs, and ten times each run for everything else; at 1,100
// workers, 20 times as many, about the square of the ratio of sizes.
func TestDecisionCostScalesWithFleetSize(t *testing.T) {
	examined := func(n int) int {
		in := fullFleetInput(n)
		p := newPass(in.workers, in.urgentReserve)
		p.run(in.units)
		require.NotEmpty(t, p.plan.Stops)
		return p.examined
	}
	at240, at1100 := examined(240), examined(1100)
	require.LessOrEqual(t, at1100, 20*at240)
	require.LessOrEqual(t, at240, (240/40)*4*240*8+240*8*10)
	t.Logf("examined %d with 240 workers, %d with 1,100", at240, at1100)
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{11, 66, 240, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := fullFleetInput(n)
			for b.Loop() {
				b.StopTimer()
				c := in.clone()
				b.StartTimer()
				Decide(c.workers, c.units, c.urgentReserve)
			}
		})
	}
}
