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

	"github.com/rosemarysill/rosemarysill/work"
)

// load is the input of a decision.
type load struct {
	workers []*Worker
	units   []*Unit
	keep    float64
}

// clone copies what a decision changes.
func (l load) clone() load {
	c := load{keep: l.keep}
	for _, w := range l.workers {
		v := *w
		v.Runs = slices.Clone(w.Runs)
		c.workers = append(c.workers, &v)
	}
	shared := make(map[string]map[string]int)
	for _, u := range l.units {
		v := *u
		if shared[u.Job.ID] == nil {
			shared[u.Job.ID] = maps.Clone(u.TasksByWorker)
		}
		v.TasksByWorker = shared[u.Job.ID]
		c.units = append(c.units, &v)
	}
	return c
}

// drawLoad draws a fleet that is partly in use, with gangs over several workers,
// and work of all kinds that waits. Costs are whole numbers, so that sums do not
// depend on their order.
func drawLoad(t *rapid.T) load {
	whole := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
	yes := func(oneIn int, name string) bool { return whole(1, oneIn, name) == 1 }
	var l load
	for i := range whole(1, 14, "workers") {
		w := &Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/whole(1, 4, "rack")), Schedulable: !yes(9, "closed"), Suspect: yes(9, "suspect"),
			Capacity: work.Shape{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8},
		}
		for n := range whole(0, 4, "runs") {
			a := int64(whole(0, 3, "accelerators"))
			d := work.Shape{MilliCPU: 1000 * a, MemoryMB: 100, Accelerators: a}
			r := Run{
				Key: work.RunKey{Task: work.TaskKey{Job: fmt.Sprintf("r%d.%d", i, n)}, Run: 1}, Demand: d, MilliCPU: d.MilliCPU, Priority: whole(0, 2, "priority"),
				Reserved: yes(6, "reserved"), Cost: float64(whole(0, 5, "cost")), Pinned: yes(9, "pinned"), Late: yes(5, "late"), Stopping: yes(7, "stopping"), EndsSoon: yes(7, "endsSoon"), StopOverdue: yes(9, "stopOverdue"),
			}
			if yes(3, "gang") {
				r.Group = fmt.Sprint("gang", whole(0, 3, "group"))
			}
			w.Runs = append(w.Runs, r)
		}
		l.workers = append(l.workers, w)
	}
	for i := range whole(1, 7, "jobs") {
		a := int64(whole(0, 8, "accelerators"))
		s := work.Step{
			Count: whole(1, 6, "tasks"), Shape: work.Shape{MilliCPU: 1000 * int64(whole(0, 8, "cores")), MemoryMB: 100, Accelerators: a},
			Gang: yes(2, "gang"), SameRack: yes(2, "same rack"), BestEffort: yes(9, "fills"),
		}
		if yes(5, "data") {
			s.DataRack = "r0"
		}
		if yes(4, "bound") {
			s.MaxPerWorker = whole(1, 2, "per worker")
		}
		j := &work.Job{ID: fmt.Sprintf("j%d", i), Service: "s", Priority: whole(0, 2, "priority"), Steps: []work.Step{s}}
		beside := map[string]int{"w00": whole(0, 1, "beside")}
		unit := Unit{
			Job: j, Reserved: yes(3, "reserved"), MustStartNow: yes(5, "mustStartNow"), Failed: yes(5, "failed"), CanWait: yes(2, "canWait"), Timeliness: Timeliness(whole(0, 3, "timeliness")),
			QueuedSince: time.Unix(int64(whole(0, 5, "since")), 0), Deadline: time.Unix(int64(whole(0, 5, "due")), 0), TasksByWorker: beside,
		}
		for n := range s.Count {
			if u := unit; s.Gang && n > 0 {
				l.units[len(l.units)-1].Indexes = append(l.units[len(l.units)-1].Indexes, n)
			} else {
				u.Indexes = []int{n}
				l.units = append(l.units, &u)
			}
		}
	}
	l.keep = float64(whole(0, 200, "keep"))
	return l
}

// A decision that goes by indexes makes the plan that the search through all
// runs makes, from which the rules of placement were taken and measured.
func TestSamePlanAsFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		a, b := l.clone(), l.clone()
		require.Equal(t, refDecide(a.workers, a.units, a.keep), Decide(b.workers, b.units, b.keep))
	})
}

