// Package metric counts calls by client account and class and publishes the
// figures with expvar. docs/METRICS.md lists the names.
package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rosemarysill/rosemarysill"
)

const (
	// OtherAccounts is the name under which accounts beyond the limit and calls without
	// a declared account are counted.
	OtherAccounts = "Rest"
	// unlisted counts codes that docs/CODES.md does not have, since a message
	// may hold any number.
	unlisted = "Unlisted"

	// A histogram of two digits up to 30 minutes in steps of 10 µs has 22 KB, so
	// 91 accounts with three classes have at most 12 MB. Longer times count as
	// 30 minutes.
	callStep    = 10 * time.Microsecond
	longestCall = 30 * time.Minute
	// Jobs run for hours to days; a histogram up to a week in steps of 100 ms
	// has 18 KB.
	jobStep    = 100 * time.Millisecond
	longestJob = 7 * 24 * time.Hour
	digits     = 2
)

// Calls are histograms and counters of calls, or of jobs. They are safe for concurrent use,
// and their size is bounded by the number of accounts.
type Calls struct {
	most          int
	step, longest time.Duration // of the histograms
	known         map[rosemarysill.Code]string

	mu     sync.RWMutex
	series map[string]*[3]series // by account, in the order of classes
}

// series holds the figures of one account and class.
type series struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	queue   *hdrhistogram.Histogram
	codes   map[string]int64
}

// NewCalls returns figures for at most the given number of accounts; those that
// come later are counted together under OtherAccounts.
func NewCalls(accounts int) *Calls {
	return newCalls(accounts, callStep, longestCall)
}

// NewJobs returns figures of jobs: the time from submission to the final state,
// and the time in queue until the start of the last attempt.
func NewJobs(accounts int) *Calls { return newCalls(accounts, jobStep, longestJob) }

func newCalls(accounts int, step, longest time.Duration) *Calls {
	return &Calls{most: accounts, step: step, longest: longest, known: rosemarysill.Codes(), series: map[string]*[3]series{}}
}

// Observe counts an answered call: its time in the queue and its time from
// arrival to answer. The account is empty when it is not declared. A class that is not known counts as the last one.
func (c *Calls) Observe(account string, class rosemarysill.Class, code rosemarysill.Code, queued, took time.Duration) {
	all := c.account(account)
	s := &all[min(class.Rank(), len(all)-1)]
	name, ok := c.known[code]
	if !ok {
		name = unlisted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		s.latency, s.queue, s.codes = c.newHistogram(), c.newHistogram(), map[string]int64{}
	}
	c.record(s.latency, took)
	c.record(s.queue, queued)
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
	if len(c.series) >= c.most && name != OtherAccounts {
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
	return hdrhistogram.New(1, int64(c.longest/c.step), digits)
}

func (c *Calls) record(h *hdrhistogram.Histogram, d time.Duration) {
	d = max(0, min(d, c.longest))
	_ = h.RecordValue(int64(d / c.step)) // in range
}

// Summary is a histogram in milliseconds.
type Summary struct {
	Count                    int64
	Mean, P50, P95, P99, Max float64
}

// Figures are what is published of one account and class.
type Figures struct {
	Latency Summary
	Queue   Summary
	Codes   map[string]int64
}

// Figures returns a copy of all figures by account and class. Classes without a
// call are left out.
func (c *Calls) Figures() map[string]map[rosemarysill.Class]Figures {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[string]map[rosemarysill.Class]Figures, len(c.series))
	for account, all := range c.series {
		classes := map[rosemarysill.Class]Figures{}
		for i, class := range rosemarysill.Classes() {
			if f, ok := all[i].figures(c.step); ok {
				classes[class] = f
			}
		}
		out[account] = classes
	}
	return out
}

func (s *series) figures(step time.Duration) (Figures, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		return Figures{}, false
	}
	f := Figures{Latency: summarise(s.latency, step), Queue: summarise(s.queue, step), Codes: make(map[string]int64, len(s.codes))}
	for name, n := range s.codes {
		f.Codes[name] = n
	}
	return f, true
}

func summarise(h *hdrhistogram.Histogram, step time.Duration) Summary {
	ms := func(v float64) float64 { return v * float64(step) / float64(time.Millisecond) }
	return Summary{
		Count: h.TotalCount(),
		Mean:  ms(h.Mean()),
		P50:   ms(float64(h.ValueAtQuantile(50))),
		P95:   ms(float64(h.ValueAtQuantile(95))),
		P99:   ms(float64(h.ValueAtQuantile(99))),
		Max:   ms(float64(h.Max())),
	}
}
