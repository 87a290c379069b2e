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

// TestMalformedReplies guards against taking a malformed reply, or the reply of a
// proxy, for the result of a write. Unless the reply names an error of the store,
// the effect of the write is unknown.
func TestMalformedReplies(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		header http.Header
		want   error
	}{
		"not JSON":                    {status: 200, body: "<html>ok</html>"},
		"empty":                       {status: 200},
		"truncated body":              {status: 200, body: `{"Version":2`},
		"shorter than Content-Length": {status: 200, body: `{"Version":2}`, header: http.Header{"Content-Length": {"100"}}},
		"wrong type":                  {status: 200, body: `{"Version":"2"}`},
		"version does not increase":   {status: 200, body: `{"Version":1}`},
		"too large":                   {status: 200, body: `{"Version":2,"Padding":"` + strings.Repeat("x", 1000) + `"}`},
		"redirect":                    {status: 302, header: http.Header{"Location": {"http://127.0.0.1:1/"}}},
		"conflict of a proxy":         {status: 409, body: "conflict"},
		"conflict without error name": {status: 409, body: `{}`},
		"error of a gateway":          {status: 502, body: "bad gateway"},
		"unknown error name":          {status: 400, body: `{"Error":"Surprise"}`},
		"error of the store":          {status: 409, body: `{"Error":"Version"}`, want: rosemarysill.ErrVersion},
		"truncated error":             {status: 409, body: `{"Error":"Version"`, header: http.Header{"Content-Length": {"100"}}},
		"error with extra fields":     {status: 429, body: `{"Error":"RateLimited","Since":1}`, want: rosemarysill.ErrRateLimited},
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
			require.Equal(t, 1, calls, "the client must not repeat a write")
		})
	}
}

// TestListRejectsRepeatedPage guards against an endless list if the store returns
// the same next page again and again.
func TestListRejectsRepeatedPage(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Items":[],"Revision":1,"Next":"a"}`))
	}))
	defer srv.Close()
	c := kvstore.NewClient(netip.MustParseAddrPort(srv.Listener.Addr().String()), kvstore.Options{})
	defer c.Close()
	_, _, err := c.List(t.Context(), "p")
	require.ErrorIs(t, err, rosemarysill.ErrStoreUnavailable)
}
