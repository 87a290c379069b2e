package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/agent"
	"github.com/rosemarysill/rosemarysill/entry"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/rosemarysill/rosemarysill/placement"
	"github.com/rosemarysill/rosemarysill/settings"
	"github.com/rosemarysill/rosemarysill/upstream"
	"github.com/rosemarysill/rosemarysill/worker"
)

func processCommands() []command {
	return []command{
		{name: "entry", short: "Run an entry process", data: &entryCommand{},
			long: "Serves callers and operators over HTTP, and agents and other entries over gRPC. SIGTERM starts a graceful shutdown, which completes requests in progress. A second signal terminates the process immediately."},
		{name: "agent", short: "Run the agent of an upstream or a worker", data: &agentCommand{},
			long: "Registers its upstream or worker with the entries and makes the last check of all work before it starts. SIGTERM starts a graceful shutdown, which accepts no new work and completes work in progress. A second signal terminates the process immediately."},
	}
}

// settingsArgument is the path of a settings file.
type settingsArgument struct {
	Args struct {
		File string `positional-arg-name:"SETTINGS" required:"true" description:"Settings file in YAML"`
	} `positional-args:"true" required:"true"`
}

// shutdownContext returns a context that is cancelled by the first SIGTERM or
// interrupt. The handler is then removed, so that a second signal terminates the
// process.
func shutdownContext() context.Context {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// newLogger returns a logger that writes to standard error.
func newLogger(level zerolog.Level) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}

// listen opens a TCP listener.
func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, rosemarysill.NewError(rosemarysill.InvalidSettings, "open listener: %v", err)
	}
	return l, nil
}

type entryCommand struct{ settingsArgument }

// Execute runs the entry until a signal arrives.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.ReadEntry(c.Args.File)
	log := newLogger(s.Log.Level)
	settings.LogResult(log, c.Args.File, err)
	if err != nil {
		return err
	}
	httpListener, err := listen(s.Listen.HTTP)
	if err != nil {
		return err
	}
	grpcListener, err := listen(s.Listen.GRPC)
	if err != nil {
		return err
	}
	opts := []rosemarysill.Option{rosemarysill.WithLog(log), rosemarysill.WithTimings(s.Timings)}
	clients := peer.NewClients(peer.ClientsConfig{}, opts...)
	defer clients.Close()
	store := kvstore.NewClient(s.Store, storeOptions(s.Limits))
	defer store.Close()
	opts = append(opts, rosemarysill.WithStore(store), rosemarysill.WithAgents(clients),
		rosemarysill.WithPeers(clients), rosemarysill.WithPolicy(placement.New(placement.WithTimings(s.Timings))))
	intake.LimitMemory(s.Limits.MemoryMB << 20)
	return entry.New(entryConfig(s), opts...).Run(shutdownContext(), httpListener, grpcListener)
}

// machineLimits returns the limits on connections for a machine.
func machineLimits(memoryMB int64, descriptors int) intake.Limits {
	return intake.LimitsFor(memoryMB<<20, intake.Descriptors(descriptors))
}

func storeOptions(l settings.EntryLimits) kvstore.Options {
	o := kvstore.DefaultOptions()
	o.WritesPerS, o.ReadsPerS, o.CallTimeout = l.StoreWritesPerS, l.StoreReadsPerS, l.StoreTimeout
	return o
}

func entryConfig(s settings.Entry) entry.Config {
	cfg := entry.Config{
		Name: s.Name, HTTP: s.Listen.HTTP, GRPC: s.Listen.GRPC, Peers: s.Peers,
		MaxJobs: s.Limits.MaxJobs, MaxAgents: s.Limits.MaxAgents, MaxJobBodyBytes: s.Limits.MaxJobBodyBytes,
		Limits: message.DefaultLimits(), Calls: upstream.DefaultLimits(),
	}
	cfg.Limits.BodyBytes = int64(s.Limits.MaxBodyBytes)*4/3 + 4096 // base64 adds a third; 4096 bytes for the other fields
	limits := machineLimits(s.Limits.MemoryMB, s.Limits.MaxDescriptors)
	cfg.Limits.HeldBytes = min(s.Limits.MaxHeldBytes, max(limits.BodyBytes, cfg.Limits.BodyBytes)) // at least one body
	cfg.Limits.Connections = limits.Connections
	cfg.Server = peer.ServerConfig{Connections: limits.RPCConnections, MessageBytes: limits.MessageBytes}
	cfg.Limits.Requests = int64(s.Limits.MaxRequests)
	cfg.Limits.ReadWithin, cfg.Limits.WriteWithin = s.Limits.ReadTimeout, s.Limits.WriteTimeout
	d := &cfg.Calls.Dispatch
	d.Queued, d.QueuePerAccount, d.Attempts = s.Limits.MaxQueuedCalls, s.Limits.MaxQueuedPerAccount, s.Limits.MaxAttempts
	d.RetryShare, d.RetryReserve = s.Limits.RetryBudget, float64(s.Limits.RetryReserve)
	cfg.Calls.InProgress, cfg.Calls.AnswerBytes = s.Limits.MaxCalls, s.Limits.MaxAnswerBytes
	cfg.Calls.Record.StoredBytes = s.Limits.MaxStoredBytes
	return cfg
}

type agentCommand struct{ settingsArgument }

// Execute runs the agent until a signal arrives.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.ReadAgent(c.Args.File)
	log := newLogger(s.Log.Level)
	settings.LogResult(log, c.Args.File, err)
	if err != nil {
		return err
	}
	l, err := listen(s.Listen)
	if err != nil {
		return err
	}
	opts := []rosemarysill.Option{rosemarysill.WithLog(log), rosemarysill.WithTimings(s.Timings)}
	clients := peer.NewClients(peer.ClientsConfig{}, opts...)
	defer clients.Close()
	a, closeBackEnd := newAgent(s, clients, opts)
	defer closeBackEnd()
	intake.LimitMemory(s.Limits.MemoryMB << 20)
	limits := machineLimits(s.Limits.MemoryMB, s.Limits.MaxDescriptors)
	return a.Serve(shutdownContext(), l, peer.ServerConfig{Connections: limits.RPCConnections, MessageBytes: limits.MessageBytes})
}

// newAgent returns the agent and a function that closes the connections to its back
// end.
func newAgent(s settings.Agent, entries rosemarysill.Entries, opts []rosemarysill.Option) (*agent.Agent, func()) {
	cfg := agent.Config{
		Identity: rosemarysill.AgentIdentity{
			Name: s.Name, Kind: s.Kind, Address: s.Listen, Domain: s.Domain, Rack: s.Rack,
			Slots: s.Capacity.Slots, Accelerators: s.Capacity.Accelerators,
			Processors: s.Capacity.Processors, MemoryMB: s.Capacity.MemoryMB,
		},
		Entries: s.Entries, MaxEntries: s.Limits.MaxEntries, MaxAnswer: s.Limits.MaxAnswerBytes,
	}
	if s.Kind == rosemarysill.UpstreamAgent {
		u := upstream.NewClient(s.BackEnd, upstream.ClientOptions{})
		return agent.NewUpstream(cfg, entries, u, opts...), u.Close
	}
	r := worker.NewRuntime(s.BackEnd, worker.RuntimeOptions{})
	return agent.NewWorker(cfg, entries, r, opts...), r.Close
}
