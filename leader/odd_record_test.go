package leader_test

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

// nested returns a JSON array that is nested more deeply than decoders go.
func nested() string {
	const depth = 20_000
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// Guards against one odd record in the store, left by another writer, that ends each
// entry that reads it, or after which entries and agents stop following the records.
func TestOddRecordDisturbsNobody(t *testing.T) {
	misplaced, err := jobstore.EncodeJob(&work.Job{ID: "elsewhere", Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 0)}, Spec: spec(time.Millisecond, "")})
	require.NoError(t, err)
	encode := func(v any) string {
		data, err := json.Marshal(v)
		require.NoError(t, err)
		return string(data)
	}
	entry := func(name, address string, cores float64) string {
		return encode(map[string]any{"Name": name, "Address": address, "Epoch": 1, "Cores": cores, "LinkMbps": 1e6})
	}
	for name, record := range map[string]struct{ key, value string }{
		"entry, deeply nested":     {"rs/entry/odd", nested()},
		"entry, number too large":  {"rs/entry/odd", `{"Name":"odd","Address":"10.0.0.1:70","Epoch":1e400}`},
		"entry, port out of range": {"rs/entry/odd", entry("odd", "10.0.0.1:70000", 1)},
		"entry, no address":        {"rs/entry/odd", entry("odd", "", 64)},
		"entry, another name":      {"rs/entry/odd", entry("entry0", "10.0.0.1:70", 64)},
		"entry, absurd size":       {"rs/entry/odd", entry("odd", "10.0.0.1:70", 1e300)},
		"job, deeply nested":       {"rs/job/odd", nested()},
		"job, number too large":    {"rs/job/odd", `{"ID":"odd","Steps":[{"Count":1e400}]}`},
		"job, not of its key":      {"rs/job/odd", string(misplaced)},
		"progress, no job":         {"rs/progress/odd", nested()},
		"wave, deeply nested":      {"rs/wave/odd", nested()},

		"address beside the leader's": {"rs/leader-odd", encode(jobstore.LeaderRecord{Name: "odd", Address: netip.MustParseAddrPort("127.0.0.1:9"), Epoch: 1 << 40})},
		"leader, deeply nested":       {"rs/leader", nested()},
		"leader, port out of range":   {"rs/leader", entry("odd", "10.0.0.1:70000", 1)},
		"leader, no address":          {"rs/leader", `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 0, 2)
			c.cores = 0.4
			c.addEntry("entry0")
			c.addEntry("entry1")
			submit := func(id string) {
				c.submitJob(&work.Job{ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(2, 0)}, Spec: spec(100*time.Millisecond, "")})
				c.awaitState(id, work.Completed)
			}
			submit("before")
			c.store.Put(record.key, []byte(record.value))
			submit("after")
			c.addEntry("entry2") // reads the record at its start
			c.crash(c.awaitLeader())
			submit("after takeover")
			c.requireNoBreaches()
		})
	}
}
