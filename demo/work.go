package demo

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarysill/rosemarysill"
)

// settle is the time after a plan's confirmation in which tasks may still
// start in a domain that was taken out: the bound of docs/design.md, section
// 6.4.
func (r *run) settle() time.Duration {
	t := rosemarysill.NewOptions(r.f.opts...).Timings
	return t.StoreFresh + t.ReserveFor + t.BeatEvery
}

// work sends calls throughout, runs gangs before, during and after the move of
// a failure domain, and samples the free blocks.
func (r *run) work(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for _, a := range accounts() {
		background.Go(func() { r.callers(ctx, a.Name) })
	}
	background.Go(func() { r.sample(ctx) })

	if err := r.gangs(ctx, "before the move", 6); err != nil {
		return err
	}
	moving, cancel := errgroup.WithContext(ctx)
	moving.Go(func() error { return r.gangs(cancel, "during the move", 10) })
	moving.Go(func() error { return r.move(ctx) })
	if err := moving.Wait(); err != nil {
		return err
	}
	return r.gangs(ctx, "after the move", 6)
}

// callers sends calls of one account until ctx ends.
func (r *run) callers(ctx context.Context, account string) {
	for i := 0; ctx.Err() == nil; i++ {
		class, idempotent := rosemarysill.Urgent, true
		if i%3 == 1 {
			idempotent = false // coil diagnostics
		}
		if i%3 == 2 {
			class = rosemarysill.Batch
		}
		r.call(context.WithoutCancel(ctx), account, class, idempotent)
		select {
		case <-ctx.Done():
		case <-time.After(30 * time.Millisecond):
		}
	}
}

// gangs runs n jobs of the accounts in turn, of different shapes, and waits
// for their ends.
func (r *run) gangs(ctx context.Context, when string, n int) error {
	r.say("%d gangs %s", n, when)
	shapes := []rosemarysill.Shape{
		{Members: 2, Accelerators: 8, Processors: 8, MemoryMB: 1024, Adjacent: true},
		{Members: 1, Accelerators: 4, Processors: 4, MemoryMB: 1024},
		{Members: 4, Accelerators: 2, Processors: 2, MemoryMB: 1024},
	}
	g, ctx := errgroup.WithContext(ctx)
	all := accounts()
	for i := range n {
		class := rosemarysill.Classes()[i%3]
		g.Go(func() error { return r.job(ctx, all[i%len(all)].Name, class, shapes[i%len(shapes)], 0.5) })
	}
	return g.Wait()
}

// move takes the domain out for a while and brings it back.
func (r *run) move(ctx context.Context) error {
	time.Sleep(300 * time.Millisecond)
	if err := r.change(ctx, rosemarysill.Intent{Kind: rosemarysill.TakeOut, Target: movedDomain}); err != nil {
		return err
	}
	r.moved[0] = time.Now()
	time.Sleep(2*r.settle() + time.Second)
	r.moved[1] = time.Now()
	return r.change(ctx, rosemarysill.Intent{Kind: rosemarysill.BringBack, Target: movedDomain})
}

// sample records the largest free block until ctx ends.
func (r *run) sample(ctx context.Context) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s, err := r.operator.Status(ctx); err == nil && s.FreeAccelerators > 0 {
			r.mu.Lock()
			r.blocks = append(r.blocks, s.LargestFreeBlock)
			r.mu.Unlock()
		}
	}
}
