package agent

import (
	"context"
	"net"
	"sync"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer"
)

// Serve runs the agent and its server on the listener until ctx ends or Leave
// is called. The server answers until the agent has ended, so that new work is
// refused with a code during the graceful shutdown.
func (a *Agent) Serve(ctx context.Context, l net.Listener, cfg peer.ServerConfig) error {
	server := peer.NewServer(cfg, peer.Handlers{Agent: a}, rosemarysill.WithNow(a.opts.Now), rosemarysill.WithLog(a.opts.Log))
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var failed error
	var running sync.WaitGroup
	running.Go(func() {
		failed = server.Run(serving, l)
		a.Leave() // an agent that cannot be reached is of no use
	})
	err := a.Run(ctx)
	stop()
	running.Wait()
	if err != nil {
		return err
	}
	return failed
}
