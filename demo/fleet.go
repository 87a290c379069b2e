package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/agent"
	"github.com/rosemarysill/rosemarysill/entry"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/rosemarysill/rosemarysill/placement"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/upstream"
	"github.com/rosemarysill/rosemarysill/worker"
)

// fleet is the whole system over stand-ins, in one process and on loopback.
type fleet struct {
	opts    []rosemarysill.Option
	clients *peer.Clients
	store   *kvstore.Client
	http    []netip.AddrPort
	grpc    []netip.AddrPort
	calls   *standin.CallJournal
	tasks   *standin.TaskJournal
	domains map[string]string // by worker

	parts  sync.WaitGroup
	stopIt []context.CancelFunc // agents first, then entries
	served []*standin.Server
}

func newFleet(t rosemarysill.Timings, log []rosemarysill.Option) (*fleet, error) {
	f := &fleet{calls: standin.NewCallJournal(), tasks: standin.NewTaskJournal(), domains: map[string]string{}}
	f.opts = append([]rosemarysill.Option{rosemarysill.WithTimings(t)}, log...)
	f.clients = peer.NewClients(peer.ClientsConfig{}, f.opts...)
	server, err := f.serve(standin.NewStore(standin.StoreOptions{}))
	if err != nil {
		return nil, err
	}
	f.store = kvstore.NewClient(server, kvstore.DefaultOptions())
	return f, nil
}

// listen opens a loopback listener on a free port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// start runs a part until the fleet is closed.
func (f *fleet) start(run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stopIt = append(f.stopIt, cancel)
	f.parts.Go(func() { run(ctx) })
}

// addEntries starts n entries that know each other.
func (f *fleet) addEntries(n int) error {
	type pair struct{ http, grpc net.Listener }
	var listeners []pair
	for range n {
		h, httpAddr, err := listen()
		if err != nil {
			return err
		}
		g, grpcAddr, err := listen()
		if err != nil {
			return err
		}
		listeners = append(listeners, pair{h, g})
		f.http, f.grpc = append(f.http, httpAddr), append(f.grpc, grpcAddr)
	}
	opts := append([]rosemarysill.Option{
		rosemarysill.WithStore(f.store), rosemarysill.WithAgents(f.clients), rosemarysill.WithPeers(f.clients),
		rosemarysill.WithPolicy(placement.New()),
	}, f.opts...)
	for i, l := range listeners {
		cfg := entry.Config{Name: fmt.Sprintf("entry-%d", i), HTTP: f.http[i], GRPC: f.grpc[i], Peers: f.grpc}
		e := entry.New(cfg, opts...)
		f.start(func(ctx context.Context) { _ = e.Run(ctx, l.http, l.grpc) })
	}
	return nil
}

// addAgent starts an agent of the identity over a stand-in.
func (f *fleet) addAgent(id rosemarysill.AgentIdentity, build func(cfg agent.Config) *agent.Agent) error {
	l, address, err := listen()
	if err != nil {
		return err
	}
	id.Address = address
	a := build(agent.Config{Identity: id, Entries: f.grpc})
	f.start(func(ctx context.Context) { _ = a.Serve(ctx, l, peer.ServerConfig{}) })
	return nil
}

func (f *fleet) addUpstream(name, domain string) error {
	id := rosemarysill.AgentIdentity{Name: name, Kind: rosemarysill.UpstreamAgent, Domain: domain, Slots: 8}
	address, err := f.serve(standin.NewUpstream(standin.UpstreamOptions{Name: name, Journal: f.calls}))
	if err != nil {
		return err
	}
	return f.addAgent(id, func(cfg agent.Config) *agent.Agent {
		return agent.NewUpstream(cfg, f.clients, upstream.NewClient(address, upstream.ClientOptions{}), f.opts...)
	})
}

func (f *fleet) addWorker(name, domain, rack string) error {
	id := rosemarysill.AgentIdentity{
		Name: name, Kind: rosemarysill.WorkerAgent, Domain: domain, Rack: rack,
		Accelerators: 8, Processors: 64, MemoryMB: 128 << 10,
	}
	f.domains[name] = domain
	address, err := f.serve(standin.NewRuntime(standin.RuntimeOptions{Name: name, Journal: f.tasks}))
	if err != nil {
		return err
	}
	return f.addAgent(id, func(cfg agent.Config) *agent.Agent {
		return agent.NewWorker(cfg, f.clients, worker.NewRuntime(address, worker.RuntimeOptions{}), f.opts...)
	})
}

// close ends the parts in the reverse order of their start and waits for them.
func (f *fleet) close() {
	for i := len(f.stopIt) - 1; i >= 0; i-- {
		f.stopIt[i]()
	}
	f.parts.Wait()
	f.clients.Close()
	f.store.Close()
	for _, s := range f.served {
		s.Stop()
	}
}

// serve runs a stand-in on a free loopback port until the fleet is closed.
func (f *fleet) serve(h http.Handler) (netip.AddrPort, error) {
	s, err := standin.Serve(netip.AddrPort{}, h)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.served = append(f.served, s)
	return s.Address(), nil
}
