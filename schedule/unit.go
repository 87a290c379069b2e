package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Timeliness is when a job is expected to end.
type Timeliness int

// Kinds of timeliness.
const (
	OnTime  Timeliness = iota
	AtRisk             // in time if nothing delays it
	Late               // it counts less when it is done
	Expired            // it does not count any more
)

// Unit is what is placed as a whole: a gang, or one task.
type Unit struct {
	Job           *work.Job
	Occurrence    int
	Step          int
	Indexes       []int
	Reserved      bool              // within the guarantee of the client account
	QueuedSince   time.Time         // when the job was accepted, or its time came
	MustStartNow  bool              // has to start now, at any speed
	Failed        bool              // a run of the unit has failed
	CompletesGang bool              // members of a gang that the others, which have started, wait for
	GangRack      string            // of those others
	CanWait       bool              // can wait and still be done in time
	Deadline      time.Time         // when the job should be done
	Timeliness    Timeliness        // whether it can still be done in time
	FleetTime     time.Duration     // time for which its work would take the whole fleet
	TasksByWorker map[string]int    // tasks of the step that each worker has; shared by the units of the step
	Tickets       map[string]string // tickets of the workers that may run the step, if the job is advised
}

func (u *Unit) step() work.Step { return u.Job.Steps[u.Step] }

// joins reports whether the unit may run on a worker beside the members of its
// gang that have started.
func (u *Unit) joins(w *Worker) bool {
	return !u.CompletesGang || !u.step().SameRack || w.Rack == u.GangRack
}

// Placement is the decision to start a task.
type Placement struct {
	Task   work.TaskKey
	Worker string
	Ticket string
}

// Plan is what a pass decides.
type Plan struct {
	Placements []Placement
	Stops      []work.RunKey
}

// order sorts units by what is served first: priority, then guarantees, then
// timeliness, then the turn of the job: under a load that the fleet cannot do, work
// that will be late anyway would make the rest late as well.
func order(units []*Unit) {
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(
			cmp.Compare(a.Job.Priority, b.Job.Priority),
			compareBool(b.Reserved, a.Reserved),
			cmp.Compare(a.rank(), b.rank()),
			a.turn().Compare(b.turn()),
			cmp.Compare(a.Job.ID, b.Job.ID),
		)
	})
}

// rank is the timeliness by which the unit is ordered. Guarantees hold for late jobs
// too.
func (u *Unit) rank() Timeliness {
	if u.Reserved {
		return OnTime
	}
	return u.Timeliness
}

// makesRoom reports whether runs are stopped for the unit. One that will be late
// still counts, and a wide gang would find room by itself only when the load ends.
func (u *Unit) makesRoom() bool { return u.Job.Priority == 0 && u.rank() < Expired }

// shareDelay is the multiple of its share of the fleet by which urgent work lets
// smaller work that came later go first. Many small jobs can be served in
// the time that a large one takes, and with it the large one still has its turn.
const shareDelay = 2

// turn is what jobs of one priority are ordered by. Urgent ones come in the
// order of their arrival, so that room which is made for one is not taken by
// another, and smaller ones somewhat sooner; the rest by the time at which they
// should be done.
func (u *Unit) turn() time.Time {
	switch {
	case u.Job.Priority > 0:
		return u.Deadline
	case u.Reserved:
		return u.QueuedSince
	default:
		return u.QueuedSince.Add(shareDelay * u.FleetTime)
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
