// Package metric counts calls and jobs by client account and class, and publishes
// the metrics with expvar. docs/METRICS.md lists their names.
package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rosemarysill/rosemarysill"
)

const (
	// OtherAccounts is the name under which accounts beyond the limit and calls
	// without a declared account are counted.
	OtherAccounts = "Rest"
	// unlistedCode is the name under which codes that are not in docs/CODES.md are
	// counted. Messages of other processes may contain any number.
	unlistedCode = "Unlisted"

	// A histogram with two significant digits up to 30 minutes in steps of 10 µs
	// takes 22 KB. The two histograms of each of three classes of 91 accounts take
	// at most 12 MB. Longer times count as 30 minutes.
	callResolution = 10 * time.Microsecond
	maxCallTime    = 30 * time.Minute
	// Jobs run for hours to days. A histogram up to a week in steps of 100 ms
	// takes 18 KB.
	jobResolution     = 100 * time.Millisecond
	maxJobTime        = 7 * 24 * time.Hour
	significantDigits = 2
)

// Calls holds histograms and counters of calls or jobs. It is safe for concurrent
// use, and its size is bounded by the maximum number of accounts.
type Calls struct {
	maxAccounts         int
	resolution, maxTime time.Duration // of the histograms
	codeNames           map[rosemarysill.Code]string

	mu     sync.RWMutex
	series map[string]*[3]series // by account, in the order of classes
}

// series holds the histograms and counters of one account and class. They are nil
// until the first call.
type series struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	queue   *hdrhistogram.Histogram
	codes   map[string]int64
}

// NewCalls returns metrics of calls for at most maxAccounts accounts. Further
// accounts are counted together under OtherAccounts.
func NewCalls(maxAccounts int) *Calls {
	return newCalls(maxAccounts, callResolution, maxCallTime)
}

// NewJobs returns metrics of jobs: the time from submission to the final state, and
// the time from submission to the start of the last attempt.
func NewJobs(maxAccounts int) *Calls { return newCalls(maxAccounts, jobResolution, maxJobTime) }

func newCalls(maxAccounts int, resolution, maxTime time.Duration) *Calls {
	return &Calls{maxAccounts: maxAccounts, resolution: resolution, maxTime: maxTime, codeNames: rosemarysill.Codes(), series: map[string]*[3]series{}}
}

// Observe counts an answered call or a finished job. latency is the time from its
// arrival to its end, queueTime the part before it was forwarded or started. The
// account is empty if it is not declared. An unknown class counts as the last one.
func (c *Calls) Observe(account string, class rosemarysill.Class, code rosemarysill.Code, queueTime, latency time.Duration) {
	classes := c.account(account)
	s := &classes[min(class.Rank(), len(classes)-1)]
	name, ok := c.codeNames[code]
	if !ok {
		name = unlistedCode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		s.latency, s.queue, s.codes = c.newHistogram(), c.newHistogram(), map[string]int64{}
	}
	c.record(s.latency, latency)
	c.record(s.queue, queueTime)
	s.codes[name]++
}

func (c *Calls) account(name string) *[3]series {
	if name == "" {
		name = OtherAccounts
	}
	c.mu.RLock()
	s, ok := c.series[name]
	c.mu.RUnlock()
	if ok {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok = c.series[name]; ok {
		return s
	}
	if len(c.series) >= c.maxAccounts && name != OtherAccounts {
		name = OtherAccounts
		if s, ok = c.series[name]; ok {
			return s
		}
	}
	s = &[3]series{}
	c.series[name] = s
	return s
}

func (c *Calls) newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(c.maxTime/c.resolution), significantDigits)
}

func (c *Calls) record(h *hdrhistogram.Histogram, d time.Duration) {
	d = max(0, min(d, c.maxTime))
	_ = h.RecordValue(int64(d / c.resolution)) // cannot fail: the value is in range
}

// Summary summarises a histogram of times, in milliseconds.
type Summary struct {
	Count                    int64
	Mean, P50, P95, P99, Max float64
}

// Figures holds the published metrics of one account and class.
type Figures struct {
	Latency Summary
	Queue   Summary
	Codes   map[string]int64
}

// Figures returns a copy of all metrics by account and class. Classes without
// calls are omitted.
func (c *Calls) Figures() map[string]map[rosemarysill.Class]Figures {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]map[rosemarysill.Class]Figures, len(c.series))
	for account, all := range c.series {
		classes := map[rosemarysill.Class]Figures{}
		for i, class := range rosemarysill.Classes() {
			if f, ok := all[i].figures(c.resolution); ok {
				classes[class] = f
			}
		}
		out[account] = classes
	}
	return out
}

func (s *series) figures(resolution time.Duration) (Figures, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		return Figures{}, false
	}
	f := Figures{Latency: summarise(s.latency, resolution), Queue: summarise(s.queue, resolution), Codes: make(map[string]int64, len(s.codes))}
	for name, n := range s.codes {
		f.Codes[name] = n
	}
	return f, true
}

func summarise(h *hdrhistogram.Histogram, resolution time.Duration) Summary {
	ms := func(v float64) float64 { return v * float64(resolution) / float64(time.Millisecond) }
	return Summary{
		Count: h.TotalCount(),
		Mean:  ms(h.Mean()),
		P50:   ms(float64(h.ValueAtQuantile(50))),
		P95:   ms(float64(h.ValueAtQuantile(95))),
		P99:   ms(float64(h.ValueAtQuantile(99))),
		Max:   ms(float64(h.Max())),
	}
}
