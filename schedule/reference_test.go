package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/work"
)

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
				w.await(Demand(u.step()))
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
