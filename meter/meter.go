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
	"github.com/rosemarysill/rosemarysill/intake"
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
	pauses      *prometheus.HistogramVec
	refused     *prometheus.CounterVec
	classes     *prometheus.GaugeVec
	restarts    prometheus.Counter

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
	m.classes = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "rosemarysill_worker_speed_classes", Help: "Workers with an estimate of their speed, by class, at the leader.",
	}, []string{"class"})
	m.restarts = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rosemarysill_speed_restarts_total", Help: "Runs that were started again on faster workers because they would have been late.",
	})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rosemarysill_not_servable_total", Help: "Submissions that could not be served under the load of the fleet, by reason.",
	}, []string{"reason"})
	m.pauses = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "rosemarysill_retry_after_seconds", Help: "Pauses that refused callers were told, by result code.",
		Buckets: []float64{1, 2, 3, 4, 6, 8, 15, 30},
	}, []string{"code"})
	m.registry.MustRegister(m.answerTimes, m.startWaits, m.jobTimes, m.crashAges, m.relayed, m.pauses, m.refused, m.classes, m.restarts, m.preemptions, m.delays, newEventCollector())
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

// CountRefused counts a submission that could not be served under the load of the fleet.
func (m *Meter) CountRefused(reason string) {
	if m != nil {
		m.refused.WithLabelValues(reason).Inc()
	}
}

// ObservePause records the pause that a refused caller was told.
func (m *Meter) ObservePause(code rosemarysill.Code, pause time.Duration) {
	if m != nil {
		m.pauses.WithLabelValues(code.String()).Observe(pause.Seconds())
	}
}

// ExportConfiguration exports the version of the configuration that is in force, 0 if
// there is none. It must be called at most once.
func (m *Meter) ExportConfiguration(version func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rosemarysill_configuration_version", Help: "Version of the configuration that is in force at this entry.",
	}, func() float64 { return float64(version()) }))
}

// ExportIntake exports the counts of the limits on client connections. It must be called
// at most once.
func (m *Meter) ExportIntake(counts func() intake.Counts) {
	if m == nil {
		return
	}
	gauge := func(name, help string, value func(intake.Counts) int64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value(counts())) }))
	}
	counter := func(name, help string, value func(intake.Counts) int64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(counts())) }))
	}
	gauge("rosemarysill_connections", "Open connections of clients and other processes.", func(c intake.Counts) int64 { return c.Open })
	gauge("rosemarysill_body_bytes", "Memory of request bodies and of incomplete messages.", func(c intake.Counts) int64 { return c.Held })
	counter("rosemarysill_connections_replaced_total", "Connections that were closed for new ones at the limit.", func(c intake.Counts) int64 { return c.Replaced })
	counter("rosemarysill_connections_rejected_total", "New connections that were closed at the limit.", func(c intake.Counts) int64 { return c.Rejected })
	counter("rosemarysill_bodies_dropped_total", "Bodies and messages that were dropped because the memory for them was used up.", func(c intake.Counts) int64 { return c.Dropped })
	counter("rosemarysill_bodies_late_total", "Bodies that did not arrive in time.", func(c intake.Counts) int64 { return c.Late })
	counter("rosemarysill_requests_refused_total", "Requests that were refused because too many were in progress.", func(c intake.Counts) int64 { return c.Busy })
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

// SetSpeedClasses exports the numbers of workers by the class of their speed, which are
// those of the leader. An entry that does not lead has none.
func (m *Meter) SetSpeedClasses(workers map[string]int) {
	if m == nil {
		return
	}
	m.classes.Reset()
	for class, n := range workers {
		m.classes.WithLabelValues(class).Set(float64(n))
	}
}

// CountSpeedRestart counts a run, or a gang, that is started again on faster workers.
func (m *Meter) CountSpeedRestart() {
	if m != nil {
		m.restarts.Inc()
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
