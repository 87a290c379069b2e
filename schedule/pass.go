package schedule

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// pass is the state of one scheduling pass, a call of Decide.
type pass struct {
	workers           []*workerState
	rackCount         int
	urgentReserve     float64                        // cores that deferrable units leave free for urgent work
	reserveMarked     bool                           // workerState.keptForUrgent and keptFromGangs are set
	runsIndexed       bool                           // workerState.runsByCost and budgetWorkers are set
	budgetWorkers     map[*StopBudget][]*workerState // that have runs with the budget, once for each run
	cachedCandidates  candidates
	changes           int            // starts and reservations so far
	lastUnplaced      equivalenceKey // of the latest unit that could not be scheduled
	changesAtUnplaced int            // value of changes at that unit
	examined          int            // workers and runs examined, as a measure of cost
	batchSearches     int            // batch gangs for which runs to stop were looked for
	plan              Plan
}

// equivalenceKey identifies units that are interchangeable in placement: those of
// one step that agree in Failed, Deferrable, Isolated, AvoidsRecentStarts, the speeds that
// they need and the fields about the risk of failures.
type equivalenceKey struct {
	job                          string
	occurrence, step             int
	failed, deferrable, isolated bool
	avoidsRecentStarts           bool
	minSpeed, minSpeedAfterStop  float64
	careful, acceptsSuspects     bool
	maxRisk                      float64
}

func keyOf(u *Unit) equivalenceKey {
	return equivalenceKey{u.Job.ID, u.Occurrence, u.Step, u.Failed, u.Deferrable, u.Isolated, u.AvoidsRecentStarts, u.MinSpeed, u.MinSpeedAfterStop, u.Careful, u.AcceptsSuspects, u.MaxRisk}
}

// Decide places the units that fit, in order of precedence, and preempts runs for urgent
// ones. Deferrable units without a DataRack leave urgentReserve cores free, gangs in at
// most urgentRackShare of the racks, on the workers with the most free capacity, for
// urgent units that are expected to arrive.
// Decide changes its arguments: it sorts units, adds to TasksByWorker, clears EndsSoon
// of gang members that wait for others, sets Stopping of preempted runs and takes them
// from their StopBudget.
func Decide(workers []*Worker, units []*Unit, urgentReserve float64) Plan {
	p := newPass(workers, urgentReserve)
	p.run(units)
	return p.plan
}

func newPass(workers []*Worker, urgentReserve float64) *pass {
	p := &pass{urgentReserve: urgentReserve}
	alignGangEnds(workers)
	for _, w := range workers {
		p.workers = append(p.workers, newWorkerState(w))
	}
	slices.SortFunc(p.workers, func(a, b *workerState) int { return cmp.Compare(a.ID, b.ID) })
	rackIndexes := make(map[string]int)
	for i, w := range p.workers {
		n, ok := rackIndexes[w.Rack]
		if !ok {
			n = len(rackIndexes)
			rackIndexes[w.Rack] = n
		}
		w.index, w.rackIndex = i, n
	}
	p.rackCount = len(rackIndexes)
	return p
}

func (p *pass) run(units []*Unit) {
	sortUnits(units)
	for _, u := range units {
		p.scheduleUnit(u)
	}
}

func (p *pass) scheduleUnit(u *Unit) {
	// An equivalent unit could not be scheduled, and no capacity has changed since.
	if !u.CompletesGang && keyOf(u) == p.lastUnplaced && p.changes == p.changesAtUnplaced {
		return
	}
	before, started := p.changes, len(p.plan.Placements)
	p.placeOrPreempt(u)
	if len(p.plan.Placements) == started {
		p.recordWithheld(u)
	}
	if p.changes == before {
		p.lastUnplaced, p.changesAtUnplaced = keyOf(u), before
	}
}

// placeOrPreempt starts a unit if it fits. Otherwise it reserves capacity for an
// urgent unit, and preempts runs if there is not enough to reserve. For a batch gang whose
// slack runs out, it holds capacity that is expected to be free later.
func (p *pass) placeOrPreempt(u *Unit) {
	if u.MinSpeed > 0 && p.placeOnFastWorkers(u) {
		return
	}
	sets, spread := p.candidateSets(u, p.candidates(u))
	if p.startOnAlikeWorkers(u) {
		return
	}
	if u.CompletesGang {
		p.startIn(u, sets)
		return
	}
	if p.startIn(u, sets) || (u.MustStartNow && p.startIn(u, spread)) {
		return
	}
	// Reserve or preempt where the unit runs at full speed before starting it
	// where it is slow: the delay is no longer than a run takes to stop.
	if u.mayPreempt() && (p.reserveIn(u, sets) || p.preemptIn(u, sets, math.Inf(1))) {
		return
	}
	if spread != nil && p.awaitFullSpeed(u, sets) {
		return
	}
	if p.startIn(u, spread) {
		return
	}
	if !u.mayPreempt() {
		p.holdForBatch(u, sets, spread)
		return
	}
	if !p.reserveIn(u, spread) && !p.preemptIn(u, spread, math.Inf(1)) && !p.moveRuns(u, sets, spread) {
		p.awaitSoonest(u, sets, spread)
	}
}

// startIn starts the unit in the first set of workers whose free capacity holds it.
func (p *pass) startIn(u *Unit, sets [][]*workerState) bool {
	if u.Careful {
		chosen := p.safestSet(u, sets)
		if chosen != nil {
			p.start(u, chosen)
		}
		return chosen != nil
	}
	for _, set := range sets {
		if chosen := p.selectWorkers(u, set, u.freeCapacity); chosen != nil {
			p.start(u, chosen)
			return true
		}
	}
	return false
}

// reserveIn reserves capacity for the unit in the first set of workers whose
// projected free capacity holds it.
func (p *pass) reserveIn(u *Unit, sets [][]*workerState) bool {
	for _, set := range sets {
		if chosen := p.selectWorkers(u, set, projectedFreeCapacity); chosen != nil {
			p.reserve(u, chosen)
			return true
		}
	}
	return false
}

func (p *pass) reserve(u *Unit, chosen []*workerState) {
	p.changes++
	for _, w := range chosen {
		w.reserve(Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
}

// await sets capacity aside that is expected to be free once runs end by themselves.
func (p *pass) await(u *Unit, chosen []*workerState) {
	p.changes++
	for _, w := range chosen {
		w.await(Demand(u.step()))
		u.TasksByWorker[w.ID]++
	}
}

func (p *pass) start(u *Unit, chosen []*workerState) {
	p.changes++
	for i, w := range chosen {
		w.allocate(u, Demand(u.step()))
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
			w.isolate()
		}
	}
}
