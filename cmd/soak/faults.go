package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name   string
	inject func(ctx context.Context, s *site, r *rand.Rand)
}

// between returns a duration in milliseconds.
func between(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

func pick(r *rand.Rand, nodes []*node) *node { return nodes[r.IntN(len(nodes))] }

// report prints what a fault could not do; the soak goes on.
func report(err error) {
	if err != nil {
		fmt.Println("fault:", err)
	}
}

// proxied holds a proxy in a mode for a while.
func proxied(ctx context.Context, p *proxy, m mode, d time.Duration) {
	p.set(m)
	uptime.Sleep(ctx, d)
	p.set(passing)
}

// stored holds the store in a state for a view for a while.
func stored(ctx context.Context, s *site, view string, f standin.Fault, d time.Duration) {
	s.store.SetFault(view, f)
	uptime.Sleep(ctx, d)
	s.store.SetFault(view, standin.Healthy)
}

var faults = []fault{
	{"kill", func(_ context.Context, s *site, r *rand.Rand) {
		pick(r, s.nodes).alone(func(n *node) { report(n.restart(s.program, syscall.SIGKILL, between(r, 100, 2500))) })
	}},
	{"stop", func(_ context.Context, s *site, r *rand.Rand) {
		pick(r, s.nodes).alone(func(n *node) { report(n.restart(s.program, syscall.SIGTERM, between(r, 50, 500))) })
	}},
	{"pause", func(ctx context.Context, s *site, r *rand.Rand) {
		pick(r, s.nodes).alone(func(n *node) {
			report(n.signal(syscall.SIGSTOP))
			uptime.Sleep(ctx, between(r, 300, 7000))
			report(n.signal(syscall.SIGCONT))
		})
	}},
	{"reload", func(_ context.Context, s *site, r *rand.Rand) { report(pick(r, s.nodes).signal(syscall.SIGHUP)) }},
	{"store slow", func(ctx context.Context, s *site, r *rand.Rand) {
		proxied(ctx, pick(r, s.nodes).store, delaying, between(r, 500, 4000))
	}},
	{"store cut one way", func(ctx context.Context, s *site, r *rand.Rand) {
		proxied(ctx, pick(r, s.nodes).store, cutting, between(r, 500, 5000))
	}},
	{"store silent", func(ctx context.Context, s *site, r *rand.Rand) {
		proxied(ctx, pick(r, s.nodes).store, silencing, between(r, 500, 5000))
	}},
	{"store reset", func(_ context.Context, s *site, r *rand.Rand) { pick(r, s.nodes).store.reset() }},
	{"store refuses", func(ctx context.Context, s *site, r *rand.Rand) {
		stored(ctx, s, pick(r, s.nodes).Name, standin.Refusing, between(r, 500, 5000))
	}},
	{"store loses answers", func(ctx context.Context, s *site, r *rand.Rand) {
		stored(ctx, s, pick(r, s.nodes[:entries]).Name, standin.Losing, between(r, 500, 3000))
	}},
	{"store commits late", func(ctx context.Context, s *site, r *rand.Rand) {
		stored(ctx, s, pick(r, s.nodes[:entries]).Name, standin.Late, between(r, 500, 3000))
	}},
	{"store down", func(ctx context.Context, s *site, r *rand.Rand) {
		stored(ctx, s, standin.Everyone, standin.Refusing, between(r, 500, 4000))
	}},
	{"history lost", func(_ context.Context, s *site, _ *rand.Rand) { s.store.Compact() }},
	{"worker orders late", func(ctx context.Context, s *site, r *rand.Rand) {
		w := s.workers[r.IntN(agents)]
		w.SetLate(between(r, 300, 3000))
		uptime.Sleep(ctx, between(r, 300, 3000))
		w.SetLate(0)
	}},
	{"worker silent", func(ctx context.Context, s *site, r *rand.Rand) {
		w := s.workers[r.IntN(agents)]
		w.SetDark(true)
		uptime.Sleep(ctx, between(r, 300, 9000))
		w.SetDark(false)
	}},
	{"worker born again", func(_ context.Context, s *site, r *rand.Rand) { s.workers[r.IntN(agents)].Restart() }},
	{"worker cut one way", func(ctx context.Context, s *site, r *rand.Rand) {
		proxied(ctx, pick(r, s.nodes[entries:]).worker, cutting, between(r, 300, 4000))
	}},
	{"worker reset", func(_ context.Context, s *site, r *rand.Rand) { pick(r, s.nodes[entries:]).worker.reset() }},
	{"domain out", func(ctx context.Context, s *site, r *rand.Rand) {
		key := platform.DomainKey(fmt.Sprintf("d%d", r.IntN(2)))
		s.store.Put(key, []byte("{}"))
		uptime.Sleep(ctx, between(r, 500, 5000))
		s.store.Remove(key)
	}},
}

// lanes is the number of series of faults that overlap.
const lanes = 4

// trouble injects faults in overlapping series until ctx ends, and returns
// when all are over.
func trouble(ctx context.Context, s *site, seed uint64, log func(string)) {
	var parts sync.WaitGroup
	for lane := range uint64(lanes) {
		r := rand.New(rand.NewPCG(seed, lane))
		parts.Go(func() {
			for ctx.Err() == nil {
				f := faults[r.IntN(len(faults))]
				log(f.name)
				f.inject(ctx, s, r)
				uptime.Sleep(ctx, between(r, 100, 1200))
			}
		})
	}
	parts.Wait()
}
