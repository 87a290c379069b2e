package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/stretchr/testify/require"
)

const goodID = "01890000-0000-7000-8000-000000000001"

// ask serves one request without a network and returns the answer's head.
func ask(t testing.TB, service rosemarysill.CallerService, method, path, id string, body io.Reader) (message.Reply, int) {
	r := httptest.NewRequest(method, path, body)
	if id != "" {
		r.Header.Set(message.IDHeader, id)
	}
	w := httptest.NewRecorder()
	NewHandler(service, message.DefaultLimits()).ServeHTTP(w, r)
	var reply message.Reply
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
	return reply, w.Code
}

// TestFaultsAreReportedAtOnce guards against requests that reach the service
// with a fault, and against callers that learn of one fault at a time.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	cases := map[string]struct{ method, path, header, body, want string }{
		"call, all wrong": {"POST", "/v1/calls", "", `{"ID":"00000000-0000-4000-8000-000000000000","Class":"urgent","RemainingMS":-1,"Body":5,"Idempotent":true,"Resent":true,"X":1}`,
			"Body: is not a string of base64; X: is not a known key; ID: is not a UUID of version 7; Account: is missing; Class: is not one of Urgent, Normal, Batch; " +
				"RemainingMS: is not between 1 and 1800000; Resent: is only for calls that are not idempotent"},
		"call, empty": {"POST", "/v1/calls", goodID, `{}`,
			"ID: is missing; Account: is missing; Class: is not one of Urgent, Normal, Batch; RemainingMS: is not between 1 and 1800000"},
		"call, not JSON":  {"POST", "/v1/calls", goodID, `x`, "the message is not one JSON value: invalid character 'x' looking for beginning of value"},
		"call, account":   {"POST", "/v1/calls", "", `{"ID":"` + goodID + `","Account":"a/b","Class":"Batch","RemainingMS":1}`, "Account: has a control character or a slash"},
		"call, other ID":  {"POST", "/v1/calls", "01890000-0000-7000-8000-000000000002", `{"ID":"` + goodID + `","Account":"a","Class":"Batch","RemainingMS":1}`, "Rosemarysill-ID: differs from ID"},
		"call, body size": {"POST", "/v1/calls", "", `{"ID":"` + goodID + `","Account":"a","Class":"Batch","RemainingMS":1,"Body":"` + strings.Repeat("AAAA", 350_000) + `"}`, "Body: exceeds 1048576 bytes"},
		"job, numbers": {"POST", "/v1/jobs", "", `{"ID":"` + goodID + `","Account":"a","Class":"Batch","Shape":{"Members":0,"Accelerators":-1,"Processors":1e9,"MemoryMB":9999999},"DeclaredSeconds":-5}`,
			"Shape.Processors: is not a whole number in range; Shape.Members: is 0, not between 1 and 4096; Shape.Accelerators: is -1, not between 0 and 1048576; " +
				"Shape.MemoryMB: is 9999999, not between 0 and 1048576; DeclaredSeconds: is -5, not between 0 and 31622400"},
		"job, no shape": {"POST", "/v1/jobs", "", `{"ID":"` + goodID + `","Account":"a","Class":"Batch","Shape":7}`, "Shape: is not an object"},
		"job, path":     {"GET", "/v1/jobs/7", "", ``, "id: is not a UUID"},
		"cancel, body":  {"POST", "/v1/jobs/" + goodID + "/cancel", "", `{}`, "the request has a body"},
		"no such path":  {"GET", "/v2/jobs", goodID, ``, "no such path or method: GET /v2/jobs"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reply, status := ask(t, nil, c.method, c.path, c.header, strings.NewReader(c.body)) // a service that is used panics
			require.Equal(t, c.want, reply.Faults.String())
			require.Equal(t, message.NewReply(reply.ID, rosemarysill.InvalidRequest, c.want).Detail, reply.Detail)
			require.Equal(t, rosemarysill.InvalidRequest, reply.Code)
			require.Equal(t, http.StatusUnprocessableEntity, status)
			if c.header != "" && !strings.Contains(c.want, "differs") {
				require.Equal(t, c.header, reply.ID.String())
			}
		})
	}
	reply, _ := ask(t, nil, "POST", "/v1/calls", goodID, bytes.NewReader(make([]byte, 2<<20)))
	require.Equal(t, rosemarysill.TooLarge, reply.Code)
	require.Equal(t, goodID, reply.ID.String())
}

