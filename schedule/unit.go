package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/work"
)

// Timeliness tells whether a job is expected to meet its deadline.
type Timeliness int

// Values of Timeliness, in order of precedence.
const (
	OnTime   Timeliness = iota // expected to meet its deadline with slack
	AtRisk                     // expected to meet it only if nothing delays it
	Expiring                   // expected to miss it, and to expire soon unless it starts
	Late                       // expected to miss it; users rate it lower than an on-time job
	Expired                    // so late that users rate it like a job that was not done
)

// String returns the name of the value.
func (t Timeliness) String() string {
	return [...]string{"OnTime", "AtRisk", "Expiring", "Late", "Expired"}[t]
}

// Unit is a gang or a single task: its tasks are placed all together or not at all.
type Unit struct {
	Job                *work.Job
	Occurrence         int
	Step               int
	Indexes            []int
	Guaranteed         bool              // within the guaranteed capacity of the client account
	QueuedSince        time.Time         // later of job acceptance and occurrence start
	MustStartNow       bool              // has to start now, also where it is slower or capacity is held
	AnyRack            bool              // has waited long enough for a rack where it is not slower
	Failed             bool              // a run of the unit has failed
	Careful            bool              // goes where its members are least likely to fail
	MaxRisk            float64           // highest FailureRisk of its workers; 0 for no bound
	AcceptsSuspects    bool              // has waited long enough: suspect workers and MaxRisk do not bound it
	Isolated           bool              // may crash its workers: nothing else starts there in the same pass
	AvoidsRecentStarts bool              // isolated, and waits for workers on which nothing has just started
	CompletesGang      bool              // holds the missing members of a gang that has partly started
	GangRack           string            // rack of the members that have started
	Deferrable         bool              // can start later and still meet its deadline
	Deadline           time.Time         // by which the job should be done
	Timeliness         Timeliness        // of the job
	Forecast           delay.Forecast    // what the unit loses by waiting; zero without a deadline
	Density            float64           // value lost per second of delay and core-second of its step
	Duration           time.Duration     // expected duration of a task; 0 if unknown
	Waited             time.Duration     // since the unit could start
	SpreadSlowdown     float64           // factor by which the unit takes longer on several racks, or away from its data; 0 counts as 1
	StopTime           time.Duration     // within which a run that is preempted for the unit ends
	Share              *Share            // of the client account in the service; nil if it does not count
	beyondShare        bool              // the account uses its share without the unit; set by sortUnits
	FleetTime          time.Duration     // time that the work of its whole step would take on the whole fleet
	MinSpeed           float64           // of a worker on which the job is in time if it starts now; 0 if any will do
	MinSpeedAfterStop  float64           // the same if it starts after runs have been stopped for it
	TasksByWorker      map[string]int    // tasks of the step by worker; shared by its units
	Tickets            map[string]string // by worker; an advised job runs only where it has one
}

// BeyondShare reports whether the client account uses its share without the unit. It is
// known after a pass.
func (u *Unit) BeyondShare() bool { return u.beyondShare }

func (u *Unit) step() work.Step { return u.Job.Steps[u.Step] }

// satisfiesRackAffinity reports whether the worker is in the rack that the unit is
// bound to. A unit is bound if it completes a gang that has to run in one rack.
func (u *Unit) satisfiesRackAffinity(w *Worker) bool {
	return !u.CompletesGang || !u.step().SameRack || w.Rack == u.GangRack
}

// Share is the share of a client account in the capacity of a service. The units of the
// account have the same one.
type Share struct {
	Used     work.Shape // by the runs of the account beyond its guarantee
	Capacity work.Shape // of the service, without that used within guarantees
	Part     float64    // of the capacity that the account may use before others go first
}

// isUsedUp reports whether the account uses its share of a resource if units of the given
// demand start as well.
func (s *Share) isUsedUp(more work.Shape) bool {
	used := s.Used.Add(more)
	reaches := func(used, capacity int64) bool { return used > 0 && float64(used) >= s.Part*float64(capacity) }
	return reaches(used.MilliCPU, s.Capacity.MilliCPU) || reaches(used.MemoryMB, s.Capacity.MemoryMB) || reaches(used.Accelerators, s.Capacity.Accelerators)
}

// Placement is the decision to start a task.
type Placement struct {
	Task   work.TaskKey
	Worker string
	Ticket string
}

// Plan is the result of a scheduling pass.
type Plan struct {
	Placements []Placement
	Stops      []Stop
	Withheld   []StepKey // that would have started units if these accepted suspects
}

// StepKey identifies a step of an occurrence of a job.
type StepKey struct {
	Job              string
	Occurrence, Step int
}

// Stop is the decision to stop a run.
type Stop struct {
	work.RunKey
	For  string  // job for which it is stopped
	Cost float64 // of the stop, by delay.Model.CostOfStop
}

// sortUnits sorts units by precedence: by priority, then units within a guarantee
// first, then by precedence class, then units of accounts that use less than their share
// first, then batch units by density, then by order time. Timeliness counts because under
// overload jobs that are late in any case would make all others late as well.
func sortUnits(units []*Unit) {
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(
			compareClass(a, b),
			compareDensity(a, b),
			a.orderTime().Compare(b.orderTime()),
			cmp.Compare(a.Job.ID, b.Job.ID),
		)
	})
	if !markBeyondShare(units) {
		return
	}
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(compareClass(a, b), compareBool(a.beyondShare, b.beyondShare))
	})
}

