package node_test

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
)

const addedPrefix = "/added/"

// addedQueue is in the second version of the configuration only.
var addedQueue = queue.Queue{Name: "added", Host: "a.example", Prefix: addedPrefix, Service: "svc", MaxAttempts: 2, MaxSlowdown: 3, Objective: time.Second}

// poll sends a request every few milliseconds for the duration and returns the numbers
// of answers by status.
func poll(t *testing.T, d time.Duration, send func() (platform.Answer, error)) map[int]int {
	statuses := make(map[int]int)
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		a, err := send()
		require.NoError(t, err)
		statuses[a.Status]++
	}
	return statuses
}

// Guards against an entry that refuses requests for a queue that it has served before,
// because another entry with an older configuration decides them.
func TestConfigurationDoesNotGoBack(t *testing.T) {
	for name, send := range map[string]func(*platform.Client) func() (platform.Answer, error){
		"forwarded at once":                pending,
		"forwarded after a failed attempt": state,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 0)
			d.waitForPeers(t)
			d.store.SetFault("entry1", standin.Refusing)
			d.configure(t, 2, "k1", addedQueue)
			ask := pending(d.clients[0])
			require.Eventually(t, func() bool {
				a, err := ask()
				return err == nil && a.Status == http.StatusOK
			}, 2*time.Second, 5*time.Millisecond)
			d.store.SetFault("entry0", standin.Refusing)
			statuses := poll(t, 3500*time.Millisecond, send(d.clients[0]))
			require.NotContains(t, statuses, http.StatusNotFound, "the queue was served before")
			require.Contains(t, statuses, http.StatusServiceUnavailable, "both entries are cut off")
			require.Positive(t, d.logs.count("entry0", "QueueRelayed"), "no request met the case")
		})
	}
}

func pending(c *platform.Client) func() (platform.Answer, error) {
	return func() (platform.Answer, error) {
		return c.Pending(context.Background(), callTimeout, addedPrefix)
	}
}

func state(c *platform.Client) func() (platform.Answer, error) {
	return func() (platform.Answer, error) {
		return c.State(context.Background(), callTimeout, addedPrefix, "00000000000000f1")
	}
}

// Guards against an entry in contact with the store that takes itself for cut off after a
// change, and lets another entry decide its requests.
func TestEntryInContactAnswersItself(t *testing.T) {
	d := newDeployment(t, 0)
	d.waitForPeers(t)
	ask := func() (platform.Answer, error) {
		return d.clients[0].Pending(context.Background(), callTimeout, "/checks/")
	}
	total := 0
	for version := int64(2); version < 6; version++ {
		d.configure(t, version, "k1")
		statuses := poll(t, 1900*time.Millisecond, ask)
		require.Equal(t, []int{http.StatusOK}, slices.Collect(maps.Keys(statuses)))
		total += statuses[http.StatusOK]
	}
	require.Zero(t, d.logs.count("entry0", "QueueRelayed"), "of %d requests, all of them at an entry in contact with the store", total)
}

// Guards against a question about a queue that is taken for one about a job, or the other
// way round, because the entry that forwards it has an older configuration than the one
// that answers it.
func TestOneConfigurationDecidesQuestion(t *testing.T) {
	nested := addedQueue
	nested.Prefix = "/checks" + addedPrefix
	for name, tc := range map[string]struct {
		before, after []queue.Queue
		want          int
	}{
		"queue added":   {nil, []queue.Queue{nested}, http.StatusOK},
		"queue removed": {[]queue.Queue{nested}, nil, http.StatusGone},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 0)
			d.waitForPeers(t)
			ask := func() (platform.Answer, error) {
				return d.clients[0].Pending(context.Background(), callTimeout, nested.Prefix)
			}
			d.configure(t, 2, "k1", tc.before...)
			require.Eventually(t, func() bool { return d.logs.count("entry0", "QueueConfigured", `"Version":2`) > 0 }, 2*time.Second, time.Millisecond)
			d.store.SetFault("entry0", standin.Refusing)
			d.configure(t, 3, "k1", tc.after...)
			require.Eventually(t, func() bool { return d.logs.count("entry1", "QueueConfigured", `"Version":3`) > 0 }, 2*time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				_, err := ask()
				return err == nil && d.logs.count("entry0", "QueueRelayed", `"OwnVersion":2,"Version":3`) > 0
			}, 5*time.Second, 5*time.Millisecond, "no request met the case")
			a, err := ask()
			require.NoError(t, err)
			require.Equal(t, tc.want, a.Status)
		})
	}
}