// TestStatusTableMatchesCode guards against HTTP statuses that callers cannot
// look up.
func TestStatusTableMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/CODES.md")
	require.NoError(t, err)
	statuses := map[rosemarysill.Truth]string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\w+) \| (\d{3}) \|$`).FindAllStringSubmatch(string(page), -1) {
		statuses[rosemarysill.Truth(row[1])] = row[2]
	}
	for code := range rosemarysill.Codes() {
		require.Equal(t, statuses[code.Truth()], strconv.Itoa(message.Status(code)), code)
	}
}

// TestAnswersOfService guards against answers that lose their truth on the way.
func TestAnswersOfService(t *testing.T) {
	for code, name := range rosemarysill.Codes() {
		t.Run(name, func(t *testing.T) {
			entry, _, _ := serve(t, &fakeService{
				call: func(_ context.Context, c rosemarysill.Call) rosemarysill.Answer {
					return rosemarysill.Answer{ID: c.ID, Code: code, Detail: "why"}
				},
				err: rosemarysill.NewError(code, "why"),
			}, testLimits())
			c := NewClient([]netip.AddrPort{entry})
			defer c.Close()
			call := newCall()
			a := c.Call(t.Context(), call)
			require.Equal(t, code, a.Code)
			call.Resent = true
			if unread[code] {
				require.Equal(t, rosemarysill.OutcomeUnknown, c.Call(t.Context(), call).Code)
			}
			if _, err := c.Job(t.Context(), call.ID); code != rosemarysill.Done {
				require.Equal(t, code, rosemarysill.CodeOf(err))
			}
		})
	}
}

// TestAnswerTooLarge guards against an answer that no client accepts, which
// would be reported as unknown although the call ran.
func TestAnswerTooLarge(t *testing.T) {
	for size, want := range map[int]rosemarysill.Code{maxAnswerBytes: rosemarysill.Done, maxAnswerBytes + 1: rosemarysill.AnswerTooLarge} {
		entry, _, _ := serve(t, &fakeService{call: func(_ context.Context, c rosemarysill.Call) rosemarysill.Answer {
			return rosemarysill.Answer{ID: c.ID, Body: make([]byte, size)}
		}}, testLimits())
		c := NewClient([]netip.AddrPort{entry})
		require.Equal(t, want, c.Call(t.Context(), newCall()).Code)
		c.Close()
	}
}

// FuzzCall guards against a call that stops the process, or that reaches the
// service with fields out of bounds.
func FuzzCall(f *testing.F) {
	for _, seed := range []string{
		`{"ID":"` + goodID + `","Account":"Sfax","Class":"Urgent","RemainingMS":2400,"Body":"YQ=="}`,
		`{"ID":"` + goodID + `","Account":"Sfax","Class":"Urgent","RemainingMS":1e3}`,
		`{"ID":"` + goodID + `","ID":"` + goodID + `","Account":"\u0000","Class":"Urgent","RemainingMS":9223372036854775807}`,
		`{"ID":"` + strings.ToUpper(goodID) + `","Account":"é","Class":"Batch","Idempotent":true,"Resent":true,"RemainingMS":1}`,
		`{}`, `null`, `[]`, ``, `{"ID":{}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		served := 0
		service := &fakeService{call: func(_ context.Context, c rosemarysill.Call) rosemarysill.Answer {
			served++
			require.EqualValues(t, 7, c.ID.Version())
			require.NotEmpty(t, c.Account)
			require.Less(t, c.Class.Rank(), 3)
			require.False(t, c.Idempotent && c.Resent)
			require.LessOrEqual(t, time.Until(c.Deadline), 30*time.Minute)
			return rosemarysill.Answer{ID: c.ID}
		}}
		reply, status := ask(t, service, "POST", "/v1/calls", "", bytes.NewReader(data))
		require.Equal(t, message.Status(reply.Code), status)
		require.Equal(t, reply.Code == rosemarysill.Done, served == 1)
		require.Equal(t, reply.Code == rosemarysill.Done, len(reply.Faults) == 0)
		require.True(t, reply.Code != rosemarysill.Done || reply.ID != uuid.Nil)
	})
}
