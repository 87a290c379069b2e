package leader

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a worker that runs more than it has capacity for without a trace of
// what the leader knew about it (hunt-b06d-15 of fjordtork).
func TestOvercommittedWorkerIsLogged(t *testing.T) {
	const id = "a/i/1"
	var log bytes.Buffer
	term := newTerm(Config{Log: zerolog.New(&log)}, jobstore.LeaderRecord{Epoch: 7}, 1, 1, uptime.Now().Add(time.Minute))
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 3, Shape: work.Shape{Accelerators: 4}}}}
	term.jobs["j"] = &jobState{job: j, progress: work.NewProgress(j)}
	s := term.newStream()
	report := func(runs int) {
		r := control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id, Capacity: work.Shape{Accelerators: 8}}}
		for i := range runs {
			r.Running = append(r.Running, work.RunStatus{Key: work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}})
		}
		require.NoError(t, term.report(s, r))
	}
	logged := func() int { return strings.Count(log.String(), "LeaderOvercommitted") }

	report(2)
	require.Zero(t, logged())
	report(3)
	report(3)
	require.Equal(t, 1, logged(), "once while the excess lasts")
	require.Contains(t, log.String(), `"Demand":{"Accelerators":12}`)
	require.Contains(t, log.String(), `j 0.0.2/1 0% orphan`)
	report(2)
	report(3)
	require.Equal(t, 2, logged())
}