// compareClass compares the parts of the precedence that come before the shares of client
// accounts.
func compareClass(a, b *Unit) int {
	return cmp.Or(
		cmp.Compare(a.Job.Priority, b.Job.Priority),
		compareBool(b.Guaranteed, a.Guaranteed),
		cmp.Compare(a.precedenceClass(), b.precedenceClass()),
	)
}

// markBeyondShare sets beyondShare of sorted units and reports whether there are any. A
// unit that exceeds the share by itself is not marked, so that no unit is too large to go
// first. Units within a guarantee do not count.
func markBeyondShare(units []*Unit) bool {
	taken := make(map[*Share]work.Shape)
	marked := false
	for _, u := range units {
		u.beyondShare = false
		if u.Share == nil || u.Guaranteed {
			continue
		}
		u.beyondShare = u.Share.isUsedUp(taken[u.Share])
		marked = marked || u.beyondShare
		for range u.Indexes {
			taken[u.Share] = taken[u.Share].Add(Demand(u.step()))
		}
	}
	return marked
}

// effectiveTimeliness returns the timeliness used for ordering and preemption. A unit
// within a guarantee counts as on time, because guarantees hold for late jobs too.
func (u *Unit) effectiveTimeliness() Timeliness {
	if u.Guaranteed {
		return OnTime
	}
	return u.Timeliness
}

// precedenceClass returns the timeliness by which units of a priority are ordered. Batch
// units at risk are not put behind those with slack: they have waited longest, and can
// still be in time. Urgent units at risk are: a preemption takes the rest of their slack.
func (u *Unit) precedenceClass() Timeliness {
	if c := u.effectiveTimeliness(); c != AtRisk || u.Job.Priority == 0 {
		return c
	}
	return OnTime
}

// compareDensity puts the batch unit that loses more per unit of work and delay first.
// Urgent units are ordered by arrival instead, so that their order does not change while
// capacity is preempted for them.
func compareDensity(a, b *Unit) int {
	if a.Job.Priority == 0 {
		return 0
	}
	return cmp.Compare(b.Density, a.Density)
}

// expectedWait returns how long the unit is expected to wait if it would fit after the
// given time. Work that goes before it may take that capacity, so that one that has waited
// for some time is expected to wait as long again.
func (u *Unit) expectedWait(wait time.Duration) time.Duration { return max(wait, u.Waited) }

// avoidedLoss returns what the unit would lose by starting after the wait instead of once
// runs are stopped for it. Stops pay if they cost less.
func (u *Unit) avoidedLoss(wait time.Duration) float64 {
	return u.Forecast.Loss(wait) - u.Forecast.Loss(min(u.StopTime, wait))
}

// maxWaitLoss is the share of what lateness costs a unit that it may lose by waiting where
// it runs at full speed rather than starting at once where it is slow.
const maxWaitLoss = 0.1

// canWait reports whether the unit hardly loses by the wait.
func (u *Unit) canWait(wait time.Duration) bool {
	return u.Forecast.CostOfDelay(wait) <= maxWaitLoss*u.Forecast.LateLoss
}

// endsWithin reports whether the tasks of the unit, started now, are expected to end within
// d.
func (u *Unit) endsWithin(d time.Duration) bool { return u.Duration > 0 && u.Duration <= d }

// mayHold reports whether capacity may be held for the unit, or runs of lower priority be
// stopped for it, once its slack runs out.
func (u *Unit) mayHold() bool {
	return u.Job.Priority > 0 && u.step().Gang && u.Forecast.Known() && u.Timeliness < Expired && !u.AvoidsRecentStarts
}

// minHoldLoss is the share of what lateness costs a batch gang that it is expected to lose
// before capacity is held for it. With 0.05, capacity was held so early that in replays of
// overload more single tasks became late than gangs were in time.
const minHoldLoss = 0.3

// slackRunsOut reports whether a unit that is expected to fit after the wait loses by
// waiting without a reservation. Other work takes what becomes free meanwhile, so that the
// wait is longer by a run.
func (u *Unit) slackRunsOut(wait time.Duration) bool {
	return u.Forecast.CostOfDelay(min(wait, delay.Forever/2)+u.Forecast.Remaining) >= minHoldLoss*u.Forecast.LateLoss
}

// mayPreempt reports whether capacity may be reserved and runs stopped for the unit.
// Late units may preempt as well: they still count, and without preemption a wide
// gang would not fit until the load ends. Units that avoid recent starts wait for
// a suitable worker, while others use the capacity.
func (u *Unit) mayPreempt() bool {
	return u.Job.Priority == 0 && u.effectiveTimeliness() < Expired && !u.AvoidsRecentStarts
}

// fleetTimeFactor is the multiple of its FleetTime by which an urgent unit is ordered
// later than it arrived. Smaller units that arrive within that time go first, since
// many of them complete in the time that a large one takes; the limit prevents
// starvation of large units.
const fleetTimeFactor = 2

// orderTime returns the time by which units of the same priority and timeliness are
// ordered. Urgent units are ordered by arrival, so that capacity preempted for one is
// not taken by another, and large units without a guarantee are ordered somewhat
// later. Other units are ordered by deadline.
func (u *Unit) orderTime() time.Time {
	switch {
	case u.Job.Priority > 0:
		return u.Deadline
	case u.Guaranteed:
		return u.QueuedSince
	default:
		return u.QueuedSince.Add(fleetTimeFactor * u.FleetTime)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