// fullFleet is the load that took longest: every worker is in use, n/40 urgent
// gangs of 8 have to make room, and n single tasks wait.
func fullFleet(n int) load {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	shape := func(accelerators int64) work.Shape {
		return work.Shape{MilliCPU: 1000 * accelerators, MemoryMB: 100, Accelerators: accelerators}
	}
	var l load
	for i := range n {
		w := &Worker{
			ID: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/8), Schedulable: true,
			Capacity: work.Shape{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8},
		}
		for k := range 8 {
			r := Run{
				Key: work.RunKey{Task: work.TaskKey{Job: fmt.Sprintf("batch%d", i), Index: k}, Run: 1}, Demand: shape(1), Priority: 1 + k%2,
				Cost: float64(random.IntN(500)),
			}
			if k < 2 {
				r.Group = fmt.Sprint("gang", i/4)
			}
			w.Runs = append(w.Runs, r)
		}
		l.workers = append(l.workers, w)
	}
	single := &work.Job{ID: "single", Service: "s", Priority: 1, Steps: []work.Step{{Count: n, Shape: shape(2)}}}
	beside := make(map[string]int)
	for i := range n {
		l.units = append(l.units, &Unit{Job: single, Indexes: []int{i}, TasksByWorker: beside})
	}
	for g := range max(1, n/40) {
		j := &work.Job{ID: fmt.Sprintf("gang%d", g), Service: "s", Steps: []work.Step{{Count: 8, Shape: shape(2), Gang: true, SameRack: true}}}
		l.units = append(l.units, &Unit{Job: j, Indexes: []int{0, 1, 2, 3, 4, 5, 6, 7}, TasksByWorker: make(map[string]int)})
	}
	return l
}

// A decision at the size to design for, 1,100 workers, looks at ten times as much as
// one at a fifth of it at most, and at each run a few times for each gang.
func TestDecisionCostGrowsWithTheFleet(t *testing.T) {
	examined := func(n int) int {
		l := fullFleet(n)
		p := newPass(l.workers, l.keep)
		p.run(l.units)
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
			l := fullFleet(n)
			for b.Loop() {
				b.StopTimer()
				c := l.clone()
				b.StartTimer()
				Decide(c.workers, c.units, c.keep)
			}
		})
	}
}

// What follows decides by a search through all runs. It is the code from which
// the indexed decision was made. Rules of the order and of who makes room are shared.

type refRoom struct {
	*Worker
	free work.Shape // now
	soon work.Shape // once all runs that are being stopped have ended
	idle int64      // processor time that the declared needs of all runs leave, best-effort ones included
}

func newRefRoom(w *Worker) *refRoom {
	r := &refRoom{Worker: w, free: w.Capacity, soon: w.Capacity, idle: w.Capacity.MilliCPU}
	for _, run := range w.Runs {
		r.free = r.free.Sub(run.Demand)
		r.idle -= run.MilliCPU
		if run.StopOverdue || (!run.Stopping && !run.EndsSoon) {
			r.soon = r.soon.Sub(run.Demand)
		}
	}
	return r
}

func (r *refRoom) take(d work.Shape) {
	r.soon = r.soon.Sub(d)
	r.free = minShape(r.free, r.soon)
}

func (r *refRoom) place(d work.Shape) {
	r.soon = r.soon.Sub(d)
	r.free = r.free.Sub(d)
}

func (r *refRoom) allows(j *work.Job, s work.Step) bool {
	return r.Service == j.Service && Demand(s).FitsIn(r.Capacity) &&
		(s.RequiredLabel == "" || slices.Contains(r.Labels, s.RequiredLabel))
}

type refPass struct {
	rooms []*refRoom
	keep  float64           // cores left free by work that can wait
	kept  map[*refRoom]bool // the workers where it does; nil until that is needed
	plan  Plan
}

func refDecide(workers []*Worker, units []*Unit, keep float64) Plan {
	p := &refPass{keep: keep}
	endTogether(workers)
	for _, w := range workers {
		p.rooms = append(p.rooms, newRefRoom(w))
	}
	slices.SortFunc(p.rooms, func(a, b *refRoom) int { return cmp.Compare(a.ID, b.ID) })
	order(units)
	for _, u := range units {
		p.decide(u)
	}
	return p.plan
}

func (p *refPass) decide(u *Unit) {
	sets, spread := p.candidates(u)
	if u.CompletesGang {
		p.startIn(u, sets)
		return
	}
	if p.startIn(u, sets) || (u.MustStartNow && p.startIn(u, spread)) {
		return
	}
	if u.makesRoom() && (p.reserveIn(u, sets) || p.preemptIn(u, sets)) {
		return
	}
	if spread == nil || p.startIn(u, spread) || !u.makesRoom() {
		return
	}
	if !p.reserveIn(u, spread) {
		p.preemptIn(u, spread)
	}
}

