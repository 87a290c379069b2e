package metric

import "expvar"

// Routing are the gauges and totals of an entry's routing of calls.
type Routing struct {
	Waiting        int
	InProgress     int
	Calls          int
	Forwards       int
	RecordWrites   int
	RecordReads    int
	LeaseGrants    int
	RecordsDropped int
}

// entries holds the figures of the entries of this process; there are several
// in demonstrations and tests only.
var entries = expvar.NewMap("Entries")

// Publish shows an entry's figures under /debug/vars until the returned
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

// Definition describes a published figure. Parts of the name in angle brackets
// stand for any account, class or code.
type Definition struct {
	Name    string
	Unit    string
	Meaning string
}

// Definitions returns the catalogue of published figures. All names are below
// Entries.<Entry>.
func Definitions() []Definition {
	defs := histograms("Calls", "calls", "Answered calls by result code; `Unlisted` is any code that is not in CODES.md.",
		"time from the arrival of a call to its answer",
		"time from the arrival of a call to its first forward, or to its refusal")
	defs = append(defs, histograms("Jobs", "jobs", "Jobs that this entry brought to a final state, by result code.",
		"time from the submission of a job to its final state",
		"time from the submission of a job to the start of its last attempt")...)
	return append(defs,
		Definition{"Routing.Waiting", "calls", "Calls in the queues now."},
		Definition{"Routing.InProgress", "calls", "Calls at upstreams now."},
		Definition{"Routing.Calls", "calls", "Calls admitted since the start."},
		Definition{"Routing.Forwards", "forwards", "Forwards to upstreams since the start, retries included."},
		Definition{"Routing.RecordWrites", "writes", "Store writes for records of calls since the start."},
		Definition{"Routing.RecordReads", "reads", "Store reads for records of calls since the start."},
		Definition{"Routing.LeaseGrants", "writes", "Store leases for records of calls since the start."},
		Definition{"Routing.RecordsDropped", "records", "Records that were not put right after an unresolved write, because too many waited."},
	)
}

// histograms returns the definitions of the figures of calls or jobs.
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
