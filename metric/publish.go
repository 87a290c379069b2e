package metric

import "expvar"

// Routing holds the gauges and counters of the call routing of an entry.
type Routing struct {
	Waiting        int
	InProgress     int
	Calls          int
	Forwards       int
	RecordWrites   int
	RecordReads    int
	LeaseGrants    int
	RecordsDropped int
	Connections    Connections
}

// Connections holds the gauges and counters of the limits on connections.
type Connections struct {
	Open            int64
	Replaced        int64
	Rejected        int64
	BodyBytes       int64
	BodiesDropped   int64
	BodiesLate      int64
	RequestsRefused int64
}

// entries holds the metrics of the entries of this process by name. Only
// demonstrations and tests have several entries in one process.
var entries = expvar.NewMap("Entries")

// Publish publishes the metrics of an entry under /debug/vars until the returned
// function is called.
func Publish(entry string, calls, jobs *Calls, routing func() Routing) (remove func()) {
	entries.Set(entry, expvar.Func(func() any {
		return struct {
			Calls   any
			Jobs    any
			Routing Routing
		}{calls.Figures(), jobs.Figures(), routing()}
	}))
	return func() { entries.Delete(entry) }
}

// Definition describes a published metric. Parts of the name in angle brackets are
// placeholders for an account, class or code.
type Definition struct {
	Name    string
	Unit    string
	Meaning string
}

// Definitions returns the catalogue of published metrics. All names are relative to
// Entries.<Entry>.
func Definitions() []Definition {
	defs := histograms("Calls", "calls", "Answered calls by result code; `Unlisted` is any code that is not in CODES.md.",
		"time from the arrival of a call to its answer",
		"time from the arrival of a call to its first forward, or to its refusal")
	defs = append(defs, histograms("Jobs", "jobs", "Jobs that reached a final state at this entry, by result code.",
		"time from the submission of a job to its final state",
		"time from the submission of a job to the start of its last attempt")...)
	return append(defs,
		Definition{"Routing.Waiting", "calls", "Calls currently queued."},
		Definition{"Routing.InProgress", "calls", "Calls currently in progress at upstreams."},
		Definition{"Routing.Calls", "calls", "Calls admitted since the start of the process."},
		Definition{"Routing.Forwards", "forwards", "Forwards to upstreams since the start of the process, including retries."},
		Definition{"Routing.RecordWrites", "writes", "Store writes for records of calls since the start of the process."},
		Definition{"Routing.RecordReads", "reads", "Store reads for records of calls since the start of the process."},
		Definition{"Routing.LeaseGrants", "writes", "Store leases granted for records of calls since the start of the process."},
		Definition{"Routing.RecordsDropped", "records", "Records not resolved after an unresolved write, because too many records were waiting for resolution."},
		Definition{"Routing.Connections.Open", "connections", "Open connections of clients, agents and other entries."},
		Definition{"Routing.Connections.Replaced", "connections", "Connections closed for new ones at the limit since the start of the process."},
		Definition{"Routing.Connections.Rejected", "connections", "New connections closed at the limit since the start of the process, because the requests of all others were being executed."},
		Definition{"Routing.Connections.BodyBytes", "bytes", "Memory of request bodies and of incomplete messages."},
		Definition{"Routing.Connections.BodiesDropped", "bodies", "Bodies and messages dropped since the start of the process because the memory for them was used up."},
		Definition{"Routing.Connections.BodiesLate", "bodies", "Bodies that did not arrive in time since the start of the process."},
		Definition{"Routing.Connections.RequestsRefused", "requests", "Requests refused since the start of the process because too many were in progress."},
	)
}

// histograms returns the definitions of the metrics of calls or jobs.
func histograms(group, unit, codes, latency, queue string) []Definition {
	prefix := group + ".<Account>.<Class>."
	defs := []Definition{{prefix + "Codes.<Code>", unit, codes}}
	for _, h := range []struct{ name, meaning string }{{"Latency", latency}, {"Queue", queue}} {
		defs = append(defs,
			Definition{prefix + h.name + ".Count", unit, "Number of " + unit + ": " + h.meaning + "."},
			Definition{prefix + h.name + ".Mean", "ms", "Mean of the " + h.meaning + "."},
			Definition{prefix + h.name + ".P50", "ms", "Median of the " + h.meaning + "."},
			Definition{prefix + h.name + ".P95", "ms", "95th percentile of the " + h.meaning + "."},
			Definition{prefix + h.name + ".P99", "ms", "99th percentile of the " + h.meaning + "."},
			Definition{prefix + h.name + ".Max", "ms", "Longest " + h.meaning + "."},
		)
	}
	return defs
}
