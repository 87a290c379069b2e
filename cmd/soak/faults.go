package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// fault is one kind of injected fault. inject returns once the fault has ended.
type fault struct {
	name   string
	inject func(ctx context.Context, s *system, r *rand.Rand)
}

// randomDuration returns a duration of at least minMS and less than maxMS
// milliseconds.
func randomDuration(r *rand.Rand, minMS, maxMS int) time.Duration {
	return time.Duration(minMS+r.IntN(maxMS-minMS)) * time.Millisecond
}

func randomNode(r *rand.Rand, nodes []*node) *node { return nodes[r.IntN(len(nodes))] }

// printError prints the error of a fault that could not be injected. The run goes
// on.
func printError(err error) {
	if err != nil {
		fmt.Println("fault:", err)
	}
}

// withProxyMode keeps a proxy in mode m for the duration d.
func withProxyMode(ctx context.Context, p *proxy, m proxyMode, d time.Duration) {
	p.setMode(m)
	uptime.Sleep(ctx, d)
	p.setMode(forwarding)
}

// withStoreFault applies a store fault to one view for the duration d.
func withStoreFault(ctx context.Context, s *system, view string, f standin.Fault, d time.Duration) {
	s.store.SetFault(view, f)
	uptime.Sleep(ctx, d)
	s.store.SetFault(view, standin.Healthy)
}

var faults = []fault{
	{"kill", func(_ context.Context, s *system, r *rand.Rand) {
		randomNode(r, s.nodes).trySignalFault(func(n *node) { printError(n.restart(s.program, syscall.SIGKILL, randomDuration(r, 100, 2500))) })
	}},
	{"stop", func(_ context.Context, s *system, r *rand.Rand) {
		randomNode(r, s.nodes).trySignalFault(func(n *node) { printError(n.restart(s.program, syscall.SIGTERM, randomDuration(r, 50, 500))) })
	}},
	{"pause", func(ctx context.Context, s *system, r *rand.Rand) {
		pause(ctx, randomNode(r, s.nodes), randomDuration(r, 300, 7000))
	}},
	{"reload", func(_ context.Context, s *system, r *rand.Rand) {
		printError(randomNode(r, s.nodes).signal(syscall.SIGHUP))
	}},
	{"store slow", func(ctx context.Context, s *system, r *rand.Rand) {
		withProxyMode(ctx, randomNode(r, s.nodes).storeProxy, delaying, randomDuration(r, 500, 4000))
	}},
	{"store cut one way", func(ctx context.Context, s *system, r *rand.Rand) {
		withProxyMode(ctx, randomNode(r, s.nodes).storeProxy, holdingResponses, randomDuration(r, 500, 5000))
	}},
	{"store silent", func(ctx context.Context, s *system, r *rand.Rand) {
		withProxyMode(ctx, randomNode(r, s.nodes).storeProxy, holdingAll, randomDuration(r, 500, 5000))
	}},
	{"store reset", func(_ context.Context, s *system, r *rand.Rand) { randomNode(r, s.nodes).storeProxy.reset() }},
	{"store refuses", func(ctx context.Context, s *system, r *rand.Rand) {
		withStoreFault(ctx, s, randomNode(r, s.nodes).Name, standin.Refusing, randomDuration(r, 500, 5000))
	}},
	{"store loses answers", func(ctx context.Context, s *system, r *rand.Rand) {
		withStoreFault(ctx, s, randomNode(r, s.nodes[:entryCount]).Name, standin.Losing, randomDuration(r, 500, 3000))
	}},
	{"store commits late", func(ctx context.Context, s *system, r *rand.Rand) {
		withStoreFault(ctx, s, randomNode(r, s.nodes[:entryCount]).Name, standin.Late, randomDuration(r, 500, 3000))
	}},
	{"store down", func(ctx context.Context, s *system, r *rand.Rand) {
		withStoreFault(ctx, s, standin.Everyone, standin.Refusing, randomDuration(r, 500, 4000))
	}},
	{"history lost", func(_ context.Context, s *system, _ *rand.Rand) { s.store.Compact() }},
	{"worker orders late", func(ctx context.Context, s *system, r *rand.Rand) {
		w := randomWorker(r, s)
		w.SetLate(randomDuration(r, 300, 3000))
		uptime.Sleep(ctx, randomDuration(r, 300, 3000))
		w.SetLate(0)
	}},
	{"worker silent", func(ctx context.Context, s *system, r *rand.Rand) {
		w := randomWorker(r, s)
		w.SetDark(true)
		uptime.Sleep(ctx, randomDuration(r, 300, 9000))
		w.SetDark(false)
	}},
	{"worker born again", func(_ context.Context, s *system, r *rand.Rand) { randomWorker(r, s).Restart() }},
	{"worker cut one way", func(ctx context.Context, s *system, r *rand.Rand) {
		withProxyMode(ctx, randomNode(r, s.nodes[entryCount:]).workerProxy, holdingResponses, randomDuration(r, 300, 4000))
	}},
	{"worker reset", func(_ context.Context, s *system, r *rand.Rand) {
		randomNode(r, s.nodes[entryCount:]).workerProxy.reset()
	}},
	{"domain out", func(ctx context.Context, s *system, r *rand.Rand) {
		key := platform.DomainKey(fmt.Sprintf("d%d", r.IntN(2)))
		s.store.Put(key, []byte("{}"))
		uptime.Sleep(ctx, randomDuration(r, 500, 5000))
		s.store.Remove(key)
	}},
}

const (
	// seriesCount is the number of fault series that run concurrently.
	seriesCount = 4
	// workerSeriesCount is the number of those beside them that draw from the faults of
	// workers only.
	workerSeriesCount = 2
)

// selection is the kinds of faults and jobs of a run.
type selection struct {
	earliest bool            // only those of faults, and no deadly jobs
	without  map[string]bool // kinds that are drawn and not injected
	only     map[string]bool // kinds to draw from; empty for all
}

// deadlyJobs is the name of the jobs whose tasks crash the workers.
const deadlyJobs = "deadly jobs"

func (o selection) has(name string) bool { return !o.without[name] }

// kinds returns the kinds of faults to draw from.
func (o selection) kinds() []fault {
	if o.earliest {
		return faults
	}
	return slices.Concat(faults, workerFaults)
}

// allFaults returns the kinds of faults that there are.
func allFaults() []fault { return slices.Concat(faults, workerFaults, reportFaults) }

// series returns the kinds that each fault series draws from.
func (o selection) series() [][]fault {
	if len(o.only) > 0 {
		only := slices.DeleteFunc(allFaults(), func(f fault) bool { return !o.only[f.name] })
		return slices.Repeat([][]fault{only}, seriesCount+workerSeriesCount)
	}
	series := slices.Repeat([][]fault{o.kinds()}, seriesCount)
	if !o.earliest {
		series = append(series, slices.Repeat([][]fault{workerFaults}, workerSeriesCount)...)
		series = append(series, reportFaults)
	}
	return series
}

// injectFaults runs concurrent series of random faults until ctx ends, and
// returns once all faults have ended. The n-th series draws from its own random
// generator, seeded with (seed, n).
func injectFaults(ctx context.Context, s *system, seed uint64, logFault func(string)) {
	var wg sync.WaitGroup
	for i, kinds := range s.kinds.series() {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				if f := kinds[r.IntN(len(kinds))]; s.kinds.has(f.name) {
					logFault(f.name)
					f.inject(ctx, s, r)
				}
				uptime.Sleep(ctx, randomDuration(r, 100, 1200))
			}
		})
	}
	wg.Wait()
}
