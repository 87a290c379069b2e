package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

func printRows(w io.Writer, rows []row) {
	fmt.Fprintln(w, "| agents | tasks | entry core, idle | entry core, tasks | entry MB, idle | entry MB, tasks | entry B/s, idle | entry B/s, tasks | change applied | takeover | agent core, idle | agent core, tasks | agent MB, idle | agent MB, tasks |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %d | %d | %.2f%% | %.2f%% | %.1f | %.1f | %.0f | %.0f | %.2f s | %.2f s | %.2f%% | %.2f%% | %.1f | %.1f |\n",
			r.agents, r.tasks, 100*r.idle.cpuShare, 100*r.busy.cpuShare, megabytes(r.idle.residentBytes), megabytes(r.busy.residentBytes),
			r.idle.bytesPerSecond, r.busy.bytesPerSecond, r.configDelay.Seconds(), r.takeover.Seconds(), 100*r.idleAgent.cpuShare, 100*r.busyAgent.cpuShare, megabytes(r.idleAgent.residentBytes), megabytes(r.busyAgent.residentBytes))
	}
	for _, r := range rows {
		fmt.Fprintf(w, "\nstore calls per minute with %d agents, steady state: %s; after the kill: %s\n", r.agents, r.store, r.afterKill)
	}
	fmt.Fprintln(w, "\nslopes per agent:")
	for _, s := range []struct {
		label string
		value func(r row) float64
	}{
		{"entry core, idle (%)", func(r row) float64 { return 100 * r.idle.cpuShare }},
		{"entry core, tasks (%)", func(r row) float64 { return 100 * r.busy.cpuShare }},
		{"entry MB, idle", func(r row) float64 { return megabytes(r.idle.residentBytes) }},
		{"entry MB, tasks", func(r row) float64 { return megabytes(r.busy.residentBytes) }},
		{"entry B/s, idle", func(r row) float64 { return r.idle.bytesPerSecond }},
		{"entry B/s, tasks", func(r row) float64 { return r.busy.bytesPerSecond }},
	} {
		slope, intercept := leastSquares(rows, s.value)
		fmt.Fprintf(w, "  %-22s %.5f, intercept %.3f\n", s.label, slope, intercept)
	}
}

func megabytes(n int64) float64 { return float64(n) / 1e6 }

// leastSquares returns the least squares line of a value over the number of agents.
func leastSquares(rows []row, value func(row) float64) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.agents), value(r)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / n
}

// String returns the rates sorted by kind.
func (s storeCallRates) String() string {
	var rates []string
	for kind, n := range s {
		rates = append(rates, fmt.Sprintf("%s %.0f", kind, n))
	}
	sort.Strings(rates)
	return strings.Join(rates, ", ")
}
