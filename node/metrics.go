package node

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/meter"
)

// metricsPath is the path of the figures.
const metricsPath = "/metrics"

// serveFigures serves the figures of a process until ctx ends. A process works
// without them.
func serveFigures(ctx context.Context, address netip.AddrPort, m *meter.Meter, log zerolog.Logger) {
	l, err := listen(address)
	if err != nil {
		event.NodeNoFigures.Log(log).Err(err).Send()
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, m.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve returns then
	defer stop()
	if err := server.Serve(l[0]); !errors.Is(err, http.ErrServerClosed) {
		event.NodeNoFigures.Log(log).Err(err).Send()
	}
}
