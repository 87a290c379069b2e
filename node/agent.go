package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/runner"
	"github.com/rosemarysill/rosemarysill/work"
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
	gate, metrics := newGate(n, log), meter.New()
	metrics.ExportIntake(gate.Counts)
	metricsServer.Go(func() { serveMetrics(ctx, netip.AddrPortFrom(n.IP, n.MetricsPort), newMetricsMux(metrics), gate, log) })
	register := func(r work.Registrar) http.Handler {
		return gate.Handler(platform.Register(r, log), gate.NewSlots("worker", gate.Limits().SmallConnections), intake.Refuse)
	}
	return runner.New(runner.Config{Name: n.Name, Store: store, Runtime: worker, Register: register, Log: log}).
		Run(ctx, gate.Listen(listeners[0], "worker", gate.Limits().SmallConnections))
}
