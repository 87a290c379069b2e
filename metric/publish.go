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
func Publish(entry string, calls *Calls, routing func() Routing) (remove func()) {
	entries.Set(entry, expvar.Func(func() any {
		return struct {
			Calls   any
			Routing Routing
		}{calls.Figures(), routing()}
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
	defs := []Definition{
		{"Calls.<Account>.<Class>.Codes.<Code>", "calls", "Answered calls by result code; `Unlisted` is any code that is not in CODES.md."},
	}
	for _, h := range []struct{ name, meaning string }{
		{"Latency", "time from the arrival of a call to its answer"},
		{"Queue", "time from the arrival of a call to its first forward, or to its refusal"},
	} {
		prefix := "Calls.<Account>.<Class>." + h.name + "."
		defs = append(defs,
			Definition{prefix + "Count", "calls", "Number of calls: " + h.meaning + "."},
			Definition{prefix + "Mean", "ms", "Mean of the " + h.meaning + "."},
			Definition{prefix + "P50", "ms", "Median of the " + h.meaning + "."},
			Definition{prefix + "P95", "ms", "95th percentile of the " + h.meaning + "."},
			Definition{prefix + "P99", "ms", "99th percentile of the " + h.meaning + "."},
			Definition{prefix + "Max", "ms", "Longest " + h.meaning + "."},
		)
	}
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
