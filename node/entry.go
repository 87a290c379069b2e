// Package node runs the two kinds of processes on the users' platform: the entry,
// which serves clients and takes part in the election of the leader, and the agent,
// which runs on the machine of a worker.
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/gateway"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/leader"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/relay"
)

const (
	// storeTimeout bounds a call to the store. The store answers in a few
	// milliseconds, and still in time if it is 60 times slower.
	storeTimeout = 800 * time.Millisecond
	// maxHeaderBytes, readHeaderTimeout and idleTimeout limit a client's connection.
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// drainShare is the fraction of the time between SIGTERM and SIGKILL for which
	// an entry still accepts requests: the load balancer removes it after two failed
	// health checks, one per second, and clients with open connections keep sending.
	drainShare = 0.6
)

// Entry runs an entry until ctx is done, and then for as long as requests may still
// arrive.
func Entry(ctx context.Context, n platform.Node, log zerolog.Logger) error {
	store := platform.NewStoreClient(n.Store, storeTimeout)
	defer store.Close()
	cache := jobstore.NewCache(store, log)
	declarations := declaration.New(store, platform.DocumentDecoder{}, log)
	metrics := meter.New()
	metrics.ExportConfiguration(func() int64 { return declarations.Configuration().ID().Version })
	gw := gateway.New(gateway.Config{Store: store, Cache: cache, Declarations: declarations, KeyRevocationDelay: n.KeyRevocationDelay, MemoryMB: n.MemoryMB, Meter: metrics, Log: log})
	cfg := leader.Config{
		Name: n.Name, Address: n.Internal, Cores: n.Cores, LinkMbps: n.LinkMbps, Store: store, Cache: cache, Declarations: declarations,
		LeaseMin: n.LeaseMin, StatusRetention: n.StatusRetention, StopGrace: n.StopGrace, GangWait: n.GangWait, ReclaimTimeout: n.ReclaimTimeout, RemoteSlowdown: n.RemoteSlowdown, EncodeWaveStatus: platform.EncodeWaveStatus, Meter: metrics, Log: log,
	}
	if n.Advice.IsValid() {
		advice := platform.NewAdviceClient(n.Advice)
		defer advice.Close()
		cfg.Adviser = advice
	}
	if n.Machines.IsValid() {
		machines := platform.NewMachineClient(n.Machines)
		defer machines.Close()
		cfg.Machines = machines
	}
	candidate := leader.New(cfg)
	forwarder := relay.New(relay.Config{
		Name: n.Name, Local: gw, Peers: func() []relay.Peer { return peers(cache, n.Name) }, Meter: metrics, Log: log,
	})
	defer forwarder.Close()
	listeners, err := listen(n.Callers, n.Ready, n.Internal)
	if err != nil {
		return err
	}
	gate := newGate(n, log)
	metrics.ExportIntake(gate.Counts)
	apiServer := newHTTPServer(gate, "callers", gate.Limits().Requests, platform.NewCallerHandler(forwarder).WithRetryAfter(forwarder.RetryAfter))
	readyServer := newHTTPServer(gate, "readiness", gate.Limits().SmallConnections, readinessHandler(ctx, gw))
	operatorMux := newMetricsMux(metrics)
	operatorMux.Handle("POST "+explanationPath, explanationHandler(gw, candidate))
	rpcServer := control.NewServer(log, gate.RPCOptions()...)
	control.Register(rpcServer, candidate)
	relay.Register(rpcServer, gw, gate.NewSlots("relayed", gate.Limits().Requests))

	event.QueueStarted.Log(log).Str("Entry", n.Name).Str("Domain", n.Domain).Send()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	var goroutines sync.WaitGroup
	goroutines.Go(func() { cache.Run(serveCtx) })
	goroutines.Go(func() { declarations.Run(serveCtx) })
	goroutines.Go(func() { candidate.Run(ctx) })
	goroutines.Go(func() {
		jobstore.KeepRegistered(ctx, store, jobstore.LeaderRecord{Name: n.Name, Address: n.Internal, Cores: n.Cores, LinkMbps: n.LinkMbps, MemoryMB: n.MemoryMB}, func(err error) {
			event.QueueStoreLost.Log(log).Str("Entry", n.Name).Err(err).Send()
		})
	})
	goroutines.Go(func() { serveMetrics(serveCtx, netip.AddrPortFrom(n.IP, n.MetricsPort), operatorMux, gate, log) })
	failed := make(chan error, 3)
	goroutines.Go(func() {
		failed <- ignoreServerClosed(apiServer.Serve(gate.Listen(listeners[0], "callers", gate.Limits().Connections)))
	})
	goroutines.Go(func() {
		failed <- ignoreServerClosed(readyServer.Serve(gate.Listen(listeners[1], "readiness", gate.Limits().SmallConnections)))
	})
	goroutines.Go(func() { failed <- rpcServer.Serve(gate.ListenRPC(listeners[2], "internal")) })

	select {
	case <-ctx.Done():
		event.QueueStopping.Log(log).Str("Entry", n.Name).Send()
		err = drain(apiServer, n.ShutdownGrace)
	case err = <-failed:
	}
	stopServing()
	rpcServer.Stop()
	err = errors.CombineErrors(err, errors.CombineErrors(apiServer.Close(), readyServer.Close()))
	if ctx.Err() != nil {
		goroutines.Wait()
	}
	event.QueueStopped.Log(log).Str("Entry", n.Name).AnErr("Cause", err).Send()
	return err
}

// newGate returns the limits on the connections of a process.
func newGate(n platform.Node, log zerolog.Logger) *intake.Gate {
	return intake.NewGate(intake.LimitsFor(n.MemoryMB<<20, intake.Descriptors(n.MaxDescriptors)), log)
}

// newHTTPServer returns a server under the limits of a gate, with a limit of requests in
// progress.
func newHTTPServer(gate *intake.Gate, name string, requests int, h http.Handler) *http.Server {
	return &http.Server{
		Handler: gate.Handler(h, gate.NewSlots(name, requests), intake.Refuse), ConnContext: intake.ConnContext, ConnState: intake.ConnState,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// peers returns the other entries, the leader first.
func peers(c *jobstore.Cache, self string) []relay.Peer {
	var all []relay.Peer
	for _, e := range c.Entries() {
		if e.Name != self {
			all = append(all, relay.Peer{Name: e.Name, Address: e.Address})
		}
	}
	return all
}

// drain keeps serving for drainShare of the grace period and then shuts the server
// down, which lets the requests in progress finish.
func drain(server *http.Server, grace time.Duration) error {
	time.Sleep(time.Duration(float64(grace) * drainShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(1-drainShare)/2))
	defer cancel()
	return server.Shutdown(ctx)
}

// readinessHandler reports to the load balancer whether this entry accepts requests.
func readinessHandler(ctx context.Context, g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func listen(addresses ...netip.AddrPort) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp4", a.String())
		if err != nil {
			return nil, errors.Wrapf(err, "listen on TCP address %s", a)
		}
		all = append(all, l)
	}
	return all, nil
}
