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

// The reference implementation below searches all runs for each decision. The indexed
// implementation was derived from it. Both share the order of units, the preemption
// rules and the cost of stopping a run.

type refWorker struct {
	*Worker
	free          work.Shape // not used by runs, less reservations beyond what ending ones release
	projectedFree work.Shape // after runs that stop or end soon, less all reservations
	freeNow       work.Shape // like free, without what units wait for until runs end by themselves
	projectedNow  work.Shape // like projectedFree, without the same
	idleMilliCPU  int64      // not declared by any run, best-effort ones included
	hasStarts     bool       // a run starts there in this pass
	held          bool       // a batch gang will start here after heldUntil
	heldUntil     time.Duration
	spare         work.Shape // expected to be free after heldUntil, less what is held
}

func newRefWorker(w *Worker) *refWorker {
	state := &refWorker{Worker: w, free: w.Capacity, projectedFree: w.Capacity, idleMilliCPU: w.Capacity.MilliCPU}
	for _, run := range w.Runs {
		state.free = state.free.Sub(run.Demand)
		state.idleMilliCPU -= run.MilliCPU
		if run.StopOverdue || (!run.Stopping && !run.EndsSoon) {
			state.projectedFree = state.projectedFree.Sub(run.Demand)
		}
	}
	state.freeNow, state.projectedNow = state.free, state.projectedFree
	return state
}

func (w *refWorker) reserve(d work.Shape) {
	w.await(d)
	w.projectedNow = w.projectedNow.Sub(d)
	w.freeNow = minShape(w.freeNow, w.projectedNow)
}

// await sets a demand aside, but not from units that have to start now.
func (w *refWorker) await(d work.Shape) {
	w.projectedFree = w.projectedFree.Sub(d)
	w.free = minShape(w.free, w.projectedFree)
}

func (w *refWorker) allocate(d work.Shape) {
	w.projectedFree = w.projectedFree.Sub(d)
	w.free = w.free.Sub(d)
	w.projectedNow = w.projectedNow.Sub(d)
	w.freeNow = w.freeNow.Sub(d)
}

func (w *refWorker) lossCost() float64 {
	var cost float64
	for _, run := range w.Runs {
		cost += run.Cost
	}
	return cost
}

func (w *refWorker) canRun(j *work.Job, s work.Step) bool {
	return w.Service == j.Service && Demand(s).FitsIn(w.Capacity) &&
		(s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel))
}

type refPass struct {
	workers       []*refWorker
	urgentReserve float64             // cores that deferrable units leave free for urgent work
	keptForUrgent map[*refWorker]bool // not available to deferrable single tasks; nil until needed
	keptFromGangs map[*refWorker]bool // not available to deferrable gangs; nil until needed
	batchSearches int                 // batch gangs for which runs to stop were looked for
	plan          Plan
}

func refDecide(workers []*Worker, units []*Unit, urgentReserve float64) Plan {
	p := &refPass{urgentReserve: urgentReserve}
	alignGangEnds(workers)
	for _, w := range workers {
		p.workers = append(p.workers, newRefWorker(w))
	}
	slices.SortFunc(p.workers, func(a, b *refWorker) int { return cmp.Compare(a.ID, b.ID) })
	sortUnits(units)
	for _, u := range units {
		before := len(p.plan.Placements)
		p.placeOrPreempt(u)
		if len(p.plan.Placements) == before {
			p.recordWithheld(u)
		}
	}
	return p.plan
}

