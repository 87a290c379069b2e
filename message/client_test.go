package message

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// TestClientTrustsOnlyWholeAnswers guards against a truncated, mixed up or
// foreign answer that is taken for the answer to the request.
func TestClientTrustsOnlyWholeAnswers(t *testing.T) {
	good := httptest.NewRecorder()
	require.NoError(t, Write(good, rosemarysill.Done, NewReply(number(1), rosemarysill.Done, ""), time.Time{}))
	whole := good.Body.String()
	head := func(length int, hash string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %d\r\n%s: %s\r\n\r\n", length, LengthHeader, length, HashHeader, hash)
	}
	hash := good.Header().Get(HashHeader)
	cases := map[string]struct {
		answer string
		want   rosemarysill.Code
	}{
		"whole":              {head(len(whole), hash) + whole, rosemarysill.Done},
		"truncated":          {head(len(whole), hash) + whole[:len(whole)-9], rosemarysill.OutcomeUnknown},
		"shorter than said":  {strings.Replace(head(len(whole), hash), LengthHeader+": ", LengthHeader+": 9", 1) + whole, rosemarysill.OutcomeUnknown},
		"changed on the way": {head(len(whole), hash) + strings.Replace(whole, `"Detail":""`, `"Detail" :`, 1), rosemarysill.OutcomeUnknown},
		"without headers":    {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole), rosemarysill.OutcomeUnknown},
		"other status":       {strings.Replace(head(len(whole), hash), "200", "503", 1) + whole, rosemarysill.OutcomeUnknown},
		"no content":         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", rosemarysill.OutcomeUnknown},
		"redirect":           {"HTTP/1.1 307 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", rosemarysill.OutcomeUnknown},
		"proxy's page":       {"HTTP/1.1 502 X\r\nContent-Length: 2\r\n\r\n{}", rosemarysill.OutcomeUnknown},
		"connection closed":  {"", rosemarysill.OutcomeUnknown},
		"never ends":         {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2<<20), rosemarysill.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, c.answer)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			client := NewClient(1 << 20)
			defer client.Close()
			require.Equal(t, c.want, sendTo(client, server.Listener.Addr().String(), 1))
			if c.want == rosemarysill.Done {
				require.Equal(t, rosemarysill.OutcomeUnknown, sendTo(client, server.Listener.Addr().String(), 2), "the answer to another request")
			}
		})
	}
	gone := httptest.NewServer(nil)
	gone.Close()
	require.Equal(t, rosemarysill.Unreachable, sendTo(NewClient(1), gone.Listener.Addr().String(), 1))
}

// sendTo sends request n to a real socket.
func sendTo(c *Client, address string, n int) rosemarysill.Code {
	var r Reply
	err := c.Send(context.Background(), netip.MustParseAddrPort(address), number(n), post, &r)
	return rosemarysill.CodeOf(err)
}

// TestTryEach guards against a second sending of what may have run, and against
// "not run" after an answer that left the outcome open.
func TestTryEach(t *testing.T) {
	entries := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	type codes []rosemarysill.Code
	cases := map[string]struct {
		idempotent bool
		answers    codes
		want       rosemarysill.Code
		tried      int
	}{
		"first one":                        {false, codes{rosemarysill.Done}, rosemarysill.Done, 1},
		"unreachable":                      {false, codes{rosemarysill.Unreachable, rosemarysill.ShuttingDown, rosemarysill.Done}, rosemarysill.Done, 3},
		"none serves":                      {false, codes{rosemarysill.Unreachable, rosemarysill.NoUpstream, rosemarysill.NotAuthoritative}, rosemarysill.NotAuthoritative, 3},
		"refused for good":                 {true, codes{rosemarysill.InvalidRequest}, rosemarysill.InvalidRequest, 1},
		"overloaded":                       {true, codes{rosemarysill.Overloaded}, rosemarysill.Overloaded, 1},
		"no store":                         {false, codes{rosemarysill.StoreUnavailable}, rosemarysill.StoreUnavailable, 1},
		"no store, idempotent":             {true, codes{rosemarysill.StoreUnavailable, rosemarysill.Done}, rosemarysill.Done, 2},
		"it failed":                        {true, codes{rosemarysill.UpstreamFailed}, rosemarysill.UpstreamFailed, 1},
		"lost":                             {false, codes{rosemarysill.OutcomeUnknown}, rosemarysill.OutcomeUnknown, 1},
		"lost, idempotent":                 {true, codes{rosemarysill.OutcomeUnknown, rosemarysill.Done}, rosemarysill.Done, 2},
		"lost, idempotent, then refused":   {true, codes{rosemarysill.OutcomeUnknown, rosemarysill.Unreachable, rosemarysill.NoUpstream}, rosemarysill.OutcomeUnknown, 3},
		"lost, idempotent, then for good":  {true, codes{rosemarysill.OutcomeUnknown, rosemarysill.QueueFull}, rosemarysill.OutcomeUnknown, 2},
		"identifier expired is never sent": {true, codes{rosemarysill.IdentifierExpired}, rosemarysill.IdentifierExpired, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tried := 0
			err := TryEach(context.Background(), entries, c.idempotent, func(netip.AddrPort) error {
				tried++
				if code := c.answers[tried-1]; code != rosemarysill.Done {
					return rosemarysill.NewError(code, "x")
				}
				return nil
			})
			require.Equal(t, c.want, rosemarysill.CodeOf(err))
			require.Equal(t, c.tried, tried)
		})
	}
	require.Equal(t, rosemarysill.Unreachable, rosemarysill.CodeOf(TryEach(context.Background(), nil, true, nil)))
}
