package standin_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/stretchr/testify/require"
)

// TestMalformedRequests guards against a stand-in that ends, or takes an
// effect, on a request that it does not understand.
func TestMalformedRequests(t *testing.T) {
	store := standin.NewStore(standin.StoreOptions{MaxValueBytes: 100})
	runtime := standin.NewRuntime(standin.RuntimeOptions{MaxBodyBytes: 100})
	upstream := standin.NewUpstream(standin.UpstreamOptions{MaxBodyBytes: 100})
	large := strings.Repeat("x", 1<<20)
	cases := map[string]struct {
		handler            http.Handler
		method, path, body string
		want               int
	}{
		"swap, not JSON":          {store, "POST", "/v1/swap", "{", http.StatusBadRequest},
		"swap without key":        {store, "POST", "/v1/swap", "{}", http.StatusBadRequest},
		"swap, body too large":    {store, "POST", "/v1/swap", `{"Key":"` + large + `"}`, http.StatusRequestEntityTooLarge},
		"watch without position":  {store, "GET", "/v1/watch?prefix=a", "", http.StatusBadRequest},
		"watch, negative wait":    {store, "GET", "/v1/watch?prefix=a&after=0&wait=-5", "", http.StatusOK},
		"grant without time":      {store, "POST", "/v1/grant", "{}", http.StatusBadRequest},
		"unknown call of a store": {store, "PUT", "/v1/swap", "{}", http.StatusNotFound},
		"faults, wrong type":      {store, "POST", "/control/faults", `{"Outage":1}`, http.StatusBadRequest},
		"start, not JSON":         {runtime, "POST", "/v1/start", "[", http.StatusBadRequest},
		"start without lease":     {runtime, "POST", "/v1/start", "{}", http.StatusConflict},
		"start, body too large":   {runtime, "POST", "/v1/start", `{"Padding":"` + large + `"}`, http.StatusBadRequest},
		"extend of nothing":       {runtime, "POST", "/v1/extend", "{}", http.StatusNotFound},
		"share is no number":      {runtime, "POST", "/v1/throttle", `{"Share":"NaN"}`, http.StatusBadRequest},
		"call without identifier": {upstream, "POST", "/v1/call", "{}", http.StatusBadRequest},
		"unknown call":            {upstream, "GET", "/v1/call", "", http.StatusNotFound},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			tc.handler.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
			require.Equal(t, tc.want, w.Code, w.Body)
			require.Zero(t, store.Revision())
			require.Empty(t, runtime.Journal().Spans())
			runs, _ := upstream.Journal().Runs()
			require.Empty(t, runs)
		})
	}
}

// TestLargestValue guards against a limit on the way that is lower than the
// platform's 1 MB, and against a store that takes more.
func TestLargestValue(t *testing.T) {
	store := standin.NewStore(standin.StoreOptions{})
	srv, err := standin.Serve(netip.AddrPort{}, store)
	require.NoError(t, err)
	c := kvstore.NewClient(srv.Address(), kvstore.Options{MaxValueBytes: 2_000_000, CallTimeout: time.Minute})
	defer func() {
		c.Close()
		srv.Stop()
		<-srv.Done()
	}()
	_, err = c.Swap(t.Context(), "k", make([]byte, 1_000_000), 0, 0)
	require.NoError(t, err)
	it, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, it.Value, 1_000_000)
	_, err = c.Swap(t.Context(), "l", make([]byte, 1_000_001), 0, 0)
	require.Equal(t, rosemarysill.TooLarge, rosemarysill.CodeOf(err))
	require.EqualValues(t, 1, store.Revision())
}
