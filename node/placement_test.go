package node_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/node"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against questions about a placement that get no answer, that another entry than
// the leader answers, or that submit the job, and against bodies and accounts that are not
// checked.
func TestExplainPlacement(t *testing.T) {
	d := newDeployment(t, 2)
	ask := func(i int, path, account string, body []byte) (explanation.Explanation, error) {
		address := netip.AddrPortFrom(loopback, d.entries[i].MetricsPort)
		return node.ExplainPlacement(context.Background(), address, node.ExplanationRequest{Host: "a.example", Path: path, Account: account, Body: body})
	}
	gang := newStep(4)
	gang.Gang = true
	body, err := platform.EncodeJob(newJob("", gang))
	require.NoError(t, err)
	noSteps, err := platform.EncodeJob(newJob(""))
	require.NoError(t, err)
	var e explanation.Explanation
	leads, others := -1, ""
	require.Eventually(t, func() bool {
		for i := range d.entries {
			answer, err := ask(i, "/checks/", "t1", body)
			switch {
			case err == nil && answer.Workers == 2:
				e, leads = answer, i
			case rosemarysill.CodeOf(err) == rosemarysill.NotAuthoritative:
				others = rosemarysill.DetailOf(err)
			}
		}
		return leads >= 0 && strings.Contains(others, d.entries[leads].Name)
	}, 20*time.Second, 100*time.Millisecond)
	require.Equal(t, explanation.Starts, e.Decision, e.Text())
	require.Equal(t, d.entries[leads].Name, e.Leader)
	require.Equal(t, "checks", e.Queue)
	require.True(t, e.Guaranteed)
	require.Len(t, e.Steps[0].Starts, 4)

	for name, c := range map[string]struct {
		path, account, body string
		want                rosemarysill.Code
	}{
		"no such queue":   {"/other/", "t1", string(body), rosemarysill.UnknownQueue},
		"no such account": {"/checks/", "t2", string(body), rosemarysill.UnknownAccount},
		"a key":           {"/checks/", "k1", string(body), rosemarysill.UnknownAccount},
		"no account":      {"/checks/", "", string(body), rosemarysill.UnknownAccount},
		"malformed":       {"/checks/", "t1", "{", rosemarysill.InvalidRequest},
		"no steps":        {"/checks/", "t1", string(noSteps), rosemarysill.InvalidRequest},
		"too large":       {"/checks/", "t1", strings.Repeat(" ", 4501), rosemarysill.TooLarge},
	} {
		_, err := ask(leads, c.path, c.account, []byte(c.body))
		require.Equal(t, c.want, rosemarysill.CodeOf(err), name)
	}
	a, err := d.clients[0].Pending(context.Background(), callTimeout, "/checks/")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Empty(t, d.store.Keys("rs/job/"), "nothing was submitted")
	require.Zero(t, d.fleet.Runs())
	a, err = d.clients[0].Submit(context.Background(), callTimeout, "/checks/", "00000000000000e1", newJob("for=100ms gang=4", gang))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Eventually(t, func() bool {
		a, err := d.clients[0].State(context.Background(), callTimeout, "/checks/", "00000000000000e1")
		return err == nil && a.State == work.Completed
	}, 30*time.Second, 20*time.Millisecond)
}
