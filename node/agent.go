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

// Agent runs the agent on a worker's machine until ctx is done. It needs no graceful
// shutdown, because the worker keeps its runs until their leases expire.
func Agent(ctx context.Context, n platform.Node, log zerolog.Logger) error {
	store := platform.NewStoreClient(n.Store, storeTimeout)
	defer store.Close()
	worker := platform.NewWorkerClient(n.Worker)
	defer worker.Close()
	listeners, err := listen(n.Control)
	if err != nil {
		return err
	}
	var metricsServer sync.WaitGroup
	defer metricsServer.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	metricsServer.Go(func() { serveMetrics(ctx, netip.AddrPortFrom(n.IP, n.MetricsPort), meter.New(), log) })
	return runner.New(runner.Config{Name: n.Name, Store: store, Runtime: worker, Register: platform.Register, Log: log}).Run(ctx, listeners[0])
}
