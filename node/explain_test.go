package node_test

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/logbook"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against failed requests whose cause cannot be found in the logs, for the
// three kinds of failure in docs/OPERATIONS.md. The order of the lines is required
// within each process only: the leader may place a job before the entry that accepted
// it logs so, and a caller may see a state before the leader logs it.
func TestExplainFailures(t *testing.T) {
	zerolog.TimeFieldFormat = logbook.TimeFormat
	d := newDeployment(t, 2)
	ctx := context.Background()
	waitForState := func(id string, want work.State) {
		t.Helper()
		require.Eventually(t, func() bool {
			a, err := d.clients[0].State(ctx, callTimeout, "/checks/", id)
			return err == nil && a.State == want
		}, 40*time.Second, 20*time.Millisecond)
	}

	// awaitHistory waits until the history of a job has all lines of the leader, in that
	// order, and of other processes.
	awaitHistory := func(id, ofLeader string, ofOthers ...string) {
		t.Helper()
		require.Eventually(t, func() bool {
			var leader []string
			text := d.logs.explain(t, id)
			for line := range strings.Lines(text) {
				if strings.Contains(line, " Leader") {
					leader = append(leader, line)
				}
			}
			for _, name := range ofOthers {
				if !strings.Contains(text, name) {
					return false
				}
			}
			return regexp.MustCompile("(?s)" + ofLeader).MatchString(strings.Join(leader, ""))
		}, 20*time.Second, 20*time.Millisecond, "history of %s", id)
	}

	const refused, lost, failed = "00000000000000f1", "00000000000000f2", "00000000000000f3"
	c := platform.NewClient(d.entries[0].Callers, "a.example", "k9")
	defer c.Close()
	a, err := c.Submit(ctx, callTimeout, "/checks/", refused, newJob("", newStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, a.Status)
	require.Regexp(t, `QueueRefused .*Code=UnknownAccount Version=1 ConfigurationAge=.*Detail=unknown key`, d.logs.explain(t, refused))

	a, err = d.clients[0].Submit(ctx, callTimeout, "/checks/", failed, newJob("for=50ms "+standin.SpecFails, newStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	waitForState(failed, work.Failed)
	awaitHistory(failed, `LeaderPlaced.*LeaderRunEnded.*How=failed Fails=1.*LeaderPlaced.*LeaderRunEnded.*How=failed Fails=2.*LeaderJobEnded.*State=failed`, "QueueAccepted", "RunnerStart")

	a, err = d.clients[0].Submit(ctx, callTimeout, "/checks/", lost, newJob("for=1s", newStep(16)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return d.workers[0].Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
	d.workers[0].SetDark(true)
	waitForState(lost, work.Completed)
	awaitHistory(lost, `LeaderPlaced.*Worker=agent0.*LeaderRunEnded.*Worker=agent0.*How=lost.*LeaderPlaced.*Worker=agent1.*LeaderJobEnded.*State=completed`, "QueueAccepted")
}