func (p *refPass) placeOrPreempt(u *Unit) {
	if u.MinSpeed > 0 && p.placeOnFastWorkers(u) {
		return
	}
	if u.step().Gang && len(u.Indexes) > 1 && !u.CompletesGang && p.startOnAlikeWorkers(u) {
		return
	}
	sets, spread := p.candidateSets(u, refAnyWorker)
	if u.CompletesGang {
		p.startIn(u, sets)
		return
	}
	if p.startIn(u, sets) || (u.MustStartNow && p.startIn(u, spread)) {
		return
	}
	if u.mayPreempt() && (p.reserveIn(u, sets) || p.preemptIn(u, sets, nil)) {
		return
	}
	if spread != nil && u.mayPreempt() && !u.Guaranteed && !u.AnyRack && u.Forecast.Known() {
		slowed := u.Forecast
		slowed.Remaining = time.Duration(float64(slowed.Remaining) * max(1, u.SpreadSlowdown))
		if wait, chosen := p.soonestFit(u, sets); chosen != nil && u.Forecast.Loss(max(wait, u.Waited)) < slowed.Loss(0) {
			for _, w := range chosen {
				w.reserve(Demand(u.step()))
				u.TasksByWorker[w.ID]++
			}
			return
		}
	}
	if p.startIn(u, spread) {
		return
	}
	if !u.mayPreempt() {
		if u.Job.Priority > 0 && u.step().Gang && u.Forecast.Known() && u.Timeliness < Expired && !u.AvoidsRecentStarts {
			p.holdForBatch(u, sets, spread)
		}
		return
	}
	if p.reserveIn(u, spread) || p.preemptIn(u, spread, nil) {
		return
	}
	if u.Guaranteed && (u.MustStartNow || u.Timeliness > OnTime) {
		p.moveRuns(u, slices.Concat(sets, spread))
	}
	if u.Guaranteed || !u.Forecast.Known() {
		return
	}
	_, chosen := p.soonestFit(u, sets)
	if chosen == nil {
		_, chosen = p.soonestFit(u, spread)
	}
	for _, w := range chosen {
		w.await(Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
}

func refAnyWorker(*refWorker) bool { return true }

// placeOnFastWorkers tries workers of the speed that the unit needs. A late start elsewhere
// at once costs the unit what it loses by being late.
func (p *refPass) placeOnFastWorkers(u *Unit) bool {
	fast, _ := p.candidateSets(u, func(w *refWorker) bool { return refSpeed(w) >= u.MinSpeed })
	if p.startIn(u, fast) {
		return true
	}
	if u.CompletesGang || u.MustStartNow || !u.mayPreempt() {
		return false
	}
	if p.reserveIn(u, fast) {
		return true
	}
	if u.MinSpeedAfterStop == 0 {
		return false
	}
	fast, _ = p.candidateSets(u, func(w *refWorker) bool { return refSpeed(w) >= u.MinSpeedAfterStop })
	all, _ := p.candidateSets(u, refAnyWorker)
	for _, set := range all {
		if refSelectWorkers(u, set, func(w *refWorker) work.Shape { return refFreeFor(w, u) }) != nil {
			if u.Forecast.Known() {
				return p.preemptIn(u, fast, &u.Forecast.LateLoss)
			}
			return p.preemptIn(u, fast, nil)
		}
	}
	return p.preemptIn(u, fast, nil)
}

func refSpeed(w *refWorker) float64 {
	if w.Speed == 0 {
		return 1
	}
	return w.Speed
}

// startOnAlikeWorkers starts a gang on slow workers or on others, if there are both, and a
// careful gang where it is least likely to fail, which may be on both.
func (p *refPass) startOnAlikeWorkers(u *Unit) bool {
	slow, _ := p.candidateSets(u, func(w *refWorker) bool { return w.Slow })
	others, _ := p.candidateSets(u, func(w *refWorker) bool { return !w.Slow })
	if !refHasBoth(p.eligible(u)) {
		return false
	}
	if !u.Careful {
		return p.startIn(u, slow) || p.startIn(u, others)
	}
	all, _ := p.candidateSets(u, refAnyWorker)
	return p.startIn(u, slices.Concat(slow, others, all))
}

func refHasBoth(workers []*refWorker) bool {
	return slices.ContainsFunc(workers, func(w *refWorker) bool { return w.Slow }) && slices.ContainsFunc(workers, func(w *refWorker) bool { return !w.Slow })
}

func (p *refPass) startIn(u *Unit, sets [][]*refWorker) bool {
	if u.Careful {
		var selections [][]*refWorker
		for _, set := range sets {
			if chosen := refSelectWorkers(u, set, func(w *refWorker) work.Shape { return refFreeFor(w, u) }); chosen != nil {
				selections = append(selections, chosen)
			}
		}
		slices.SortStableFunc(selections, func(a, b []*refWorker) int { return cmp.Compare(refTotalRisk(a), refTotalRisk(b)) })
		if len(selections) > 0 {
			p.start(u, selections[0])
		}
		return len(selections) > 0
	}
	for _, set := range sets {
		if chosen := refSelectWorkers(u, set, func(w *refWorker) work.Shape { return refFreeFor(w, u) }); chosen != nil {
			p.start(u, chosen)
			return true
		}
	}
	return false
}

func (p *refPass) reserveIn(u *Unit, sets [][]*refWorker) bool {
	for _, set := range sets {
		if chosen := refSelectWorkers(u, set, func(w *refWorker) work.Shape { return w.projectedFree }); chosen != nil {
			for _, w := range chosen {
				w.reserve(Demand(u.step()))
				u.TasksByWorker[w.ID]++
			}
			return true
		}
	}
	return false
}

func (p *refPass) start(u *Unit, chosen []*refWorker) {
	for i, w := range chosen {
		w.allocate(Demand(u.step()))
		if w.held && (u.Duration == 0 || u.Duration > w.heldUntil) {
			w.spare = w.spare.Sub(Demand(u.step()))
		}
		w.hasStarts = true
		w.idleMilliCPU -= u.step().Shape.MilliCPU
		u.TasksByWorker[w.ID]++
		p.plan.Placements = append(p.plan.Placements, Placement{
			Task:   work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[i]},
			Worker: w.ID, Ticket: u.Tickets[w.ID],
		})
	}
	for _, w := range chosen {
		if u.Isolated || (w.Suspect && !u.AcceptsSuspects) {
			w.free, w.projectedFree = work.Shape{}, work.Shape{}
			w.freeNow, w.projectedNow = work.Shape{}, work.Shape{}
		}
	}
}

func (p *refPass) eligible(u *Unit) []*refWorker {
	var eligible []*refWorker
	for _, w := range p.workers {
		if p.isCandidate(u, w) {
			eligible = append(eligible, w)
		}
	}
	return refWithinRisk(u, eligible)
}

// candidateSets returns the sets of workers to try among the eligible ones that keep
// selects.
func (p *refPass) candidateSets(u *Unit, keep func(*refWorker) bool) (sets, spread [][]*refWorker) {
	s := u.step()
	eligible := slices.DeleteFunc(p.eligible(u), func(w *refWorker) bool { return !keep(w) })
	racks := refRacksFullestFirst(eligible)
	if s.DataRack == "" && (!s.Gang || !s.SameRack) {
		if u.Deferrable && !s.Gang {
			first := len(racks) - int(urgentRackShare*float64(len(racks)))
			var open []*refWorker
			for i, rack := range racks {
				for _, w := range rack {
					if i < first || w.Slow || refNeedsTrial(w) {
						open = append(open, w)
					}
				}
			}
			return [][]*refWorker{p.withoutKept(open, false)}, nil
		}
		if u.Deferrable {
			return [][]*refWorker{p.withoutKept(eligible, true)}, nil
		}
		return [][]*refWorker{eligible}, nil
	}
	leavesReserve := u.Deferrable && s.DataRack == ""
	for _, rack := range racks {
		if leavesReserve {
			sets = append(sets, p.withoutKept(rack, true))
		} else if s.DataRack == "" || rack[0].Rack == s.DataRack {
			sets = append(sets, rack)
		}
	}
	if u.Job.Priority == 0 || u.AnyRack || !refFitsReleasedRack(u, racks, s.DataRack) {
		spread = [][]*refWorker{eligible}
		if leavesReserve {
			spread = [][]*refWorker{p.withoutKept(eligible, true)}
		}
	}
	return sets, spread
}

// withoutKept removes the workers kept for urgent work, or those kept from gangs.
func (p *refPass) withoutKept(workers []*refWorker, gang bool) []*refWorker {
	if p.keptForUrgent == nil {
		p.keptForUrgent, p.keptFromGangs = make(map[*refWorker]bool), make(map[*refWorker]bool)
		remaining := p.urgentReserve
		racks := refRacksFullestFirst(p.workers)
		var others, slow []*refWorker // in the order in which they are kept
		for i := len(racks) - 1; i >= 0; i-- {
			slices.SortStableFunc(racks[i], func(a, b *refWorker) int { return cmp.Compare(refUsableCores(b), refUsableCores(a)) })
			for _, w := range racks[i] {
				p.keptFromGangs[w] = i >= len(racks)-int(urgentRackShare*float64(len(racks)))
				switch {
				case w.Schedulable && w.Slow:
					slow = append(slow, w)
				case w.Schedulable:
					others = append(others, w)
				}
			}
		}
		for _, w := range append(others, slow...) {
			if remaining > 0 {
				p.keptForUrgent[w] = true
				remaining -= refUsableCores(w)
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w *refWorker) bool {
		if gang {
			return p.keptForUrgent[w] && p.keptFromGangs[w]
		}
		return p.keptForUrgent[w] && !refNeedsTrial(w)
	})
}

func refNeedsTrial(w *refWorker) bool { return w.Unproven && len(w.Runs) == 0 && !w.hasStarts }

func (p *refPass) isCandidate(u *Unit, w *refWorker) bool {
	_, ok := u.Tickets[w.ID]
	return (ok || !u.Job.Advised) && w.Schedulable && w.canRun(u.Job, u.step()) && u.satisfiesRackAffinity(w.Worker) && !(u.Isolated && w.hasStarts) && !(u.AvoidsRecentStarts && w.StartedRecently)
}

func refWithinRisk(u *Unit, workers []*refWorker) []*refWorker {
	if u.AcceptsSuspects {
		return workers
	}
	allSuspect := true
	for _, w := range workers {
		allSuspect = allSuspect && w.Suspect
	}
	var within []*refWorker
	for _, w := range workers {
		if (u.Failed && w.Suspect && !allSuspect) || (w.Suspect && w.Probing) || (u.MaxRisk > 0 && w.FailureRisk > u.MaxRisk) {
			continue
		}
		within = append(within, w)
	}
	return within
}

// recordWithheld adds the step of a unit that has not started to the plan if all workers that could
// run it, whatever their risk, have room for it.
func (p *refPass) recordWithheld(u *Unit) {
	step := StepKey{u.Job.ID, u.Occurrence, u.Step}
	var all []*refWorker
	for _, w := range p.workers {
		if p.isCandidate(u, w) {
			all = append(all, w)
		}
	}
	if len(refWithinRisk(u, all)) == len(all) || slices.Contains(p.plan.Withheld, step) {
		return
	}
	plain := *u
	plain.Careful = false
	if refSelectWorkers(&plain, all, func(w *refWorker) work.Shape { return refFreeFor(w, u) }) != nil {
		p.plan.Withheld = append(p.plan.Withheld, step)
	}
}

func refFitsReleasedRack(u *Unit, racks [][]*refWorker, dataRack string) bool {
	for _, rack := range racks {
		if dataRack != "" && rack[0].Rack != dataRack {
			continue
		}
		if refSelectWorkers(u, rack, refReleasable) != nil {
			return true
		}
	}
	return false
}

func refReleasable(w *refWorker) work.Shape {
	left := w.Capacity
	for _, run := range w.Runs {
		if run.LongRunning && !(run.Stopping && !run.StopOverdue) {
			left = left.Sub(run.Demand)
		}
	}
	return left
}

func refRacksFullestFirst(workers []*refWorker) [][]*refWorker {
	position := make(map[string]int)
	var racks [][]*refWorker
	for _, w := range workers {
		i, ok := position[w.Rack]
		if !ok {
			i = len(racks)
			position[w.Rack] = i
			racks = append(racks, nil)
		}
		racks[i] = append(racks[i], w)
	}
	slices.SortStableFunc(racks, func(a, b []*refWorker) int { return cmp.Compare(refFreeCores(a), refFreeCores(b)) })
	return racks
}

func refFreeCores(workers []*refWorker) float64 {
	var n float64
	for _, w := range workers {
		n += refUsableCores(w)
	}
	return n
}

func refUsableCores(w *refWorker) float64 {
	if w.free.MilliCPU < 0 || w.free.MemoryMB < 0 || w.free.Accelerators < 0 {
		return 0
	}
	return w.free.Cores()
}

func refSelectWorkers(u *Unit, workers []*refWorker, available func(*refWorker) work.Shape) []*refWorker {
	d, s := Demand(u.step()), u.step()
	remaining := make([]work.Shape, len(workers))
	stepTasks := make([]int, len(workers))
	for i, w := range workers {
		remaining[i], stepTasks[i] = available(w), u.TasksByWorker[w.ID]
	}
	chosen := make([]*refWorker, 0, len(u.Indexes))
	for range u.Indexes {
		best := -1
		for i := range workers {
			if !d.FitsIn(remaining[i]) || (s.MaxPerWorker > 0 && stepTasks[i] >= s.MaxPerWorker) {
				continue
			}
			if best < 0 {
				best = i
				continue
			}
			riskA, riskB := 0.0, 0.0
			if u.Careful && !u.Isolated {
				riskA = refAddedRisk(u, workers[i], chosen, remaining[i], stepTasks[i])
				riskB = refAddedRisk(u, workers[best], chosen, remaining[best], stepTasks[best])
			}
			if riskA < riskB || (riskA == riskB && refBetterFit(u, workers[i], workers[best], remaining[i], remaining[best])) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		remaining[best] = remaining[best].Sub(d)
		stepTasks[best]++
		chosen = append(chosen, workers[best])
	}
	return chosen
}

// refTotalRisk returns the sum of the risks of the different workers, in the order of
// their first tasks.
func refTotalRisk(chosen []*refWorker) float64 {
	seen := make(map[*refWorker]bool)
	sum := 0.0
	for _, w := range chosen {
		if !seen[w] {
			sum += w.FailureRisk
		}
		seen[w] = true
	}
	return sum
}

// refAddedRisk returns the risk of a worker without tasks of the unit, divided by the
// number of tasks that it would take one by one.
func refAddedRisk(u *Unit, w *refWorker, chosen []*refWorker, remaining work.Shape, stepTasks int) float64 {
	if slices.Contains(chosen, w) {
		return 0
	}
	d, n := Demand(u.step()), 0
	for n < len(u.Indexes)-len(chosen) && d.FitsIn(remaining) && (u.step().MaxPerWorker == 0 || stepTasks+n < u.step().MaxPerWorker) {
		remaining = remaining.Sub(d)
		n++
	}
	return w.FailureRisk / float64(n)
}

func refBetterFit(u *Unit, a, b *refWorker, remainingA, remainingB work.Shape) bool {
	if u.Isolated && a.lossCost() != b.lossCost() {
		return a.lossCost() < b.lossCost()
	}
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if u.MinSpeed > 0 && a.Unproven != b.Unproven {
		return b.Unproven
	}
	if u.MinSpeed == 0 && len(u.Indexes) == 1 && refNeedsTrial(a) != refNeedsTrial(b) {
		return refNeedsTrial(a)
	}
	if a.Slow != b.Slow {
		return a.Slow
	}
	if u.step().BestEffort {
		return a.idleMilliCPU > b.idleMilliCPU
	}
	return remainingA.Cores() < remainingB.Cores()
}

// refFreeFor leaves out what is held for a gang, unless the unit ends before that starts. A
// unit that has to start now also gets what others wait for.
func refFreeFor(w *refWorker, u *Unit) work.Shape {
	if u.MustStartNow {
		return w.freeNow
	}
	if w.held && (u.Duration == 0 || u.Duration > w.heldUntil) {
		return minShape(w.free, w.spare)
	}
	return w.free
}

func (p *refPass) holdForBatch(u *Unit, sets, spread [][]*refWorker) {
	isHeld := func(w *refWorker) bool { return w.held }
	for _, group := range [][][]*refWorker{sets, spread} {
		for i := range group {
			group[i] = slices.DeleteFunc(slices.Clone(group[i]), isHeld)
		}
	}
	where := sets
	wait, chosen := p.soonestFit(u, sets)
	if chosen == nil && spread != nil {
		where = spread
		wait, chosen = p.soonestFit(u, spread)
	}
	if horizon := min(wait, delay.Forever/2) + u.Forecast.Remaining; wait > 0 && u.Forecast.Loss(horizon)-u.Forecast.Loss(0) < minHoldLoss*u.Forecast.LateLoss {
		return
	}
	avoided := u.Forecast.Loss(wait) - u.Forecast.Loss(min(u.StopTime, wait))
	searches := p.batchSearches < maxBatchSearches
	if avoided > 0 {
		p.batchSearches++
	}
	if best := p.cheapest(u, where); best != nil && searches && avoided > best.totalCost {
		p.commit(best)
		return
	}
	for _, w := range chosen {
		if !w.held {
			w.held, w.heldUntil, w.spare = true, wait, refCapacityAfter(w, wait)
		}
		w.spare = w.spare.Sub(Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
}

func (p *refPass) cheapest(u *Unit, sets [][]*refWorker) *refPreemption {
	var best *refPreemption
	for _, set := range sets {
		if candidate := p.planPreemption(u, set); candidate != nil && (best == nil || candidate.totalCost < best.totalCost) {
			best = candidate
		}
	}
	return best
}

func (p *refPass) preemptIn(u *Unit, sets [][]*refWorker, limit *float64) bool {
	best := p.cheapest(u, sets)
	if best != nil && limit != nil && best.totalCost >= *limit {
		best = nil
	}
	if u.Guaranteed || !u.Forecast.Known() {
		if best != nil {
			p.commit(best)
		}
		return best != nil
	}
	wait, chosen := p.soonestFit(u, sets)
	wait = max(wait, u.Waited)
	if best != nil && u.Forecast.Loss(wait)-u.Forecast.Loss(min(u.StopTime, wait)) > best.totalCost {
		p.commit(best)
		return true
	}
	if chosen == nil || u.AnyRack || u.Forecast.Loss(wait)-u.Forecast.Loss(0) > maxWaitLoss*u.Forecast.LateLoss {
		return false
	}
	for _, w := range chosen {
		w.await(Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
	return true
}

// soonestFit tries the ends of all runs of the sets in their order.
func (p *refPass) soonestFit(u *Unit, sets [][]*refWorker) (time.Duration, []*refWorker) {
	waits := []time.Duration{0}
	for _, set := range sets {
		for _, w := range set {
			for _, run := range w.Runs {
				waits = append(waits, run.EndsIn)
			}
		}
	}
	slices.Sort(waits)
	for _, wait := range waits {
		for _, set := range sets {
			if chosen := refSelectWorkers(u, set, func(w *refWorker) work.Shape { return refCapacityAfter(w, wait) }); chosen != nil {
				return wait, chosen
			}
		}
	}
	return delay.Forever, nil
}

func refCapacityAfter(w *refWorker, wait time.Duration) work.Shape {
	free := w.projectedFree
	for _, run := range w.Runs {
		if run.EndsIn > 0 && run.EndsIn <= wait && !run.Stopping && !run.EndsSoon {
			free = free.Add(run.Demand)
		}
	}
	return free
}

// moveRuns also stops runs of the account within its guarantee that fit elsewhere.
func (p *refPass) moveRuns(u *Unit, sets [][]*refWorker) {
	var best *refPreemption
	for _, set := range sets {
		if candidate := p.planMoves(u, set, true); candidate != nil && candidate.victimsFitElsewhere() && (best == nil || candidate.totalCost < best.totalCost) {
			best = candidate
		}
	}
	if best != nil {
		p.commit(best)
	}
}

// reclaimable returns the capacity of each worker that is not used within guarantees.
func (pr *refPreemption) reclaimable() []work.Shape {
	left := make([]work.Shape, len(pr.workers))
	for i, w := range pr.workers {
		left[i] = w.projectedFree
		for _, run := range w.Runs {
			if pr.isVictim[run.Key] || run.preemptibleBy(pr.unit) {
				left[i] = left[i].Add(run.Demand)
			}
		}
		for _, chosen := range pr.chosen {
			if chosen == w {
				left[i] = left[i].Sub(Demand(pr.unit.step()))
			}
		}
	}
	return left
}

func refMayRun(w *refWorker, run Run) bool {
	return w.Schedulable && (run.RequiredLabel == "" || slices.Contains(w.Labels, run.RequiredLabel))
}

// movable reports whether the run may be moved to another worker.
func (pr *refPreemption) movable(from *refWorker, run Run) bool {
	if !pr.moves || !run.movableFor(pr.unit) {
		return false
	}
	for i, left := range pr.reclaimable() {
		if w := pr.workers[i]; w != from && refMayRun(w, run) && run.Demand.FitsIn(left) {
			return true
		}
	}
	return false
}

func (pr *refPreemption) victimsFitElsewhere() bool {
	left := pr.reclaimable()
	for _, key := range pr.order {
		victim := pr.run(key)
		if !victim.Guaranteed {
			continue
		}
		i := slices.IndexFunc(pr.workers, func(w *refWorker) bool {
			return refMayRun(w, victim) && victim.Demand.FitsIn(left[slices.Index(pr.workers, w)])
		})
		if i < 0 {
			return false
		}
		left[i] = left[i].Sub(victim.Demand)
	}
	return true
}

func (pr *refPreemption) run(key work.RunKey) Run {
	for _, w := range pr.workers {
		for _, run := range w.Runs {
			if run.Key == key {
				return run
			}
		}
	}
	return Run{}
}

func (p *refPass) planPreemption(u *Unit, workers []*refWorker) *refPreemption {
	return p.planMoves(u, workers, false)
}

func (p *refPass) planMoves(u *Unit, workers []*refWorker, moves bool) *refPreemption {
	pr := &refPreemption{refPass: p, unit: u, moves: moves, projectedFree: make(map[*refWorker]work.Shape), stepTasks: maps.Clone(u.TasksByWorker), isVictim: make(map[work.RunKey]bool)}
	for _, w := range p.workers {
		pr.projectedFree[w] = w.projectedFree
	}
	for range u.Indexes {
		w := pr.assignCheapest(workers)
		if w == nil {
			return nil
		}
		pr.chosen = append(pr.chosen, w)
	}
	return pr
}

func (p *refPass) commit(pr *refPreemption) {
	for _, w := range p.workers {
		for i := range w.Runs {
			run := &w.Runs[i]
			if pr.isVictim[run.Key] {
				run.Stopping = true
				if run.Budget != nil {
					run.Budget.Left--
				}
				w.projectedFree = w.projectedFree.Add(run.Demand)
				w.projectedNow = w.projectedNow.Add(run.Demand)
				p.plan.Stops = append(p.plan.Stops, Stop{RunKey: run.Key, For: pr.unit.Job.ID, Cost: run.Cost})
			}
		}
	}
	for _, w := range pr.chosen {
		w.reserve(Demand(pr.unit.step()))
		pr.unit.TasksByWorker[w.ID]++
	}
}

type refPreemption struct {
	*refPass
	unit          *Unit
	projectedFree map[*refWorker]work.Shape
	stepTasks     map[string]int
	isVictim      map[work.RunKey]bool
	order         []work.RunKey // of the victims, as they were selected
	moves         bool          // runs within the guarantee of the unit's account may be moved
	chosen        []*refWorker
	totalCost     float64 // of stopping the victims
}

func (pr *refPreemption) assignCheapest(workers []*refWorker) *refWorker {
	d, s := Demand(pr.unit.step()), pr.unit.step()
	var best *refWorker
	var bestVictims []Run
	bestCost := 0.0
	for _, w := range workers {
		if s.MaxPerWorker > 0 && pr.stepTasks[w.ID] >= s.MaxPerWorker {
			continue
		}
		victims, cost, ok := pr.victims(w, d)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	if best == nil {
		return nil
	}
	for _, victim := range bestVictims {
		pr.addVictim(victim)
	}
	pr.totalCost += bestCost
	pr.projectedFree[best] = pr.projectedFree[best].Sub(d)
	pr.stepTasks[best.ID]++
	return best
}

func (pr *refPreemption) addVictim(victim Run) {
	for _, w := range pr.workers {
		for _, run := range w.Runs {
			if !run.Stopping && !run.EndsSoon && !pr.isVictim[run.Key] && (run.Key == victim.Key || (victim.Gang != "" && run.Gang == victim.Gang)) {
				pr.isVictim[run.Key] = true
				pr.order = append(pr.order, run.Key)
				pr.projectedFree[w] = pr.projectedFree[w].Add(run.Demand)
			}
		}
	}
}

func (pr *refPreemption) victims(w *refWorker, d work.Shape) ([]Run, float64, bool) {
	if d.FitsIn(pr.projectedFree[w]) {
		return nil, 0, true
	}
	var runs []Run
	for _, run := range w.Runs {
		if (run.preemptibleBy(pr.unit) || pr.movable(w, run)) && !pr.isVictim[run.Key] {
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(pr.cost([]Run{a}), pr.cost([]Run{b})), -cmp.Compare(a.Priority, b.Priority))
	})
	chosen, ok := pr.victimsInOrder(w, d, runs)
	if !ok && slices.ContainsFunc(runs, func(run Run) bool { return run.Budget != nil }) {
		slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(b.Demand.Cores(), a.Demand.Cores()) })
		chosen, ok = pr.victimsInOrder(w, d, runs)
	}
	return chosen, pr.cost(chosen), ok
}

func (pr *refPreemption) victimsInOrder(w *refWorker, d work.Shape, runs []Run) ([]Run, bool) {
	remaining := pr.projectedFree[w]
	var chosen []Run
	for _, run := range runs {
		if d.FitsIn(remaining) {
			break
		}
		if !pr.withinBudget(append(slices.Clone(chosen), run), run.Budget) {
			continue
		}
		chosen = append(chosen, run)
		remaining = remaining.Add(run.Demand)
	}
	if !d.FitsIn(remaining) {
		return nil, false
	}
	return refDropUnneeded(chosen, remaining, d), true
}

// withinBudget reports whether the stops of all victims, chosen ones included, and of
// their gangs are within the budget.
func (pr *refPreemption) withinBudget(chosen []Run, budget *StopBudget) bool {
	if budget == nil {
		return true
	}
	stops := 0
	for _, w := range pr.workers {
		for _, run := range w.Runs {
			ends := slices.ContainsFunc(chosen, func(victim Run) bool {
				return run.Key == victim.Key || (victim.Gang != "" && run.Gang == victim.Gang)
			})
			if run.Budget == budget && (pr.isVictim[run.Key] || (ends && !run.Stopping && !run.EndsSoon)) {
				stops++
			}
		}
	}
	return stops <= budget.Left
}

func refDropUnneeded(victims []Run, remaining, demand work.Shape) []Run {
	return slices.DeleteFunc(slices.Clone(victims), func(run Run) bool {
		if reduced := remaining.Sub(run.Demand); demand.FitsIn(reduced) {
			remaining = reduced
			return true
		}
		return false
	})
}

func (pr *refPreemption) cost(victims []Run) float64 {
	total := 0.0
	for _, victim := range victims {
		for _, w := range pr.workers {
			for _, run := range w.Runs {
				if !pr.isVictim[run.Key] && (run.Key == victim.Key || (victim.Gang != "" && run.Gang == victim.Gang)) {
					total += run.Cost
				}
			}
		}
	}
	return total
}
