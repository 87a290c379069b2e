// Package node builds the two processes that run on the users' platform: an
// entry, which serves callers and takes part in the election of the leader,
// and the agent beside a worker.
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
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/leader"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/relay"
)

const (
	// storeTimeout ends a call to the store, which answers in a few
	// milliseconds; one that is 60 times slower still answers in time.
	storeTimeout = 800 * time.Millisecond
	// headerBytes, headerWait and idleWait bound a caller's connection.
	headerBytes = 16 << 10
	headerWait  = 3 * time.Second
	idleWait    = 15 * time.Second
	// drainShare is the part of the time between SIGTERM and SIGKILL in which
	// an entry still takes requests: the balancer needs two misses of a look a
	// second, and callers with open connections send on.
	drainShare = 0.6
)

// Entry runs an entry until ctx ends, and then for as long as requests may
// still arrive.
func Entry(ctx context.Context, n platform.Node, log zerolog.Logger) error {
	store := platform.NewStoreClient(n.Store, storeTimeout)
	defer store.Close()
	copied := jobstore.NewCache(store, log)
	documents := declaration.New(store, platform.DocumentDecoder{}, log)
	figures := meter.New()
	gate := gateway.New(gateway.Config{Store: store, Cache: copied, Declarations: documents, KeyRevocationDelay: n.KeyRevocationDelay, Meter: figures, Log: log})
	cfg := leader.Config{
		Name: n.Name, Address: n.Internal, Cores: n.Cores, LinkMbps: n.LinkMbps, Store: store, Cache: copied, Declarations: documents,
		LeaseMin: n.LeaseMin, StatusRetention: n.StatusRetention, StopGrace: n.StopGrace, GangWait: n.GangWait, ReclaimTimeout: n.ReclaimTimeout, EncodeWaveStatus: platform.EncodeWaveStatus, Meter: figures, Log: log,
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
	lead := leader.New(cfg)
	relayed := relay.New(relay.Config{Local: gate, Peers: func() []relay.Peer { return peers(copied, n.Name) }, Log: log})
	defer relayed.Close()
	listeners, err := listen(n.Callers, n.Ready, n.Internal)
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: platform.NewCallerHandler(relayed), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: headerBytes,
	}
	ready := &http.Server{Handler: readiness(ctx, gate), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait}
	streams := control.NewServer(log)
	control.Register(streams, lead)
	relay.Register(streams, gate)

	event.QueueStarted.Log(log).Str("Entry", n.Name).Str("Domain", n.Domain).Send()
	follow, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	parts.Go(func() { copied.Run(follow) })
	parts.Go(func() { documents.Run(follow) })
	parts.Go(func() { lead.Run(ctx) })
	parts.Go(func() {
		jobstore.KeepRegistered(ctx, store, jobstore.LeaderRecord{Name: n.Name, Address: n.Internal, Cores: n.Cores, LinkMbps: n.LinkMbps}, func(err error) {
			event.QueueStoreLost.Log(log).Str("Entry", n.Name).Err(err).Send()
		})
	})
	parts.Go(func() { serveFigures(follow, netip.AddrPortFrom(n.IP, n.MetricsPort), figures, log) })
	failed := make(chan error, 3)
	parts.Go(func() { failed <- served(callers.Serve(listeners[0])) })
	parts.Go(func() { failed <- served(ready.Serve(listeners[1])) })
	parts.Go(func() { failed <- streams.Serve(listeners[2]) })

	select {
	case <-ctx.Done():
		event.QueueStopping.Log(log).Str("Entry", n.Name).Send()
		err = drain(callers, n.ShutdownGrace)
	case err = <-failed:
	}
	stop()
	streams.Stop()
	err = errors.CombineErrors(err, errors.CombineErrors(callers.Close(), ready.Close()))
	if ctx.Err() != nil {
		parts.Wait()
	}
	event.QueueStopped.Log(log).Str("Entry", n.Name).AnErr("Cause", err).Send()
	return err
}

// peers returns the other entries, the leader first.
func peers(c *jobstore.Cache, own string) []relay.Peer {
	var all []relay.Peer
	for _, e := range c.Entries() {
		if e.Name != own {
			all = append(all, relay.Peer{Name: e.Name, Address: e.Address})
		}
	}
	return all
}

// drain serves on for a while and then finishes the requests in progress.
func drain(callers *http.Server, grace time.Duration) error {
	time.Sleep(time.Duration(float64(grace) * drainShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*(1-drainShare)/2))
	defer cancel()
	return callers.Shutdown(ctx)
}

// readiness tells the balancer whether this entry takes callers.
func readiness(ctx context.Context, g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ctx.Err() != nil || !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func served(err error) error {
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
			return nil, errors.Wrapf(err, "listen at %s", a)
		}
		all = append(all, l)
	}
	return all, nil
}
