package workload

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
)

// generator draws the parts of a scenario from one seeded source.
type generator struct {
	rng *rand.Rand
	s   Scenario
}

// newGenerator returns a generator for eleven workers of eight accelerators,
// three to a rack and a rack to a failure domain, as both deployments have.
func newGenerator(name string, seed uint64, processors, memoryMB int, domains ...string) *generator {
	g := &generator{
		rng: rand.New(rand.NewPCG(seed, 1)),
		s:   Scenario{Name: name, Seed: seed, Length: 10 * time.Hour, Config: rosemarysill.Configuration{Revision: 1}},
	}
	for _, d := range domains {
		g.s.Config.Domains = append(g.s.Config.Domains, rosemarysill.Domain{Name: d})
	}
	for i := range 11 {
		g.s.Workers = append(g.s.Workers, rosemarysill.WorkerState{Usable: true, Identity: rosemarysill.AgentIdentity{
			Name: fmt.Sprintf("worker-%02d", i), Domain: domains[i/3], Rack: fmt.Sprintf("rack-%d", i/3),
			Accelerators: 8, Processors: processors, MemoryMB: memoryMB,
		}})
	}
	return g
}

// FlipperMaghreb returns a night of the pinball repair rounds: a large account
// with guaranteed gangs, bursts of small checks and overnight reconciliations.
func FlipperMaghreb(seed uint64) Scenario {
	g := newGenerator("Flipper Maghreb", seed, 64, 128<<10, "Bizerte", "Tunis", "Nabeul", "Sousse")
	pair := shape(2, 8, true)
	g.account("rounds", rosemarysill.Guarantee{Shape: pair, Count: 2})
	g.account("franchises", rosemarysill.Guarantee{Shape: shape(1, 4, false), Count: 4})
	g.account("parts", rosemarysill.Guarantee{Shape: shape(4, 1, false), Count: 2})
	g.account("workshop")
	for _, a := range []string{"rounds", "franchises", "parts", "workshop"} {
		g.small(a, 110)
		g.medium(a, 12)
		g.large(a, 2)
	}
	g.steady("rounds", rosemarysill.Normal, pair, 6, 40*time.Minute)
	g.steady("franchises", rosemarysill.Urgent, shape(1, 4, false), 30, 20*time.Minute)
	g.burst("workshop", 2*time.Hour, 60, shape(1, 1, false), 15*time.Minute)
	g.burst("parts", 4*time.Hour, 6, shape(3, 8, true), 50*time.Minute)
	g.trouble("Tunis", "worker-09", "workshop")
	return g.finish()
}

// Fjordtork returns a night of the drying-line service: four partners with
// equal guarantees, overnight batches of large gangs, and two failure domain
// moves.
func Fjordtork(seed uint64) Scenario {
	g := newGenerator("Fjordtørk", seed, 32, 64<<10, "Bergen", "Stavanger", "Ålesund", "Florø")
	for _, a := range []string{"dykkersenter", "surfskole", "padleklubb", "redningslag"} {
		g.account(a, rosemarysill.Guarantee{Shape: shape(1, 8, false), Count: 1},
			rosemarysill.Guarantee{Shape: shape(1, 2, false), Count: 2})
		g.small(a, 90)
		g.medium(a, 10)
		g.large(a, 4)
		g.steady(a, rosemarysill.Normal, shape(1, 8, false), 5, 30*time.Minute)
		g.steady(a, rosemarysill.Urgent, shape(1, 2, false), 12, 15*time.Minute)
	}
	g.burst("surfskole", 3*time.Hour, 5, shape(2, 8, true), 70*time.Minute)
	g.burst("padleklubb", 5*time.Hour, 50, shape(1, 1, false), 20*time.Minute)
	g.trouble("Stavanger", "worker-10", "padleklubb")
	g.s.Moves = append(g.s.Moves, DomainMove{Domain: "Bergen", TakeOut: 7 * time.Hour, Off: 7*time.Hour + 3*time.Minute, Again: 8 * time.Hour})
	return g.finish()
}

// EqualDemand returns a saturated cluster without guarantees on which four
// accounts want the same amount of work for the same time; one of them asks for
// it in eight times as many requests, and first.
func EqualDemand(seed uint64) Scenario {
	g := newGenerator("equal demand", seed, 64, 128<<10, "Bizerte", "Tunis", "Nabeul", "Sousse")
	g.s.Length = 4 * time.Hour
	for _, a := range []string{"many", "even", "odd", "whole"} {
		g.account(a)
		size, n, arrive := 8, 60, 30*time.Minute
		if a == "many" {
			size, n, arrive = 1, 480, time.Minute
		}
		for range n {
			g.add(a, rosemarysill.Normal, shape(1, size, false), g.within(arrive), g.spread(30*time.Minute, 1.5))
		}
	}
	return g.finish()
}