func (p *refPass) startIn(u *Unit, sets [][]*refRoom) bool {
	for _, set := range sets {
		if chosen := refFit(u, set, func(r *refRoom) work.Shape { return r.free }); chosen != nil {
			p.start(u, chosen)
			return true
		}
	}
	return false
}

func (p *refPass) reserveIn(u *Unit, sets [][]*refRoom) bool {
	for _, set := range sets {
		if chosen := refFit(u, set, func(r *refRoom) work.Shape { return r.soon }); chosen != nil {
			for _, r := range chosen {
				r.take(Demand(u.step()))
				u.TasksByWorker[r.ID]++
			}
			return true
		}
	}
	return false
}

func (p *refPass) start(u *Unit, chosen []*refRoom) {
	for i, r := range chosen {
		r.place(Demand(u.step()))
		r.idle -= u.step().Shape.MilliCPU
		u.TasksByWorker[r.ID]++
		p.plan.Placements = append(p.plan.Placements, Placement{
			Task:   work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[i]},
			Worker: r.ID, Ticket: u.Tickets[r.ID],
		})
	}
}

func (p *refPass) candidates(u *Unit) (sets, spread [][]*refRoom) {
	s := u.step()
	var open []*refRoom
	for _, r := range p.rooms {
		if _, ok := u.Tickets[r.ID]; (ok || !u.Job.Advised) && r.Schedulable && r.allows(u.Job, s) && u.joins(r.Worker) {
			open = append(open, r)
		}
	}
	if u.Failed {
		open = refTrusted(open)
	}
	racks := refByRack(open)
	if s.DataRack == "" && (!s.Gang || !s.SameRack) {
		if u.CanWait && !s.Gang {
			racks = racks[:len(racks)-int(keepRacks*float64(len(racks)))]
			return [][]*refRoom{p.unkept(slices.Concat(racks...))}, nil
		}
		return [][]*refRoom{open}, nil
	}
	for _, rack := range racks {
		if s.DataRack == "" || rack[0].Rack == s.DataRack {
			sets = append(sets, rack)
		}
	}
	if u.Job.Priority == 0 || !refHoldsInRack(u, racks, s.DataRack) {
		spread = [][]*refRoom{open}
	}
	return sets, spread
}

