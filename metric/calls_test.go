package metric

import (
	"encoding/json"
	"expvar"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

const pagePath = "../docs/METRICS.md"

func renderPage() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach entry publishes its metrics at `/debug/vars` (expvar) under `Entries.<Entry>`, since the start of the process. " +
		"Times are in milliseconds, from histograms with two significant digits: of calls in steps of 0.01 ms up to 30 minutes, of jobs in steps of 100 ms up to a week. " +
		"Client accounts beyond the limit of the process are counted together as `" + OtherAccounts + "`.\n\n| Name | Unit | Meaning |\n|---|---|---|\n")
	for _, d := range Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", d.Name, d.Unit, d.Meaning)
	}
	return b.String()
}

// TestPageMatchesCode guards against metrics that are missing from
// docs/METRICS.md or differ from it. UPDATE_DOCS=1 writes the page.
func TestPageMatchesCode(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(pagePath, []byte(renderPage()), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, renderPage(), string(got))
}

// collectNames adds the paths of all numbers in a published value to out. Accounts,
// classes and codes are replaced by placeholders.
func collectNames(path []string, v any, out map[string]bool) {
	children, ok := v.(map[string]any)
	if !ok {
		out[strings.Join(path, ".")] = true
		return
	}
	for key, child := range children {
		switch {
		case len(path) == 1 && (path[0] == "Calls" || path[0] == "Jobs"):
			key = "<Account>"
		case len(path) == 2 && (path[0] == "Calls" || path[0] == "Jobs"):
			key = "<Class>"
		case len(path) > 0 && path[len(path)-1] == "Codes":
			key = "<Code>"
		}
		collectNames(append(path[:len(path):len(path)], key), child, out)
	}
}

// TestPublishedNamesAreDefined guards against a catalogue that differs from the
// published names, and against publishing the metrics of an entry that has stopped.
func TestPublishedNamesAreDefined(t *testing.T) {
	calls := NewCalls(2)
	calls.Observe("Sfax", rosemarysill.Urgent, rosemarysill.Done, 0, time.Second)
	jobs := NewJobs(2)
	jobs.Observe("Sfax", rosemarysill.Batch, rosemarysill.Done, time.Minute, 30*time.Hour)
	require.InEpsilon(t, 30*3.6e6, jobs.Figures()["Sfax"][rosemarysill.Batch].Latency.Max, 0.01)
	remove := Publish("e1", calls, jobs, func() Routing { return Routing{} })
	var all map[string]any
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("Entries").String()), &all))
	got := map[string]bool{}
	collectNames(nil, all["e1"], got)
	want := map[string]bool{}
	for _, d := range Definitions() {
		want[d.Name] = true
	}
	require.Equal(t, want, got)
	remove()
	require.Equal(t, "{}", expvar.Get("Entries").String())
}

// TestFiguresByAccountAndClass guards against metrics that mix accounts, classes
// or the two times, and against wrong units.
func TestFiguresByAccountAndClass(t *testing.T) {
	c := NewCalls(4)
	for i := 1; i <= 100; i++ {
		c.Observe("Sfax", rosemarysill.Urgent, rosemarysill.Done, time.Duration(i)*time.Millisecond, time.Duration(i)*time.Second)
	}
	c.Observe("Sfax", rosemarysill.Batch, rosemarysill.QueueFull, -time.Second, 24*time.Hour)
	got := c.Figures()["Sfax"]
	urgent := got[rosemarysill.Urgent]
	require.Equal(t, map[string]int64{"Done": 100}, urgent.Codes)
	for q, ms := range map[float64]float64{urgent.Queue.P50: 50, urgent.Queue.P95: 95, urgent.Queue.P99: 99, urgent.Queue.Max: 100, urgent.Queue.Mean: 50.5, urgent.Latency.P99: 99_000} {
		require.InEpsilon(t, ms, q, 0.01)
	}
	require.EqualValues(t, 100, urgent.Latency.Count)
	batch := got[rosemarysill.Batch]
	require.Equal(t, map[string]int64{"QueueFull": 1}, batch.Codes)
	require.InEpsilon(t, 1_800_000, batch.Latency.Max, 0.01)
	require.Zero(t, batch.Queue.Max)
	require.NotContains(t, got, rosemarysill.Normal)
	require.LessOrEqual(t, c.newHistogram().ByteSize(), 24<<10)
	c.Observe("", rosemarysill.Urgent, rosemarysill.UnknownAccount, 0, 0)
	require.Contains(t, c.Figures(), OtherAccounts)
}

// TestSizeIsBounded guards against memory that grows with the account names and
// codes in messages, and against counts lost under concurrency.
func TestSizeIsBounded(t *testing.T) {
	c := NewCalls(3)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 1000 {
				c.Observe(fmt.Sprint("account ", (i+j)%50), rosemarysill.Class(fmt.Sprint(j)), rosemarysill.Code(1000+j), 0, 0)
				if j%100 == 0 {
					c.Figures()
				}
			}
		})
	}
	wg.Wait()
	var accounts []string
	total := int64(0)
	for account, classes := range c.Figures() {
		accounts = append(accounts, account)
		for class, f := range classes {
			require.Equal(t, rosemarysill.Batch, class)
			require.Equal(t, map[string]int64{unlistedCode: f.Latency.Count}, f.Codes)
			total += f.Latency.Count
		}
	}
	sort.Strings(accounts)
	require.Len(t, accounts, 4)
	require.Equal(t, OtherAccounts, accounts[0])
	require.EqualValues(t, 8000, total)
}
