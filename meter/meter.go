// Package meter measures what entries and agents do for jobs made of steps, in
// the text form that Prometheus reads.
package meter

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

const (
	// maxAccounts bounds the client accounts that have figures of their own;
	// the others are counted together. It is above the 91 of the target size.
	maxAccounts = 128
	// rest is the label of all other accounts.
	rest = "Rest"
)

// Meter measures one process.
type Meter struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	waits    *prometheus.HistogramVec
	jobs     *prometheus.HistogramVec

	mu       sync.Mutex
	accounts map[string]bool
}

// New returns a meter.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry(), accounts: make(map[string]bool)}
	m.answers = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_answer_seconds", Help: "Time from a caller's request to its answer, by call and result code.",
		Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5},
	}, []string{"call", "code"})
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_start_wait_seconds", Help: "Time from the acceptance of a job to its first start, by client account and priority.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2.4, 5, 15, 60, 300, 1800},
	}, []string{"account", "priority"})
	m.jobs = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_job_seconds", Help: "Time from the acceptance of a job to its end, by client account, priority and final state.",
		Buckets: []float64{1, 3, 10, 30, 100, 300, 1000, 3600, 14400, 86400},
	}, []string{"account", "priority", "state"})
	m.registry.MustRegister(m.answers, m.waits, m.jobs, newEvents())
	return m
}

// Handler serves the figures.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}

// account returns the label of a client account.
func (m *Meter) account(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[name] {
		if len(m.accounts) >= maxAccounts {
			return rest
		}
		m.accounts[name] = true
	}
	return name
}

// ObserveAnswer notes the answer to a caller.
func (m *Meter) ObserveAnswer(call string, code rosemarysill.Code, took time.Duration) {
	if m != nil {
		m.answers.WithLabelValues(call, code.String()).Observe(took.Seconds())
	}
}

// ObserveStart notes the first start of a job.
func (m *Meter) ObserveStart(account string, priority int, waited time.Duration) {
	if m != nil {
		m.waits.WithLabelValues(m.account(account), strconv.Itoa(priority)).Observe(waited.Seconds())
	}
}

// ObserveEnd notes the end of a job.
func (m *Meter) ObserveEnd(account string, priority int, state string, took time.Duration) {
	if m != nil {
		m.jobs.WithLabelValues(m.account(account), strconv.Itoa(priority), state).Observe(took.Seconds())
	}
}

// events counts log events, whether their lines were written or dropped.
type events struct{ total, dropped *prometheus.Desc }

func newEvents() *events {
	return &events{
		prometheus.NewDesc("rosemarysill_events_total", "Log events by name; docs/EVENTS.md lists them.", []string{"event"}, nil),
		prometheus.NewDesc("rosemarysill_events_dropped_total", "Log events whose lines were dropped because there were too many.", []string{"event"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (e *events) Describe(c chan<- *prometheus.Desc) {
	c <- e.total
	c <- e.dropped
}

// Collect implements prometheus.Collector.
func (e *events) Collect(c chan<- prometheus.Metric) {
	for name, n := range event.Counts() {
		c <- prometheus.MustNewConstMetric(e.total, prometheus.CounterValue, float64(n.Logged), name)
		if n.Dropped > 0 {
			c <- prometheus.MustNewConstMetric(e.dropped, prometheus.CounterValue, float64(n.Dropped), name)
		}
	}
}