func (p *refPass) unkept(rooms []*refRoom) []*refRoom {
	if p.kept == nil {
		p.kept = make(map[*refRoom]bool)
		left := p.keep
		racks := refByRack(p.rooms)
		for i := len(racks) - 1; i >= 0 && left > 0; i-- {
			slices.SortStableFunc(racks[i], func(a, b *refRoom) int { return cmp.Compare(b.free.Cores(), a.free.Cores()) })
			for _, r := range racks[i] {
				if left > 0 && r.Schedulable {
					p.kept[r] = true
					left -= r.free.Cores()
				}
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(rooms), func(r *refRoom) bool { return p.kept[r] })
}

func refTrusted(rooms []*refRoom) []*refRoom {
	sound := slices.DeleteFunc(slices.Clone(rooms), func(r *refRoom) bool { return r.Suspect })
	if len(sound) == 0 {
		return rooms
	}
	return sound
}

func refHoldsInRack(u *Unit, racks [][]*refRoom, near string) bool {
	for _, rack := range racks {
		if near != "" && rack[0].Rack != near {
			continue
		}
		if refFit(u, rack, func(r *refRoom) work.Shape { return r.Capacity }) != nil {
			return true
		}
	}
	return false
}

func refByRack(rooms []*refRoom) [][]*refRoom {
	index := make(map[string]int)
	var racks [][]*refRoom
	for _, r := range rooms {
		i, ok := index[r.Rack]
		if !ok {
			i = len(racks)
			index[r.Rack] = i
			racks = append(racks, nil)
		}
		racks[i] = append(racks[i], r)
	}
	slices.SortStableFunc(racks, func(a, b []*refRoom) int { return cmp.Compare(refFreeCores(a), refFreeCores(b)) })
	return racks
}

func refFreeCores(rooms []*refRoom) float64 {
	var n float64
	for _, r := range rooms {
		n += r.free.Cores()
	}
	return n
}

func refFit(u *Unit, rooms []*refRoom, available func(*refRoom) work.Shape) []*refRoom {
	d, s := Demand(u.step()), u.step()
	left := make([]work.Shape, len(rooms))
	beside := make([]int, len(rooms))
	for i, r := range rooms {
		left[i], beside[i] = available(r), u.TasksByWorker[r.ID]
	}
	chosen := make([]*refRoom, 0, len(u.Indexes))
	for range u.Indexes {
		best := -1
		for i := range rooms {
			if !d.FitsIn(left[i]) || (s.MaxPerWorker > 0 && beside[i] >= s.MaxPerWorker) {
				continue
			}
			if best < 0 || refBetter(s, rooms[i], rooms[best], left[i], left[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		left[best] = left[best].Sub(d)
		beside[best]++
		chosen = append(chosen, rooms[best])
	}
	return chosen
}

func refBetter(s work.Step, a, b *refRoom, leftA, leftB work.Shape) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if s.BestEffort {
		return a.idle > b.idle
	}
	return leftA.Cores() < leftB.Cores()
}

func (p *refPass) preemptIn(u *Unit, sets [][]*refRoom) bool {
	var best *refTrade
	for _, set := range sets {
		if t := p.refTrade(u, set); t != nil && (best == nil || t.total < best.total) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	p.commit(best)
	return true
}

func (p *refPass) refTrade(u *Unit, rooms []*refRoom) *refTrade {
	t := &refTrade{refPass: p, unit: u, soon: make(map[*refRoom]work.Shape), beside: maps.Clone(u.TasksByWorker), stopped: make(map[work.RunKey]bool)}
	for _, r := range p.rooms {
		t.soon[r] = r.soon
	}
	for range u.Indexes {
		r := t.cheapest(rooms)
		if r == nil {
			return nil
		}
		t.chosen = append(t.chosen, r)
	}
	return t
}

func (p *refPass) commit(t *refTrade) {
	for _, r := range p.rooms {
		for i := range r.Runs {
			run := &r.Runs[i]
			if t.stopped[run.Key] {
				run.Stopping = true
				r.soon = r.soon.Add(run.Demand)
				p.plan.Stops = append(p.plan.Stops, run.Key)
			}
		}
	}
	for _, r := range t.chosen {
		r.take(Demand(t.unit.step()))
		t.unit.TasksByWorker[r.ID]++
	}
}

type refTrade struct {
	*refPass
	unit    *Unit
	soon    map[*refRoom]work.Shape
	beside  map[string]int
	stopped map[work.RunKey]bool
	chosen  []*refRoom
	total   float64 // cost of the runs that are stopped
}

func (t *refTrade) cheapest(rooms []*refRoom) *refRoom {
	d, s := Demand(t.unit.step()), t.unit.step()
	var best *refRoom
	var bestVictims []Run
	bestCost := 0.0
	for _, r := range rooms {
		if s.MaxPerWorker > 0 && t.beside[r.ID] >= s.MaxPerWorker {
			continue
		}
		victims, cost, ok := t.victims(r, d)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = r, victims, cost
		}
	}
	if best == nil {
		return nil
	}
	for _, v := range bestVictims {
		t.stop(v)
	}
	t.total += bestCost
	t.soon[best] = t.soon[best].Sub(d)
	t.beside[best.ID]++
	return best
}

func (t *refTrade) stop(v Run) {
	for _, r := range t.rooms {
		for _, run := range r.Runs {
			if !run.Stopping && !run.EndsSoon && !t.stopped[run.Key] && (run.Key == v.Key || (v.Group != "" && run.Group == v.Group)) {
				t.stopped[run.Key] = true
				t.soon[r] = t.soon[r].Add(run.Demand)
			}
		}
	}
}

func (t *refTrade) victims(r *refRoom, d work.Shape) ([]Run, float64, bool) {
	left := t.soon[r]
	if d.FitsIn(left) {
		return nil, 0, true
	}
	var runs []Run
	for _, run := range r.Runs {
		if run.yields(t.unit) && !t.stopped[run.Key] {
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(t.cost([]Run{a}), t.cost([]Run{b})), -cmp.Compare(a.Priority, b.Priority))
	})
	var chosen []Run
	for _, run := range runs {
		if d.FitsIn(left) {
			break
		}
		chosen = append(chosen, run)
		left = left.Add(run.Demand)
	}
	if !d.FitsIn(left) {
		return nil, 0, false
	}
	return refSpare(chosen, left, d), t.cost(refSpare(chosen, left, d)), true
}

func refSpare(chosen []Run, left, d work.Shape) []Run {
	return slices.DeleteFunc(slices.Clone(chosen), func(run Run) bool {
		if without := left.Sub(run.Demand); d.FitsIn(without) {
			left = without
			return true
		}
		return false
	})
}

func (t *refTrade) cost(victims []Run) float64 {
	total := 0.0
	for _, v := range victims {
		for _, r := range t.rooms {
			for _, run := range r.Runs {
				if !t.stopped[run.Key] && (run.Key == v.Key || (v.Group != "" && run.Group == v.Group)) {
					total += run.lost()
				}
			}
		}
	}
	return total
}
