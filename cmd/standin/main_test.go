package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/upstream"
	"github.com/rosemarysill/rosemarysill/worker"
	"github.com/stretchr/testify/require"
)

// TestMain runs the command instead of the tests when start has set STANDIN_MAIN.
func TestMain(m *testing.M) {
	if os.Getenv("STANDIN_MAIN") != "" {
		main()
	}
	os.Exit(m.Run())
}

// start runs the command in a process of its own until the test ends and returns
// the address that it prints.
func start(t *testing.T, args ...string) netip.AddrPort {
	t.Helper()
	cmd := exec.Command(os.Args[0], append(args, "--with-stdin")...)
	cmd.Env = append(os.Environ(), "STANDIN_MAIN=1")
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		require.NoError(t, stdin.Close())
		require.NoError(t, cmd.Wait(), "the process must exit with status 0 when its standard input is closed")
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	require.NoError(t, err)
	var started struct{ Address netip.AddrPort }
	require.NoError(t, json.Unmarshal(line, &started))
	return started.Address
}

// TestStandInsAsProcesses guards against injected faults and journals that work only
// within the process of the test.
func TestStandInsAsProcesses(t *testing.T) {
	t.Run("store", func(t *testing.T) {
		address := start(t, "--kind", "store")
		c, control := kvstore.NewClient(address, kvstore.Options{}), standin.NewControl(address)
		defer c.Close()
		_, err := c.Swap(t.Context(), "k", []byte("v"), 0, 0)
		require.NoError(t, err)
		require.NoError(t, control.SetFaults(t.Context(), standin.StoreFaults{Outage: true}))
		_, err = c.Get(t.Context(), "k")
		require.ErrorIs(t, err, rosemarysill.ErrStoreUnavailable)
		require.NoError(t, control.SetFaults(t.Context(), standin.StoreFaults{}))
		item, err := c.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "v", string(item.Value))
		counters, err := control.StoreCounters(t.Context())
		require.NoError(t, err)
		require.Equal(t, map[string]int{standin.StoreSwap: 1, standin.StoreGet: 2}, counters.Calls)
	})
	t.Run("runtime", func(t *testing.T) {
		address := start(t, "--kind", "runtime", "--name", "w1")
		c, control := worker.NewRuntime(address, worker.RuntimeOptions{}), standin.NewControl(address)
		defer c.Close()
		id := rosemarysill.RuntimeTask{Job: uuid.Must(uuid.NewV7()), Attempt: 1}
		require.NoError(t, c.Start(t.Context(), rosemarysill.TaskStart{Task: id, Body: []byte(`{"RunSeconds":3600}`), LeaseUntil: time.Now().Add(time.Hour)}))
		require.NoError(t, c.Stop(t.Context(), id))
		events, err := control.TaskEvents(t.Context())
		require.NoError(t, err)
		journal := standin.NewTaskJournal()
		journal.Add(events...)
		require.Len(t, journal.Spans(), 1)
		require.Equal(t, "w1", journal.Spans()[0].Worker)
		require.Equal(t, rosemarysill.TaskStopped, journal.Spans()[0].State)
	})
	t.Run("upstream", func(t *testing.T) {
		address := start(t, "--kind", "upstream", "--slots", "1")
		c, control := upstream.NewClient(address, upstream.ClientOptions{}), standin.NewControl(address)
		defer c.Close()
		require.NoError(t, control.SetFaults(t.Context(), standin.UpstreamFaults{Fail: true}))
		call := rosemarysill.Call{ID: uuid.Must(uuid.NewV7())}
		_, err := c.Serve(t.Context(), call)
		require.Equal(t, rosemarysill.UpstreamFailed, rosemarysill.CodeOf(err))
		runs, err := control.CallRuns(t.Context())
		require.NoError(t, err)
		require.Len(t, runs, 1)
		require.Equal(t, call.ID, runs[0].ID)
	})
}

// TestRunRejectsInvalidArguments guards against a stand-in that listens on an address
// other than loopback or starts with unknown or missing arguments.
func TestRunRejectsInvalidArguments(t *testing.T) {
	cases := map[string]struct {
		args []string
		want rosemarysill.Code
	}{
		"missing kind":                    {nil, rosemarysill.InvalidArguments},
		"unknown argument":                {[]string{"--kind", "store", "--colour", "red"}, rosemarysill.InvalidArguments},
		"host name instead of IP address": {[]string{"--kind", "store", "--listen", "localhost"}, rosemarysill.InvalidArguments},
		"address other than loopback":     {[]string{"--kind", "store", "--listen", "0.0.0.0:0"}, rosemarysill.InternalError},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, run(tc.args, nil, io.Discard, io.Discard))
		})
	}
}
