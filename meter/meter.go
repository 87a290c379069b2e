// Package meter provides the Prometheus metrics of entries and agents for jobs
// made of steps.
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
	// maxAccounts bounds the number of client accounts with a label of their own;
	// the others share one. It is above the 91 accounts of the target size.
	maxAccounts = 128
	// otherAccounts is the label that all other accounts share.
	otherAccounts = "Rest"
)

// Meter holds the metrics of one process. A nil Meter records nothing.
type Meter struct {
	registry    *prometheus.Registry
	answerTimes *prometheus.HistogramVec
	startWaits  *prometheus.HistogramVec
	jobTimes    *prometheus.HistogramVec
	crashAges   prometheus.Histogram
	preemptions *prometheus.HistogramVec
	delays      *prometheus.HistogramVec
	relayed     *prometheus.CounterVec

	mu       sync.Mutex
	accounts map[string]bool // that have a label of their own
}

// New returns a meter.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry(), accounts: make(map[string]bool)}
	m.answerTimes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_answer_seconds", Help: "Time from a caller's request to its answer, by call and result code.",
		Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5},
	}, []string{"call", "code"})
	m.startWaits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_start_wait_seconds", Help: "Time from the acceptance of a job to its first start, by client account and priority.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2.4, 5, 15, 60, 300, 1800},
	}, []string{"account", "priority"})
	m.jobTimes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_job_seconds", Help: "Time from the acceptance of a job to its end, by client account, priority and final state.",
		Buckets: []float64{1, 3, 10, 30, 100, 300, 1000, 3600, 14400, 86400},
	}, []string{"account", "priority", "state"})
	m.crashAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "rosemarysill_crash_run_age_seconds", Help: "Age of the runs that were on a worker when it crashed.",
		Buckets: []float64{0.1, 0.3, 1, 3, 10, 30, 100, 300, 1000, 3600},
	})
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rosemarysill_relayed_total", Help: "Calls forwarded to another entry, by the reason and the result code of the other entry.",
	}, []string{"reason", "code"})
	m.preemptions = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_preemption_cost", Help: "Cost of the runs that were stopped for others, by their priority; docs/design/delay.md has the unit.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
	}, []string{"priority"})
	m.delays = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_start_loss", Help: "Value that a job is expected to lose by the time of its first start, by priority; docs/design/delay.md has the unit.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
	}, []string{"priority"})
	m.registry.MustRegister(m.answerTimes, m.startWaits, m.jobTimes, m.crashAges, m.preemptions, m.delays, m.relayed, newEventCollector())
	return m
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}

// accountLabel returns the label value for a client account.
func (m *Meter) accountLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[name] {
		if len(m.accounts) >= maxAccounts {
			return otherAccounts
		}
		m.accounts[name] = true
	}
	return name
}

// ObserveAnswer records the answer to a caller.
func (m *Meter) ObserveAnswer(call string, code rosemarysill.Code, took time.Duration) {
	if m != nil {
		m.answerTimes.WithLabelValues(call, code.String()).Observe(took.Seconds())
	}
}

// CountRelayed counts a call that was forwarded to another entry for a reason, with the
// code of the answer.
func (m *Meter) CountRelayed(reason string, code rosemarysill.Code) {
	if m != nil {
		m.relayed.WithLabelValues(reason, code.String()).Inc()
	}
}

// ExportConfiguration exports the version of the configuration that is in force, 0 if
// there is none. It must be called at most once.
func (m *Meter) ExportConfiguration(version func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rosemarysill_configuration_version", Help: "Version of the configuration that is in force at this entry.",
	}, func() float64 { return float64(version()) }))
}

// ObserveStart records the first start of a job.
func (m *Meter) ObserveStart(account string, priority int, waited time.Duration) {
	if m != nil {
		m.startWaits.WithLabelValues(m.accountLabel(account), strconv.Itoa(priority)).Observe(waited.Seconds())
	}
}

// ObserveEnd records the end of a job.
func (m *Meter) ObserveEnd(account string, priority int, state string, took time.Duration) {
	if m != nil {
		m.jobTimes.WithLabelValues(m.accountLabel(account), strconv.Itoa(priority), state).Observe(took.Seconds())
	}
}

// ObserveCrash records a run that was on a worker when it crashed.
func (m *Meter) ObserveCrash(age time.Duration) {
	if m != nil {
		m.crashAges.Observe(age.Seconds())
	}
}

// ObservePreemption records the stop of a run of a priority for another job.
func (m *Meter) ObservePreemption(priority int, cost float64) {
	if m != nil {
		m.preemptions.WithLabelValues(strconv.Itoa(priority)).Observe(cost)
	}
}

// ObserveStartLoss records the value that a job is expected to lose when it first starts.
func (m *Meter) ObserveStartLoss(priority int, loss float64) {
	if m != nil {
		m.delays.WithLabelValues(strconv.Itoa(priority)).Observe(loss)
	}
}

// eventCollector exports the number of log events, written or dropped, and the
// number of those whose lines were dropped.
type eventCollector struct{ total, dropped *prometheus.Desc }

func newEventCollector() *eventCollector {
	return &eventCollector{
		prometheus.NewDesc("rosemarysill_events_total", "Log events by name; docs/EVENTS.md lists them.", []string{"event"}, nil),
		prometheus.NewDesc("rosemarysill_events_dropped_total", "Log events whose lines were dropped because there were too many.", []string{"event"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (e *eventCollector) Describe(c chan<- *prometheus.Desc) {
	c <- e.total
	c <- e.dropped
}

// Collect implements prometheus.Collector.
func (e *eventCollector) Collect(c chan<- prometheus.Metric) {
	for name, n := range event.Counts() {
		c <- prometheus.MustNewConstMetric(e.total, prometheus.CounterValue, float64(n.Logged), name)
		if n.Dropped > 0 {
			c <- prometheus.MustNewConstMetric(e.dropped, prometheus.CounterValue, float64(n.Dropped), name)
		}
	}
}
