package node

import (
	"context"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/runner"
)

// Agent runs the agent beside a worker until ctx ends. It ends at once: the
// worker keeps its runs until their leases lapse.
func Agent(ctx context.Context, n platform.Node, log zerolog.Logger) error {
	store := platform.NewStoreClient(n.Store, storeTimeout)
	defer store.Close()
	w := platform.NewWorkerClient(n.Worker)
	defer w.Close()
	listeners, err := listen(n.Control)
	if err != nil {
		return err
	}
	var figures sync.WaitGroup
	defer figures.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	figures.Go(func() { serveFigures(ctx, netip.AddrPortFrom(n.IP, n.MetricsPort), meter.New(), log) })
	return runner.New(runner.Config{Name: n.Name, Store: store, Runtime: w, Register: platform.Register, Log: log}).Run(ctx, listeners[0])
}
