package settings

import (
	"net/netip"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/form"
	"github.com/rs/zerolog"
)

// Listen holds the addresses on which an entry listens. The entry announces GRPC
// to other processes, which connect to it there.
type Listen struct {
	HTTP netip.AddrPort `settings:"required"` // for callers and operators
	GRPC netip.AddrPort `settings:"required"` // for entries and agents
}

// Log configures the log of a process.
type Log struct {
	Level zerolog.Level // least level that is logged: info
}

// EntryLimits are the resource limits of an entry. The comments state the defaults.
type EntryLimits struct {
	MemoryMB            int64         `settings:"min=64,max=1048576"`   // memory of the machine: 2,048 MiB
	MaxDescriptors      int           `settings:"min=256,max=1048576"`  // open file descriptors of the process: 8,192
	MaxBodyBytes        int           `settings:"min=1,max=16777216"`   // of a call: 1 MiB
	MaxJobBodyBytes     int           `settings:"min=1,max=614400"`     // of a job: 512 KiB; the store accepts records of up to 1 MB
	MaxAnswerBytes      int           `settings:"min=1,max=16777216"`   // of a call: 16 MiB
	MaxStoredBytes      int           `settings:"min=0,max=65536"`      // of an answer stored in a record: 64 KiB
	MaxHeldBytes        int64         `settings:"min=1,max=8589934592"` // of all bodies in memory: 256 MiB
	MaxRequests         int           `settings:"min=1,max=100000"`     // HTTP requests in progress: 1,024
	MaxQueuedCalls      int           `settings:"min=1,max=1000000"`    // of all accounts: 4,096
	MaxQueuedPerAccount int           `settings:"min=1,max=1000000"`    // of one account in one class: 256
	MaxCalls            int           `settings:"min=1,max=1000000"`    // queued or in progress: 8,192
	MaxAttempts         int           `settings:"min=1,max=16"`         // attempts to forward one call: 4
	MaxJobs             int           `settings:"min=1,max=100000"`     // unfinished jobs: 10,000
	MaxAgents           int           `settings:"min=1,max=100000"`     // registered agents: 2,500
	RetryBudget         float64       `settings:"min=0,max=1"`          // retries per call: 0.1
	RetryReserve        int           `settings:"min=0,max=1000"`       // retries allowed regardless of the budget: 3
	StoreWritesPerS     float64       `settings:"min=1,max=400"`        // write rate to the store: 100
	StoreReadsPerS      float64       `settings:"min=1,max=2000"`       // read rate from the store: 500
	StoreTimeout        time.Duration `settings:"min=10ms,max=10s"`     // of a request to the store: 1 s
	ReadTimeout         time.Duration `settings:"min=100ms,max=5m"`     // to receive a request: 10 s
	WriteTimeout        time.Duration `settings:"min=100ms,max=10m"`    // to send an answer: 30 s
}

// DefaultEntryLimits returns the default limits of an entry. They suit a VM with a
// few GB of memory at the target scale: 1,100 workers, 91 client accounts and four
// entries that share one store.
func DefaultEntryLimits() EntryLimits {
	return EntryLimits{
		MemoryMB:            2048,
		MaxDescriptors:      8192,
		MaxBodyBytes:        1 << 20,
		MaxJobBodyBytes:     512 << 10,
		MaxAnswerBytes:      16 << 20,
		MaxStoredBytes:      64 << 10,
		MaxHeldBytes:        256 << 20,
		MaxRequests:         1024,
		MaxQueuedCalls:      4096,
		MaxQueuedPerAccount: 256,
		MaxCalls:            8192,
		MaxAttempts:         4,
		MaxJobs:             10_000,
		MaxAgents:           2500,
		RetryBudget:         0.1,
		RetryReserve:        3,
		StoreWritesPerS:     100,
		StoreReadsPerS:      500,
		StoreTimeout:        time.Second,
		ReadTimeout:         10 * time.Second,
		WriteTimeout:        30 * time.Second,
	}
}

// Entry holds the settings of an entry.
type Entry struct {
	Name    string           `settings:"required,name"`
	Domain  string           `settings:"required,name"` // failure domain of its VM
	Listen  Listen           `settings:"required"`
	Store   netip.AddrPort   `settings:"required"`
	Peers   []netip.AddrPort `settings:"max=64"` // GRPC addresses of other entries; may be out of date
	Limits  EntryLimits
	Timings rosemarysill.Timings
	Log     Log
}

// ReadEntry reads the settings of an entry from a file.
func ReadEntry(file string) (Entry, error) {
	data, err := form.Read(file)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(file, data)
}

// ParseEntry decodes the settings of an entry. The file name is used in
// faults only.
func ParseEntry(file string, data []byte) (Entry, error) {
	e := Entry{Limits: DefaultEntryLimits(), Timings: rosemarysill.DefaultTimings(), Log: Log{Level: zerolog.InfoLevel}}
	d := newDecoder(file)
	d.Decode(data, &e)
	if !d.Empty() {
		d.checkTimings(e.Timings)
		d.checkEntry(e)
	}
	if err := d.Faults(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// checkEntry reports settings of an entry that contradict each other.
func (d *decoder) checkEntry(e Entry) {
	d.checkReachable("Listen.GRPC", e.Listen.GRPC)
	if e.Listen.HTTP.IsValid() && e.Listen.HTTP == e.Listen.GRPC {
		d.AddFault("Listen.GRPC", "is the same address as Listen.HTTP")
	}
	if e.Store.IsValid() && (e.Store == e.Listen.GRPC || e.Store == e.Listen.HTTP) {
		d.AddFault("Store", "is an address of the entry itself")
	}
	d.checkAddresses("Peers", e.Peers)
	l := e.Limits
	d.checkMaximum("Limits.MaxQueuedPerAccount", l.MaxQueuedPerAccount, "Limits.MaxQueuedCalls", l.MaxQueuedCalls)
	d.checkMaximum("Limits.MaxQueuedCalls", l.MaxQueuedCalls, "Limits.MaxCalls", l.MaxCalls)
	d.checkMaximum("Limits.MaxStoredBytes", l.MaxStoredBytes, "Limits.MaxAnswerBytes", l.MaxAnswerBytes)
	d.checkMaximum("Limits.MaxBodyBytes", l.MaxBodyBytes, "Limits.MaxHeldBytes", int(l.MaxHeldBytes))
	if l.StoreTimeout >= e.Timings.StoreFresh && !d.Invalid("Limits.StoreTimeout") && !d.anyInvalid("StoreFresh") {
		key := "Limits.StoreTimeout"
		if !d.Has(key) {
			key = "Timings.StoreFresh"
		}
		d.AddFault(key, "Limits.StoreTimeout (%s) must be shorter than Timings.StoreFresh (%s): otherwise one slow request ends the store contact", l.StoreTimeout, e.Timings.StoreFresh)
	}
}
