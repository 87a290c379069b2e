package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// size is a cluster for benchmarks.
type size struct {
	workers, accelerators, rack, accounts, tasks, waiting, gang int
}

var sizes = map[string]size{
	"deployment": {workers: 11, accelerators: 8, rack: 3, accounts: 4, tasks: 40, waiting: 40, gang: 3},
	"tenth":      {workers: 110, accelerators: 1, rack: 16, accounts: 9, tasks: 340, waiting: 200, gang: 12},
	"target":     {workers: 1100, accelerators: 1, rack: 16, accounts: 91, tasks: 3400, waiting: 1700, gang: 128},
}

// cluster returns a full cluster in which a third of the accelerators is
// guaranteed, claims and large gangs wait, and running tasks came through the
// policy itself.
func cluster(s size, p rosemarysill.Policy) rosemarysill.ClusterState {
	rng := rand.New(rand.NewPCG(1, uint64(s.workers)))
	var c rosemarysill.ClusterState
	for i := range s.workers {
		domain := fmt.Sprintf("d%d", i/(4*s.rack))
		if i%(4*s.rack) == 0 {
			c.Config.Domains = append(c.Config.Domains, rosemarysill.Domain{Name: domain})
		}
		c.Workers = append(c.Workers, rosemarysill.WorkerState{Usable: true, Identity: rosemarysill.AgentIdentity{
			Name: fmt.Sprintf("w%05d", i), Domain: domain, Rack: fmt.Sprintf("r%d", i/s.rack),
			Accelerators: s.accelerators, Processors: 8 * s.accelerators, MemoryMB: 16384 * s.accelerators,
		}})
	}
	share := s.workers * s.accelerators / 3 / s.accounts
	for n := range s.accounts {
		c.Config.Accounts = append(c.Config.Accounts, rosemarysill.Account{
			Name:       fmt.Sprintf("a%d", n),
			Guarantees: []rosemarysill.Guarantee{{Shape: rosemarysill.Shape{Members: max(share/2, 1), Accelerators: 1, Processors: 2, MemoryMB: 2048}, Count: 2}},
		})
	}
	next := byte(0)
	spec := func(shape rosemarysill.Shape) rosemarysill.JobSpec {
		next++
		id := uuid.UUID{0: next}
		for i := 1; i < len(id); i++ {
			id[i] = byte(rng.IntN(256))
		}
		return rosemarysill.JobSpec{
			ID: id, Account: fmt.Sprintf("a%d", rng.IntN(s.accounts)), Class: rosemarysill.Classes()[rng.IntN(3)],
			Idempotent: rng.IntN(5) > 0, DeclaredSeconds: 600 + rng.IntN(7200), Shape: shape,
		}
	}
	for n := range s.tasks {
		shape := rosemarysill.Shape{Members: 1, Processors: 1, MemoryMB: 1024}
		if n%3 == 0 {
			shape.Accelerators = 1
		}
		c.Waiting = append(c.Waiting, rosemarysill.WaitingJob{Spec: spec(shape), Submitted: start})
	}
	waiting := map[uuid.UUID]rosemarysill.JobSpec{}
	for _, w := range c.Waiting {
		waiting[w.Spec.ID] = w.Spec
	}
	for _, d := range p.Decide(c, start).Place {
		c.Placed = append(c.Placed, rosemarysill.PlacedJob{
			Spec: waiting[d.Job], Slots: d.Slots, Guaranteed: d.Guaranteed, Started: start.Add(time.Duration(rng.IntN(600)) * time.Second),
		})
	}
	c.Waiting = nil
	for n := range s.waiting {
		shape := rosemarysill.Shape{Members: 1 + rng.IntN(4), Accelerators: 1, Processors: 1 + rng.IntN(4), MemoryMB: 1024 << rng.IntN(4), Adjacent: rng.IntN(2) == 0}
		switch {
		case n%50 == 0:
			shape.Members, shape.Adjacent = s.gang, false
		case n%10 == 0:
			shape = c.Config.Accounts[0].Guarantees[0].Shape
		}
		c.Waiting = append(c.Waiting, rosemarysill.WaitingJob{Spec: spec(shape), Submitted: start})
	}
	return c
}

// BenchmarkDecide reports the time and the workers examined of one decision on
// a full cluster with many claims and large gangs waiting.
func BenchmarkDecide(b *testing.B) {
	for name, s := range sizes {
		b.Run(name, func(b *testing.B) {
			p := placement.New()
			c := cluster(s, p)
			examined := 0
			b.ReportAllocs()
			for b.Loop() {
				examined = p.Decide(c, start.Add(time.Hour)).Examined
			}
			b.ReportMetric(float64(examined), "examined/op")
		})
	}
}

// Guards against a decision whose cost grows out of bounds: at most 3,000
// workers and uses examined for each worker of the cluster.
func TestDecideCost(t *testing.T) {
	for name, s := range sizes {
		t.Run(name, func(t *testing.T) {
			p := placement.New()
			d := p.Decide(cluster(s, p), start.Add(time.Hour))
			require.LessOrEqual(t, d.Examined, 3000*s.workers)
			t.Logf("examined %d, placed %d, reclaimed %d, held %d", d.Examined, len(d.Place), len(d.Reclaim), len(d.Hold))
		})
	}
}