func shape(members, accelerators int, adjacent bool) rosemarysill.Shape {
	return rosemarysill.Shape{
		Members: members, Accelerators: accelerators, Adjacent: adjacent,
		Processors: 2 * accelerators, MemoryMB: 4096 * accelerators,
	}
}

func (g *generator) account(name string, guarantees ...rosemarysill.Guarantee) {
	g.s.Config.Accounts = append(g.s.Config.Accounts, rosemarysill.Account{Name: name, Guarantees: guarantees})
}

func (g *generator) within(d time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(d)))
}

// spread returns about d, wrong by up to the factor, in either direction.
func (g *generator) spread(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * math.Pow(factor, 2*g.rng.Float64()-1))
}

// add enters a job that runs for the given time. Declared times are wrong by up
// to ten times in either direction. One job in ten is not idempotent.
func (g *generator) add(account string, class rosemarysill.Class, s rosemarysill.Shape, at, run time.Duration) *Arrival {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], g.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], g.rng.Uint64())
	g.s.Arrivals = append(g.s.Arrivals, Arrival{At: at, Run: run, Spec: rosemarysill.JobSpec{
		ID: id, Account: account, Class: class, Idempotent: g.rng.IntN(10) > 0, Shape: s,
		DeclaredSeconds: max(int(g.spread(run, 10).Seconds()), 1),
	}})
	return &g.s.Arrivals[len(g.s.Arrivals)-1]
}

func (g *generator) small(account string, n int) {
	for range n {
		class := rosemarysill.Normal
		if g.rng.IntN(5) == 0 {
			class = rosemarysill.Urgent
		}
		g.add(account, class, shape(1, 1+g.rng.IntN(2), false), g.within(g.s.Length), g.spread(18*time.Minute, 4))
	}
}

func (g *generator) medium(account string, n int) {
	for range n {
		g.add(account, rosemarysill.Normal, shape(1+g.rng.IntN(3), 1+g.rng.IntN(4), g.rng.IntN(2) == 0),
			g.within(g.s.Length), g.spread(40*time.Minute, 3))
	}
}

// large adds overnight batches that arrive in the first two thirds.
func (g *generator) large(account string, n int) {
	for range n {
		g.add(account, rosemarysill.Batch, shape(2+g.rng.IntN(2), 8, true), g.within(g.s.Length*2/3), g.spread(time.Hour, 2))
	}
}

func (g *generator) steady(account string, class rosemarysill.Class, s rosemarysill.Shape, n int, run time.Duration) {
	for range n {
		g.add(account, class, s, g.within(g.s.Length), g.spread(run, 2))
	}
}

// burst adds jobs that arrive within a minute.
func (g *generator) burst(account string, at time.Duration, n int, s rosemarysill.Shape, run time.Duration) {
	for range n {
		g.add(account, rosemarysill.Batch, s, at+g.within(time.Minute), g.spread(run, 2))
	}
}

// trouble adds a failure domain move, a faulty worker, jobs that can never run
// and a wave of cancellations.
func (g *generator) trouble(domain, worker, account string) {
	g.s.Moves = append(g.s.Moves, DomainMove{Domain: domain, TakeOut: 5 * time.Hour, Off: 5*time.Hour + 4*time.Minute, Again: 6 * time.Hour})
	g.s.Faults = append(g.s.Faults, Fault{Worker: worker, From: time.Hour, Until: 3 * time.Hour})
	for range 3 {
		g.add(account, rosemarysill.Normal, shape(4, 8, true), g.within(g.s.Length), time.Hour)
		g.add(account, rosemarysill.Normal, shape(1, 1, false), g.within(g.s.Length), time.Hour).Fails = true
	}
	for range 40 {
		a := g.add(account, rosemarysill.Normal, shape(1, 2, false), 8*time.Hour+g.within(time.Minute), g.spread(time.Hour, 2))
		a.CancelAt = 8*time.Hour + 10*time.Minute + g.within(5*time.Second)
	}
}

func (g *generator) finish() Scenario {
	sort.SliceStable(g.s.Arrivals, func(i, j int) bool { return g.s.Arrivals[i].At < g.s.Arrivals[j].At })
	return g.s
}
