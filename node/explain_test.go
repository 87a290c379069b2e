package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/logbook"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against failed requests whose cause the logs do not show, for the
// three kinds of docs/OPERATIONS.md.
func TestExplainFailures(t *testing.T) {
	zerolog.TimeFieldFormat = logbook.TimeFormat
	s := newSite(t, 2)
	ctx := context.Background()
	ends := func(id string, want work.State) {
		t.Helper()
		require.Eventually(t, func() bool {
			a, err := s.clients[0].State(ctx, limit, "/checks/", id)
			return err == nil && a.State == want
		}, 40*time.Second, 20*time.Millisecond)
	}

	const refused, late, failed = "00000000000000f1", "00000000000000f2", "00000000000000f3"
	c := platform.NewClient(s.entries[0].Callers, "a.example", "k9")
	defer c.Close()
	a, err := c.Submit(ctx, limit, "/checks/", refused, newJob("", oneStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, a.Status)
	require.Regexp(t, `QueueRefused .*Code=UnknownAccount Version=1 ConfigurationAge=.*Detail=unknown key`, s.logs.explain(t, refused))

	a, err = s.clients[0].Submit(ctx, limit, "/checks/", failed, newJob("for=50ms "+standin.SpecFails, oneStep(1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	ends(failed, work.Failed)
	require.Regexp(t, `(?s)QueueAccepted.*LeaderPlaced.*RunnerStart.*LeaderRunEnded.*How=failed Fails=1.*LeaderRunEnded.*How=failed Fails=2.*LeaderJobEnded.*State=failed`, s.logs.explain(t, failed))

	a, err = s.clients[0].Submit(ctx, limit, "/checks/", late, newJob("for=1s", oneStep(16)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool { return s.workers[0].Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
	s.workers[0].SetDark(true)
	ends(late, work.Completed)
	require.Regexp(t, `(?s)LeaderPlaced.*Worker=agent0.*LeaderRunEnded.*Worker=agent0.*How=lost.*LeaderPlaced.*Worker=agent1.*LeaderJobEnded.*State=completed`, s.logs.explain(t, late))
}
