package meter_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/meter"
)

// Guards against metrics that Prometheus cannot read, and against an unbounded
// number of account labels.
func TestMetrics(t *testing.T) {
	m := meter.New()
	m.ObserveAnswer("Submit", rosemarysill.Done, 3*time.Millisecond)
	for i := range 300 {
		m.ObserveStart(fmt.Sprintf("account%d", i), 0, time.Second)
	}
	m.ObserveEnd("account0", 0, "completed", time.Minute)
	m.ObserveCrash(200 * time.Millisecond)
	m.ObservePreemption(2, 0.2)
	m.ObserveStartLoss(1, 0.02)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	require.Contains(t, body, `rosemarysill_answer_seconds_count{call="Submit",code="Done"} 1`)
	require.Contains(t, body, `rosemarysill_start_wait_seconds_count{account="Rest",priority="0"} 172`)
	require.Contains(t, body, `rosemarysill_job_seconds_count{account="account0",priority="0",state="completed"} 1`)
	require.Contains(t, body, `rosemarysill_crash_run_age_seconds_bucket{le="0.3"} 1`)
	require.Contains(t, body, `rosemarysill_preemption_cost_bucket{priority="2",le="0.3"} 1`)
	require.Contains(t, body, `rosemarysill_start_loss_bucket{priority="1",le="0.03"} 1`)
	require.NotContains(t, body, `account="account200"`)
}

// Guards against a panic in a component that has no meter.
func TestNilMeter(t *testing.T) {
	var m *meter.Meter
	require.NotPanics(t, func() {
		m.ObserveAnswer("Submit", rosemarysill.Done, 0)
		m.ObserveStart("a", 0, 0)
		m.ObserveEnd("a", 0, "failed", 0)
		m.ObserveCrash(0)
		m.ObservePreemption(0, 0)
		m.ObserveStartLoss(0, 0)
	})
}
