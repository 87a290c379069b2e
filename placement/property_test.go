package placement_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Without a seed on the command line, rapid would take one from the clock.
	// With 200 sequences all mutations named in the commits are found.
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "200"} {
		if f := flag.Lookup(name); f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model is a small cluster that carries out decisions at once, except that a
// stopping job holds its accelerators until release.
type model struct {
	t       require.TestingT
	policy  rosemarysill.Policy
	state   rosemarysill.ClusterState
	now     time.Time
	next    uint32
	lost    bool            // a domain has been out
	claimed map[string]bool // accounts that had whole guaranteed gangs placed
}

func (m *model) submit(name string, class rosemarysill.Class, idempotent bool, s rosemarysill.Shape) {
	m.next++
	id := uuid.UUID{12: byte(m.next >> 24), 13: byte(m.next >> 16), 14: byte(m.next >> 8), 15: byte(m.next)}
	m.state.Waiting = append(m.state.Waiting, rosemarysill.WaitingJob{Submitted: m.now, Spec: rosemarysill.JobSpec{
		ID: id, Account: name, Class: class, Idempotent: idempotent, Shape: s, DeclaredSeconds: 60,
	}})
}

// decide carries out one decision and checks what must hold for all of them.
func (m *model) decide() rosemarysill.Decision {
	d := m.policy.Decide(m.state, m.now)
	gone := map[uuid.UUID]bool{}
	for _, r := range d.Reject {
		gone[r.Job] = true
	}
	for _, p := range d.Place {
		w := m.waiting(p.Job)
		require.False(m.t, gone[p.Job], "a job is decided twice")
		gone[p.Job] = true
		m.state.Placed = append(m.state.Placed, rosemarysill.PlacedJob{
			Spec: w.Spec, Slots: p.Slots, Started: m.now, Guaranteed: p.Guaranteed,
		})
		m.claimed[w.Spec.Account] = m.claimed[w.Spec.Account] || m.whole(m.state.Placed[len(m.state.Placed)-1])
		m.checkSlots(w.Spec, p.Slots)
	}
	for _, r := range d.Reclaim {
		j := m.placed(r.Job)
		require.False(m.t, j.Stopping, "a job is stopped twice")
		if r.For != uuid.Nil {
			own := m.waiting(r.For).Spec.Account == j.Spec.Account
			require.True(m.t, own || !m.covered(*j), "guaranteed work of %s is reclaimed for another account", j.Spec.Account)
			require.True(m.t, j.Spec.Idempotent, "a job that cannot run again is reclaimed")
		}
		j.Stopping = true
	}
	var rest []rosemarysill.WaitingJob
	for _, w := range m.state.Waiting {
		if !gone[w.Spec.ID] {
			rest = append(rest, w)
		}
	}
	m.state.Waiting = rest
	m.checkCapacity()
	return d
}

func (m *model) waiting(id uuid.UUID) *rosemarysill.WaitingJob {
	for i := range m.state.Waiting {
		if m.state.Waiting[i].Spec.ID == id {
			return &m.state.Waiting[i]
		}
	}
	require.Fail(m.t, "decision about a job that does not wait")
	return nil
}

func (m *model) placed(id uuid.UUID) *rosemarysill.PlacedJob {
	for i := range m.state.Placed {
		if m.state.Placed[i].Spec.ID == id {
			return &m.state.Placed[i]
		}
	}
	require.Fail(m.t, "decision about a job that is not placed")
	return nil
}

// checkSlots checks that a gang is placed whole, in one rack if adjacent, and
// on usable workers only.
func (m *model) checkSlots(spec rosemarysill.JobSpec, slots []rosemarysill.Slot) {
	require.Len(m.t, slots, spec.Shape.Members, "a gang is placed in part")
	racks := map[string]bool{}
	for _, s := range slots {
		require.Len(m.t, s.Accelerators, spec.Shape.Accelerators)
		for _, w := range m.state.Workers {
			if w.Identity.Name == s.Worker {
				require.True(m.t, w.Usable, "placed on unusable worker %s", s.Worker)
				racks[w.Identity.Domain+"/"+w.Identity.Rack] = true
			}
		}
	}
	require.True(m.t, !spec.Shape.Adjacent || len(racks) == 1, "an adjacent gang is in %d racks", len(racks))
}

// checkCapacity checks that no accelerator is given twice and no worker holds
// more than it has.
func (m *model) checkCapacity() {
	taken := map[string]bool{}
	processors := map[string]int{}
	for _, j := range m.state.Placed {
		for _, s := range j.Slots {
			processors[s.Worker] += j.Spec.Shape.Processors
			for _, a := range s.Accelerators {
				key := fmt.Sprintf("%s/%d", s.Worker, a)
				require.False(m.t, taken[key], "accelerator %s is given twice", key)
				taken[key] = true
			}
		}
	}
	for _, w := range m.state.Workers {
		require.LessOrEqual(m.t, processors[w.Identity.Name], w.Identity.Processors)
	}
}

// remove ends the placed jobs for which done is true; the others that were
// stopping wait again if they are idempotent.
func (m *model) remove(done func(i int, j *rosemarysill.PlacedJob) bool, requeue bool) {
	var rest []rosemarysill.PlacedJob
	for i := range m.state.Placed {
		j := m.state.Placed[i]
		if !done(i, &j) {
			rest = append(rest, j)
		} else if requeue && j.Spec.Idempotent {
			m.state.Waiting = append(m.state.Waiting, rosemarysill.WaitingJob{Spec: j.Spec, Submitted: m.now})
		}
	}
	m.state.Placed = rest
}

func (m *model) release() {
	m.remove(func(_ int, j *rosemarysill.PlacedJob) bool { return j.Stopping }, true)
}

func (m *model) setDomain(n int, out bool) {
	for i := range m.state.Config.Domains {
		if i == n {
			m.state.Config.Domains[i].Out = out
		}
	}
	for i := range m.state.Workers {
		w := &m.state.Workers[i]
		w.Usable = !m.state.Config.DomainOut(w.Identity.Domain)
	}
}

// unclaimed returns the shapes that the account may still claim: those that no
// job of exactly this shape of its own holds.
func (m *model) unclaimed(a rosemarysill.Account) []rosemarysill.Shape {
	var open []rosemarysill.Shape
	for _, g := range a.Guarantees {
		n := g.Count
		for _, j := range m.state.Placed {
			if j.Spec.Account == a.Name && j.Spec.Shape == g.Shape && !j.Stopping {
				n--
			}
		}
		for ; n > 0; n-- {
			open = append(open, g.Shape)
		}
	}
	return open
}

// checkReclaim claims everything that is guaranteed and unclaimed at once in a
// copy of the cluster, and checks that all of it starts. After a domain was out
// this is required only when the shapes fit around the work that may not stop.
func (m *model) checkReclaim() {
	c := *m
	c.state.Placed = append([]rosemarysill.PlacedJob(nil), m.state.Placed...)
	c.state.Waiting = nil
	c.claimed = maps.Clone(m.claimed)
	free := map[string]int{}
	for _, w := range c.state.Workers {
		if w.Usable {
			free[w.Identity.Name] = w.Identity.Accelerators
		}
	}
	var open []rosemarysill.Shape
	for _, a := range c.state.Config.Accounts {
		for _, s := range m.unclaimed(a) {
			c.submit(a.Name, rosemarysill.Normal, true, s)
			open = append(open, s)
		}
	}
	for _, j := range c.state.Placed {
		if !j.Stopping && (!j.Spec.Idempotent || c.whole(j)) {
			for _, s := range j.Slots {
				free[s.Worker] -= len(s.Accelerators)
			}
		}
	}
	fits := fit(c.state.Workers, free, open)
	if m.lost && !fits {
		return
	}
	require.True(m.t, fits, "work that may not stop holds a guaranteed shape: %v of %v", open, free)
	wanted := append([]rosemarysill.WaitingJob(nil), c.state.Waiting...)
	for range 3 {
		c.decide()
		c.remove(func(_ int, j *rosemarysill.PlacedJob) bool { return j.Stopping }, false)
	}
	for _, w := range c.state.Waiting {
		require.Fail(m.t, "a guaranteed shape is not reclaimed", "%v of account %s; all: %v; room: %v", w.Spec.Shape, w.Spec.Account, wanted, free)
	}
}

// covered reports whether a job may not be reclaimed for another account. Whole
// guaranteed gangs never are. Smaller jobs in a guaranteed unit are not while
// nothing can make a granted shape short: a domain that was out, or whole gangs
// of the same account that claimed the unit in the meantime.
func (m *model) covered(j rosemarysill.PlacedJob) bool {
	return j.Guaranteed && (m.whole(j) || !m.lost && !m.claimed[j.Spec.Account])
}

// whole reports whether the job was placed as a whole guaranteed gang. After a
// domain was out, a gang that was placed otherwise counts as well, because its
// account does not claim the shape a second time.
func (m *model) whole(j rosemarysill.PlacedJob) bool {
	a, _ := m.state.Config.Account(j.Spec.Account)
	for _, g := range a.Guarantees {
		if g.Shape == j.Spec.Shape {
			return j.Guaranteed || m.lost
		}
	}
	return false
}

// fit reports whether gangs fit at once, by trying all places.
func fit(workers []rosemarysill.WorkerState, free map[string]int, shapes []rosemarysill.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	s := shapes[0]
	var members func(n, from int, rack string) bool
	members = func(n, from int, rack string) bool {
		if n == 0 {
			return fit(workers, free, shapes[1:])
		}
		for i := from; i < len(workers); i++ {
			id := workers[i].Identity
			if at := id.Domain + "/" + id.Rack; s.Adjacent && rack != "" && at != rack || free[id.Name] < s.Accelerators {
				continue
			}
			free[id.Name] -= s.Accelerators
			ok := members(n-1, i, id.Domain+"/"+id.Rack)
			free[id.Name] += s.Accelerators
			if ok {
				return true
			}
		}
		return false
	}
	return members(s.Members, 0, "")
}

// newModel returns a cluster of 8 workers with 4 accelerators, two to a rack,
// each rack a failure domain, and three accounts with guarantees that leave one
// rack's worth free.
func newModel(t require.TestingT, policy rosemarysill.Policy) *model {
	m := &model{t: t, policy: policy, now: start, claimed: map[string]bool{}}
	for i := range 8 {
		name := fmt.Sprintf("d%d", i/2)
		if i%2 == 0 {
			m.state.Config.Domains = append(m.state.Config.Domains, rosemarysill.Domain{Name: name})
		}
		m.state.Workers = append(m.state.Workers, rosemarysill.WorkerState{Usable: true, Identity: rosemarysill.AgentIdentity{
			Name: fmt.Sprintf("w%d", i), Domain: name, Rack: name, Accelerators: 4, Processors: 64, MemoryMB: 1 << 20,
		}})
	}
	m.state.Config.Accounts = []rosemarysill.Account{
		{Name: "a", Guarantees: []rosemarysill.Guarantee{{Shape: rosemarysill.Shape{Members: 4, Accelerators: 2, Adjacent: true}, Count: 1}}},
		{Name: "b", Guarantees: []rosemarysill.Guarantee{{Shape: rosemarysill.Shape{Members: 3, Accelerators: 1}, Count: 2}, {Shape: rosemarysill.Shape{Members: 1, Accelerators: 4}, Count: 1}}},
		{Name: "c", Guarantees: []rosemarysill.Guarantee{{Shape: rosemarysill.Shape{Members: 2, Accelerators: 3, Adjacent: true}, Count: 1}}},
		{Name: "d"},
	}
	return m
}

// drawShape prefers guaranteed shapes, so that claims and completions are
// frequent.
func drawShape(t *rapid.T, cfg rosemarysill.Configuration) rosemarysill.Shape {
	if rapid.Bool().Draw(t, "guaranteed") {
		a := cfg.Accounts[rapid.IntRange(0, 2).Draw(t, "of")]
		return a.Guarantees[rapid.IntRange(0, len(a.Guarantees)-1).Draw(t, "guarantee")].Shape
	}
	return rosemarysill.Shape{
		Members:      rapid.IntRange(0, 4).Draw(t, "members"),
		Accelerators: rapid.IntRange(0, 4).Draw(t, "accelerators"),
		Processors:   rapid.IntRange(0, 20).Draw(t, "processors"),
		Adjacent:     rapid.Bool().Draw(t, "adjacent"),
	}
}

// Guards against a guaranteed shape that cannot be reclaimed, accelerators
// given twice, gangs placed in part, starts on unusable workers and guaranteed
// work reclaimed for others, after any sequence of events.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, placement.New())
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				class := rapid.SampledFrom(rosemarysill.Classes()).Draw(t, "class")
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "account")
				m.submit(name, class, rapid.IntRange(0, 2).Draw(t, "idempotent") > 0, drawShape(t, m.state.Config))
			case 4, 5, 6:
				if n := len(m.state.Placed); n > 0 {
					done := rapid.IntRange(0, n-1).Draw(t, "done")
					m.remove(func(i int, _ *rosemarysill.PlacedJob) bool { return i == done }, false)
				}
			case 7:
				m.release()
			case 8:
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					m.lost = true
					m.setDomain(rapid.IntRange(0, 3).Draw(t, "domain"), true)
				}
			case 9:
				m.setDomain(rapid.IntRange(0, 3).Draw(t, "domain"), false)
			}
			m.decide()
			m.checkReclaim()
		}
	})
}
