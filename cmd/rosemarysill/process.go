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
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/rosemarysill/rosemarysill/placement"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/upstream"
	"github.com/rosemarysill/rosemarysill/worker"
)

func processCommands() []command {
	return []command{
		{name: "entry", short: "Run an entry process", data: &entryCommand{},
			long: "Serves callers and operators over HTTP, and agents and other entries over gRPC. SIGTERM begins a graceful shutdown; a second signal ends the process at once."},
		{name: "agent", short: "Run the agent beside an upstream or a worker", data: &agentCommand{},
			long: "Announces its upstream or worker to the entries and is the last check before any work. SIGTERM begins a graceful shutdown; a second signal ends the process at once."},
	}
}

// untilSignal returns a context that ends with the first SIGTERM or interrupt.
// The handler is removed then, so that a second signal ends the process.
func untilSignal() context.Context {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, cancel)
	return ctx
}

type entryCommand struct {
	Name  string   `long:"name" required:"true"`
	HTTP  string   `long:"http" required:"true"`
	GRPC  string   `long:"grpc" required:"true"`
	Store string   `long:"store" required:"true"`
	Peers []string `long:"peer"`
	Scale float64  `long:"scale" default:"1"`
}

// Execute runs the entry.
func (c *entryCommand) Execute([]string) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	opts := []rosemarysill.Option{rosemarysill.WithLog(log), rosemarysill.WithTimings(rosemarysill.DefaultTimings().Scaled(c.Scale))}
	clients := peer.NewClients(peer.ClientsConfig{}, opts...)
	defer clients.Close()
	store := platform.NewClient(netip.MustParseAddrPort(c.Store), platform.DefaultOptions())
	defer store.Close()
	opts = append(opts, rosemarysill.WithStore(store), rosemarysill.WithAgents(clients), rosemarysill.WithPeers(clients), rosemarysill.WithPolicy(placement.New()))
	cfg := entry.Config{Name: c.Name, HTTP: netip.MustParseAddrPort(c.HTTP), GRPC: netip.MustParseAddrPort(c.GRPC)}
	for _, p := range c.Peers {
		cfg.Peers = append(cfg.Peers, netip.MustParseAddrPort(p))
	}
	h, err := net.Listen("tcp", c.HTTP)
	if err != nil {
		return err
	}
	g, err := net.Listen("tcp", c.GRPC)
	if err != nil {
		return err
	}
	return entry.New(cfg, opts...).Run(untilSignal(), h, g)
}

type agentCommand struct {
	Name         string   `long:"name" required:"true"`
	Kind         string   `long:"kind" required:"true"`
	Listen       string   `long:"listen" required:"true"`
	Domain       string   `long:"domain" required:"true"`
	Rack         string   `long:"rack"`
	Backend      string   `long:"backend" required:"true"`
	Entries      []string `long:"entry" required:"true"`
	Slots        int      `long:"slots" default:"8"`
	Accelerators int      `long:"accelerators" default:"8"`
	Scale        float64  `long:"scale" default:"1"`
}

// Execute runs the agent.
func (c *agentCommand) Execute([]string) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	opts := []rosemarysill.Option{rosemarysill.WithLog(log), rosemarysill.WithTimings(rosemarysill.DefaultTimings().Scaled(c.Scale))}
	clients := peer.NewClients(peer.ClientsConfig{}, opts...)
	defer clients.Close()
	cfg := agent.Config{Identity: rosemarysill.AgentIdentity{
		Name: c.Name, Kind: rosemarysill.AgentKind(c.Kind), Address: netip.MustParseAddrPort(c.Listen), Domain: c.Domain, Rack: c.Rack,
		Slots: c.Slots, Accelerators: c.Accelerators, Processors: 64, MemoryMB: 128 << 10,
	}}
	for _, e := range c.Entries {
		cfg.Entries = append(cfg.Entries, netip.MustParseAddrPort(e))
	}
	backend := netip.MustParseAddrPort(c.Backend)
	var a *agent.Agent
	if c.Kind == string(rosemarysill.UpstreamAgent) {
		a = agent.NewUpstream(cfg, clients, upstream.NewClient(backend, upstream.ClientOptions{}), opts...)
	} else {
		a = agent.NewWorker(cfg, clients, worker.NewRuntime(backend, worker.RuntimeOptions{}), opts...)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx := untilSignal()
	server := peer.NewServer(peer.ServerConfig{}, peer.Handlers{Agent: a}, opts...)
	serving, stop := context.WithCancel(context.Background())
	go func() { _ = server.Run(serving, l) }()
	err = a.Run(ctx)
	stop()
	<-server.Done()
	return err
}
