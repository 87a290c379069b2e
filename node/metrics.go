package node

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/meter"
)

// metricsPath is the HTTP path of the metrics.
const metricsPath = "/metrics"

// newMetricsMux returns a multiplexer that serves the metrics of a process.
func newMetricsMux(m *meter.Meter) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, m.Handler())
	return mux
}

// serveMetrics serves the metrics of a process, and what else operators read there, until
// ctx is done. If it fails, it logs the error, and the process runs without them.
func serveMetrics(ctx context.Context, address netip.AddrPort, mux *http.ServeMux, gate *intake.Gate, log zerolog.Logger) {
	l, err := listen(address)
	if err != nil {
		event.NodeNoFigures.Log(log).Err(err).Send()
		return
	}
	server := newHTTPServer(gate, "metrics", gate.Limits().SmallConnections, mux)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // makes Serve return
	defer stop()
	if err := server.Serve(gate.Listen(l[0], "metrics", gate.Limits().SmallConnections)); !errors.Is(err, http.ErrServerClosed) {
		event.NodeNoFigures.Log(log).Err(err).Send()
	}
}
