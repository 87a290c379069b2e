// Package worker keeps the ledger of a worker, and is the client to its task
// runtime.
package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// RuntimeOptions are the limits of a RuntimeClient. A zero field takes the
// default.
type RuntimeOptions struct {
	CallTimeout   time.Duration // of a call that answers at once: 1 s, the protocol's margin
	StopTimeout   time.Duration // of Stop and Checkpoint: 30 s, the longest reclaim
	MaxBodyBytes  int           // of a task: 1 MiB
	MaxReplyBytes int64         // 32 MiB
	MaxConns      int           // 16
	Now           func() time.Time
}

// RuntimeClient is a rosemarysill.Runtime over HTTP. Its methods may be called
// concurrently. Errors carry a Code; a not-run code is proof that the runtime
// did nothing. UnknownJob reports a task that does not run.
type RuntimeClient struct {
	opts RuntimeOptions
	base *sling.Sling
	http *http.Client
}

var _ rosemarysill.Runtime = (*RuntimeClient)(nil)

// NewRuntime returns a client of the runtime at the address.
func NewRuntime(address netip.AddrPort, o RuntimeOptions) *RuntimeClient {
	o.CallTimeout = cmp.Or(o.CallTimeout, time.Second)
	o.StopTimeout = cmp.Or(o.StopTimeout, 30*time.Second)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, 1<<20)
	o.MaxReplyBytes = cmp.Or(o.MaxReplyBytes, 32<<20)
	o.MaxConns = cmp.Or(o.MaxConns, 16)
	if o.Now == nil {
		o.Now = time.Now
	}
	return &RuntimeClient{
		opts: o,
		base: sling.New().Base("http://" + address.String()),
		http: message.NewHTTPClient(o.MaxConns, o.CallTimeout),
	}
}

// Close closes the idle connections.
func (c *RuntimeClient) Close() { c.http.CloseIdleConnections() }

// runtimeRequest is the body of all calls that change a task. Lease is the
// remaining time of the lease; LeaseUntil of Start is not used by the runtime.
type runtimeRequest struct {
	Task  rosemarysill.RuntimeTask
	Start *rosemarysill.TaskStart `json:",omitempty"`
	Lease time.Duration           `json:",omitempty"`
	Share float64                 `json:",omitempty"`
}

// Start implements rosemarysill.Runtime. A lease that has ended is refused
// without a call.
func (c *RuntimeClient) Start(ctx context.Context, t rosemarysill.TaskStart) error {
	if len(t.Body) > c.opts.MaxBodyBytes {
		return rosemarysill.NewError(rosemarysill.TooLarge, "body has %d bytes, the limit is %d", len(t.Body), c.opts.MaxBodyBytes)
	}
	lease := t.LeaseUntil.Sub(c.opts.Now())
	if lease <= 0 {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "the lease of the task has ended")
	}
	return c.post(ctx, c.opts.CallTimeout, "/v1/start", runtimeRequest{Task: t.Task, Start: &t, Lease: lease}, nil)
}

// Extend implements rosemarysill.Runtime.
func (c *RuntimeClient) Extend(ctx context.Context, t rosemarysill.RuntimeTask, until time.Time) error {
	lease := until.Sub(c.opts.Now())
	if lease <= 0 {
		return rosemarysill.NewError(rosemarysill.ReservationLapsed, "the lease of the task has ended")
	}
	return c.post(ctx, c.opts.CallTimeout, "/v1/extend", runtimeRequest{Task: t, Lease: lease}, nil)
}

// Checkpoint implements rosemarysill.Runtime.
func (c *RuntimeClient) Checkpoint(ctx context.Context, t rosemarysill.RuntimeTask) (string, error) {
	var reply struct{ Checkpoint string }
	err := c.post(ctx, c.opts.StopTimeout, "/v1/checkpoint", runtimeRequest{Task: t}, &reply)
	return reply.Checkpoint, err
}

// Throttle implements rosemarysill.Runtime.
func (c *RuntimeClient) Throttle(ctx context.Context, t rosemarysill.RuntimeTask, share float64) error {
	return c.post(ctx, c.opts.CallTimeout, "/v1/throttle", runtimeRequest{Task: t, Share: share}, nil)
}

// Stop implements rosemarysill.Runtime.
func (c *RuntimeClient) Stop(ctx context.Context, t rosemarysill.RuntimeTask) error {
	return c.post(ctx, c.opts.StopTimeout, "/v1/stop", runtimeRequest{Task: t}, nil)
}

// Tasks implements rosemarysill.Runtime.
func (c *RuntimeClient) Tasks(ctx context.Context) ([]rosemarysill.TaskStatus, error) {
	var reply struct{ Tasks []rosemarysill.TaskStatus }
	err := c.do(ctx, c.opts.CallTimeout, c.base.New().Get("/v1/tasks"), &reply)
	return reply.Tasks, err
}

// Forget implements rosemarysill.Runtime.
func (c *RuntimeClient) Forget(ctx context.Context, t rosemarysill.RuntimeTask) error {
	return c.post(ctx, c.opts.CallTimeout, "/v1/forget", runtimeRequest{Task: t}, nil)
}

func (c *RuntimeClient) post(ctx context.Context, timeout time.Duration, path string, body runtimeRequest, out any) error {
	return c.do(ctx, timeout, c.base.New().Post(path).BodyJSON(body), out)
}

// do sends a request within timeout and decodes the reply into out. A failure
// before a connection was assigned to the request is proof that the runtime
// did nothing.
func (c *RuntimeClient) do(ctx context.Context, timeout time.Duration, s *sling.Sling, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "runtime request: %v", err)
	}
	traced, assigned := message.Traced(ctx)
	resp, err := c.http.Do(req.WithContext(traced))
	if err != nil {
		if assigned() {
			return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "runtime call sent, no answer: %v", err)
		}
		return rosemarysill.NewError(rosemarysill.Unreachable, "no connection to the runtime: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxReplyBytes+1))
	if err == nil && int64(len(body)) > c.opts.MaxReplyBytes {
		err = fmt.Errorf("answer exceeds %d bytes", c.opts.MaxReplyBytes)
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		return runtimeRefusal(resp.StatusCode, body)
	}
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "runtime answer: %v", err)
	}
	return nil
}

// runtimeRefusal returns the error of an answer other than 200.
func runtimeRefusal(status int, body []byte) error {
	var f struct{ Error, Detail string }
	if err := json.Unmarshal(body, &f); err != nil {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "runtime: status %d without a named error", status)
	}
	codes := map[string]rosemarysill.Code{
		"NoCapacity": rosemarysill.NoCapacity,
		"Stopped":    rosemarysill.StaleAttempt,
		"Lapsed":     rosemarysill.ReservationLapsed,
		"Invalid":    rosemarysill.InvalidRequest,
		"NotFound":   rosemarysill.UnknownJob,
		"NotRunning": rosemarysill.UnknownJob,
	}
	code, ok := codes[f.Error]
	if !ok {
		code = rosemarysill.OutcomeUnknown
	}
	return rosemarysill.NewError(code, "runtime: status %d: %s", status, f.Detail)
}
