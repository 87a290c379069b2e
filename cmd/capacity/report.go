package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

func printRows(w io.Writer, rows []row) {
	fmt.Fprintln(w, "| agents | tasks | entry core, idle | entry core, tasks | entry MB, idle | entry MB, tasks | entry B/s, idle | entry B/s, tasks | change in force | takeover | agent core, idle | agent core, tasks | agent MB, idle | agent MB, tasks |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %d | %d | %.2f%% | %.2f%% | %.1f | %.1f | %.0f | %.0f | %.2f s | %.2f s | %.2f%% | %.2f%% | %.1f | %.1f |\n",
			r.agents, r.tasks, 100*r.idle.core, 100*r.busy.core, megabytes(r.idle.resident), megabytes(r.busy.resident),
			r.idle.bytes, r.busy.bytes, r.change.Seconds(), r.takeover.Seconds(), 100*r.idleAgent.core, 100*r.busyAgent.core, megabytes(r.idleAgent.resident), megabytes(r.busyAgent.resident))
	}
	for _, r := range rows {
		fmt.Fprintf(w, "\nstore calls a minute with %d agents, at rest: %s; after the kill: %s\n", r.agents, r.store, r.afterKill)
	}
	fmt.Fprintln(w, "\nslopes for each agent:")
	for _, s := range []struct {
		name string
		of   func(r row) float64
	}{
		{"entry core, idle (%)", func(r row) float64 { return 100 * r.idle.core }},
		{"entry core, tasks (%)", func(r row) float64 { return 100 * r.busy.core }},
		{"entry MB, idle", func(r row) float64 { return megabytes(r.idle.resident) }},
		{"entry MB, tasks", func(r row) float64 { return megabytes(r.busy.resident) }},
		{"entry B/s, idle", func(r row) float64 { return r.idle.bytes }},
		{"entry B/s, tasks", func(r row) float64 { return r.busy.bytes }},
	} {
		slope, start := fit(rows, s.of)
		fmt.Fprintf(w, "  %-22s %.5f, from %.3f\n", s.name, slope, start)
	}
}

func megabytes(n int64) float64 { return float64(n) / 1e6 }

// fit returns the least squares line through the rows.
func fit(rows []row, of func(row) float64) (slope, start float64) {
	var n, sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.agents), of(r)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / n
}

// String lists the kinds of calls.
func (s storeLoad) String() string {
	var parts []string
	for kind, n := range s {
		parts = append(parts, fmt.Sprintf("%s %.0f", kind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
