// Package schedule decides which tasks run on which workers, and which runs
// make room for them. It is pure.
package schedule

import (
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// Run is a run that occupies a worker.
type Run struct {
	Key         work.RunKey
	Demand      work.Shape
	MilliCPU    int64 // declared need, also of a best-effort run
	Priority    int
	Reserved    bool    // within the guarantee of its client account
	Group       string  // runs of one gang, which end together; empty for others
	Cost        float64 // core-seconds that are lost if it is stopped
	Late        bool    // urgent, and its job will not be in time
	Pinned      bool    // may not be stopped for others
	Stopping    bool
	StopOverdue bool // should have ended by now
	EndsSoon    bool // will have ended by the time that a stop takes
}

// Worker is a worker that is in touch.
type Worker struct {
	ID          string // incarnation
	Service     string
	Domain      string
	Rack        string
	Labels      []string
	Capacity    work.Shape
	Schedulable bool // takes tasks
	Suspect     bool // its latest run that ended by itself has failed
	Runs        []Run
}

// endTogether corrects what is expected of gangs: a member ends with the slowest
// one.
func endTogether(workers []*Worker) {
	longer := make(map[string]bool)
	for _, w := range workers {
		for _, r := range w.Runs {
			if r.Group != "" && !r.EndsSoon && !r.Stopping {
				longer[r.Group] = true
			}
		}
	}
	for _, w := range workers {
		for i := range w.Runs {
			r := &w.Runs[i]
			r.EndsSoon = r.EndsSoon && !longer[r.Group]
		}
	}
}

// Demand is what a task of the step takes of its worker. A best-effort
// step uses processor time that is left over.
func Demand(s work.Step) work.Shape {
	d := s.Shape
	if s.BestEffort {
		d.MilliCPU = 0
	}
	return d
}

// room is what is free at a worker.
type room struct {
	*Worker
	index int // place in the order of the pass
	rack  int // place of its rack in that order
	free  work.Shape
	soon  work.Shape // once all runs that are being stopped have ended
	cores float64    // size of free
	idle  int64      // processor time that the declared needs of all runs leave, best-effort ones included
	runs  []*occupant
	kept  bool // work that can wait leaves it to urgent work
}

func newRoom(w *Worker) *room {
	r := &room{Worker: w, free: w.Capacity, soon: w.Capacity, idle: w.Capacity.MilliCPU}
	for i := range w.Runs {
		run := &w.Runs[i]
		r.free = r.free.Sub(run.Demand)
		r.idle -= run.MilliCPU
		if run.StopOverdue || (!run.Stopping && !run.EndsSoon) {
			r.soon = r.soon.Sub(run.Demand)
		}
	}
	r.cores = r.free.Cores()
	return r
}

// take reserves a demand, which others can use neither now nor soon.
func (r *room) take(d work.Shape) {
	r.soon = r.soon.Sub(d)
	r.free = minShape(r.free, r.soon)
	r.cores = r.free.Cores()
}

// place uses a demand now.
func (r *room) place(d work.Shape) {
	r.soon = r.soon.Sub(d)
	r.free = r.free.Sub(d)
	r.cores = r.free.Cores()
}

func minShape(a, b work.Shape) work.Shape {
	return work.Shape{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// allows reports whether the step may ever run on the worker.
func (r *room) allows(j *work.Job, s work.Step) bool {
	return r.Service == j.Service && Demand(s).FitsIn(r.Capacity) &&
		(s.RequiredLabel == "" || slices.Contains(r.Labels, s.RequiredLabel))
}
