package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/stretchr/testify/require"
)

// fakeService answers with what the test sets and keeps the last intent.
type fakeService struct {
	intent       rosemarysill.Intent
	plan         rosemarysill.Plan
	confirmation rosemarysill.Confirmation
	status       rosemarysill.Status
	err          error
}

func (f *fakeService) Plan(_ context.Context, in rosemarysill.Intent) (rosemarysill.Plan, error) {
	f.intent = in
	return f.plan, f.err
}

func (f *fakeService) LookUp(context.Context, uuid.UUID) (rosemarysill.Plan, error) {
	return f.plan, f.err
}

func (f *fakeService) Confirm(context.Context, uuid.UUID) (rosemarysill.Confirmation, error) {
	return f.confirmation, f.err
}

func (f *fakeService) Status(context.Context) (rosemarysill.Status, error) { return f.status, f.err }

func serve(t *testing.T, service rosemarysill.OperatorService) netip.AddrPort {
	limits := message.DefaultLimits()
	limits.LingerFor = time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s := message.NewServer(NewHandler(service, limits), limits)
	go func() { _ = s.Run(ctx, l) }()
	t.Cleanup(func() { stop(); <-s.Done() })
	return netip.MustParseAddrPort(l.Addr().String())
}

var planID = uuid.MustParse("01890000-0000-7000-8000-000000000001")

// TestRequestsReachServiceWhole guards against fields lost between operators and
// the service.
func TestRequestsReachServiceWhole(t *testing.T) {
	shape := rosemarysill.Shape{Members: 8, Accelerators: 1, Processors: 4, MemoryMB: 100, Adjacent: true}
	intent := rosemarysill.Intent{
		Kind: rosemarysill.Declare, Accounts: []rosemarysill.Account{{Name: "Bergen", Guarantees: []rosemarysill.Guarantee{{Shape: shape, Count: 2}}, QuotaAccelerators: 16}},
		Domains: []rosemarysill.Domain{{Name: "Ålesund", Region: "West", Out: true}},
	}
	f := &fakeService{
		plan:         rosemarysill.Plan{ID: planID, Intent: intent, BaseRevision: 7, Effects: []rosemarysill.PlanEffect{{Verb: "Move", Subject: "job", Detail: "d"}}, Expires: time.Unix(1e9, 0).UTC()},
		confirmation: rosemarysill.Confirmation{Plan: planID, Revision: 8},
		status: rosemarysill.Status{
			Entry: rosemarysill.Member{ID: planID, Address: netip.MustParseAddrPort("[::1]:1"), State: rosemarysill.Established}, Epoch: 3,
			Jobs: map[rosemarysill.JobState]int{rosemarysill.JobRunning: 2}, Workers: []rosemarysill.WorkerState{{Usable: true}},
		},
	}
	c := NewClient([]netip.AddrPort{serve(t, f)})
	defer c.Close()
	plan, err := c.Plan(t.Context(), intent)
	require.NoError(t, err)
	require.Equal(t, f.plan, plan)
	require.Equal(t, intent, f.intent)
	plan, err = c.LookUp(t.Context(), planID)
	require.NoError(t, err)
	require.Equal(t, f.plan, plan)
	confirmation, err := c.Confirm(t.Context(), planID)
	require.NoError(t, err)
	require.Equal(t, f.confirmation, confirmation)
	status, err := c.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, f.status, status)
}

// TestRefusedConfirmation guards against operators who are not told what changed
// since their plan, and against a plan that seems to be in force.
func TestRefusedConfirmation(t *testing.T) {
	changes := []string{"Tunis was taken out"}
	cases := map[string]struct {
		confirmation rosemarysill.Confirmation
		err          error
		want         rosemarysill.Code
		changes      []string
	}{
		"as confirmation":    {rosemarysill.Confirmation{Plan: planID, Code: rosemarysill.PlanOutdated, Changes: changes}, nil, rosemarysill.PlanOutdated, changes},
		"as error":           {rosemarysill.Confirmation{}, rosemarysill.NewError(rosemarysill.PlanExpired, "x"), rosemarysill.PlanExpired, nil},
		"as both":            {rosemarysill.Confirmation{Plan: planID, Changes: changes}, rosemarysill.NewError(rosemarysill.PlanOutdated, "x"), rosemarysill.PlanOutdated, changes},
		"outcome not known":  {rosemarysill.Confirmation{}, io.ErrUnexpectedEOF, rosemarysill.OutcomeUnknown, nil},
		"about another plan": {rosemarysill.Confirmation{Plan: uuid.Max}, nil, rosemarysill.OutcomeUnknown, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewClient([]netip.AddrPort{serve(t, &fakeService{confirmation: c.confirmation, err: c.err})})
			defer client.Close()
			got, err := client.Confirm(t.Context(), planID)
			if err != nil {
				got.Code = rosemarysill.CodeOf(err)
			}
			require.Equal(t, c.want, got.Code)
			require.Equal(t, c.changes, got.Changes)
		})
	}
}

func ask(service rosemarysill.OperatorService, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	NewHandler(service, message.DefaultLimits()).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// TestFaultsAreReportedAtOnce guards against requests that reach the service
// with a fault.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	cases := map[string]struct{ method, path, body, want string }{
		"intent": {"POST", "/v1/plans", `{"Kind":"Erase","QuotaAccelerators":-1,"Guarantees":[{"Shape":{"Members":0,"MemoryMB":-1},"Count":0}],"Y":2}`,
			"Y: is not a known key; Kind: is not a known kind of intent; Target: is missing; QuotaAccelerators: is -1, not between 0 and 1048576; " +
				"Guarantees[0].Count: is 0, not between 1 and 1048576; Guarantees[0].Shape.Members: is 0, not between 1 and 1048576; " +
				"Guarantees[0].Shape.MemoryMB: is -1, not between 0 and 1073741824"},
		"declaration": {"POST", "/v1/plans", `{"Kind":"Declare","Accounts":[{"QuotaAccelerators":-1}],"Domains":[{}]}`,
			"Accounts[0].Name: is missing; Accounts[0].QuotaAccelerators: is -1, not between 0 and 1048576; Domains[0].Name: is missing"},
		"empty declaration": {"POST", "/v1/plans", `{"Kind":"Declare"}`, "Accounts: are missing, and so are Domains"},
		"plan":              {"GET", "/v1/plans/x", ``, "id: is not a UUID"},
		"confirmation":      {"POST", "/v1/plans/" + planID.String() + "/confirm", `{}`, "the request has a body"},
		"status":            {"GET", "/v1/status", `x`, "the request has a body"},
		"path":              {"DELETE", "/v1/plans", ``, "no such path or method: DELETE /v1/plans"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := ask(nil, c.method, c.path, c.body) // a service that is used panics
			var reply message.Reply
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
			require.Equal(t, c.want, reply.Faults.String())
			require.Equal(t, http.StatusUnprocessableEntity, w.Code)
		})
	}
	require.Contains(t, ask(nil, "GET", "/debug/vars", "").Body.String(), `"memstats"`)
}
