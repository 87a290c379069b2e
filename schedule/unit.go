package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Unit is what is placed as a whole: a gang, or one task.
type Unit struct {
	Job        *work.Job
	Occurrence int
	Step       int
	Indexes    []int
	Reserved   bool              // within the guarantee of the client account
	Since      time.Time         // when the job was accepted, or its time came
	Pressed    bool              // has to start now, at any speed
	Failed     bool              // a run of the unit has failed
	Rest       bool              // members of a gang that the others, which have started, wait for
	Rack       string            // of those others
	Patient    bool              // can wait and still be done in time
	Due        time.Time         // when the job should be done
	Late       bool              // so late that it does not count any more when it is done
	Beside     map[string]int    // tasks of the step that each worker has; shared by the units of the step
	Advised    map[string]string // tickets of the workers that may run the step, if the job is advised
}

func (u *Unit) step() work.Step { return u.Job.Steps[u.Step] }

// joins reports whether the unit may run on a worker beside the members of its
// gang that have started.
func (u *Unit) joins(w *Worker) bool {
	return !u.Rest || !u.step().SameRack || w.Rack == u.Rack
}

// Place is the decision to start a task.
type Place struct {
	Task   work.TaskKey
	Worker string
	Ticket string
}

// Plan is what a pass decides.
type Plan struct {
	Places []Place
	Stops  []work.RunKey
}

// order sorts units by what is served first: priority, then guarantees, then
// the turn of the job. A job that is too late to count comes last in its
// priority.
func order(units []*Unit) {
	slices.SortStableFunc(units, func(a, b *Unit) int {
		return cmp.Or(
			cmp.Compare(a.Job.Priority, b.Job.Priority),
			compareBool(b.Reserved, a.Reserved),
			compareBool(a.Late, b.Late),
			a.turn().Compare(b.turn()),
			cmp.Compare(a.Job.ID, b.Job.ID),
		)
	})
}

// turn is what jobs of one priority are ordered by. Urgent ones come in the
// order of their arrival, so that room which is made for one is not taken by
// another; the rest by the time at which they should be done.
func (u *Unit) turn() time.Time {
	if u.Job.Priority == 0 {
		return u.Since
	}
	return u.Due
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
