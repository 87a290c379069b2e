package kvstore_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/stretchr/testify/require"
)

// TestMalformedAnswers guards against an answer that is not the store's own and
// passes for a result: everything but a refusal that the store has named leaves
// the effect of a write open.
func TestMalformedAnswers(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		header http.Header
		want   error
	}{
		"not JSON":                  {status: 200, body: "<html>ok</html>"},
		"empty":                     {status: 200},
		"cut off":                   {status: 200, body: `{"Version":2`},
		"shorter than announced":    {status: 200, body: `{"Version":2}`, header: http.Header{"Content-Length": {"100"}}},
		"wrong type":                {status: 200, body: `{"Version":"2"}`},
		"version does not rise":     {status: 200, body: `{"Version":1}`},
		"too large":                 {status: 200, body: `{"Version":2,"Padding":"` + strings.Repeat("x", 1000) + `"}`},
		"redirect":                  {status: 302, header: http.Header{"Location": {"http://127.0.0.1:1/"}}},
		"conflict from elsewhere":   {status: 409, body: "conflict"},
		"conflict without a name":   {status: 409, body: `{}`},
		"gateway's error":           {status: 502, body: "bad gateway"},
		"unknown refusal":           {status: 400, body: `{"Error":"Surprise"}`},
		"the store's own refusal":   {status: 409, body: `{"Error":"Version"}`, want: rosemarysill.ErrVersion},
		"refusal that is cut off":   {status: 409, body: `{"Error":"Version"`, header: http.Header{"Content-Length": {"100"}}},
		"refusal with extra fields": {status: 429, body: `{"Error":"RateLimited","Since":1}`, want: rosemarysill.ErrRateLimited},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				for key, values := range tc.header {
					w.Header()[key] = values
				}
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer srv.Close()
			c := kvstore.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), kvstore.Options{MaxReplyBytes: 500})
			defer c.Close()
			_, err := c.Swap(t.Context(), "k", []byte("v"), 1, 0)
			if tc.want == nil {
				tc.want = rosemarysill.ErrStoreUnavailable
			}
			require.ErrorIs(t, err, tc.want)
			require.Equal(t, 1, calls, "a write is sent once")
		})
	}
}

// TestListRefusesLoops guards against a list that never ends because its pages
// do not advance.
func TestListRefusesLoops(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Items":[],"Revision":1,"Next":"a"}`))
	}))
	defer srv.Close()
	c := kvstore.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), kvstore.Options{})
	defer c.Close()
	_, _, err := c.List(t.Context(), "p")
	require.ErrorIs(t, err, rosemarysill.ErrStoreUnavailable)
}
