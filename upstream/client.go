// Package upstream queues and routes calls, and is the client to an upstream
// instance.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// ClientOptions are the limits of a Client. A zero field takes the default.
type ClientOptions struct {
	MaxBodyBytes   int           // of a call: 1 MiB
	MaxAnswerBytes int64         // 16 MiB
	MaxConns       int           // 32, half of what an upstream takes
	DialTimeout    time.Duration // 1 s
	MaxTime        time.Duration // of a call without a deadline: 5 min
	Now            func() time.Time
}

// Client is a rosemarysill.Upstream over HTTP. Its methods may be called
// concurrently.
type Client struct {
	opts ClientOptions
	base *sling.Sling
	http *http.Client
}

var _ rosemarysill.Upstream = (*Client)(nil)

// NewClient returns a client of the upstream at the address.
func NewClient(address netip.AddrPort, o ClientOptions) *Client {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, 1<<20)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, 16<<20)
	o.MaxConns = cmp.Or(o.MaxConns, 32)
	o.DialTimeout = cmp.Or(o.DialTimeout, time.Second)
	o.MaxTime = cmp.Or(o.MaxTime, 5*time.Minute)
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{
		opts: o,
		base: sling.New().Base("http://" + address.String()),
		http: message.NewHTTPClient(o.MaxConns, o.DialTimeout),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Serve implements rosemarysill.Upstream. A failure before a connection was
// assigned to the call is proof that the upstream did not begin; after that,
// only the upstream's own refusal is.
func (c *Client) Serve(ctx context.Context, call rosemarysill.Call) ([]byte, error) {
	if len(call.Body) > c.opts.MaxBodyBytes {
		return nil, rosemarysill.NewError(rosemarysill.TooLarge, "body has %d bytes, the limit is %d", len(call.Body), c.opts.MaxBodyBytes)
	}
	remaining := c.opts.MaxTime
	if !call.Deadline.IsZero() {
		remaining = min(remaining, call.Deadline.Sub(c.opts.Now()))
	}
	if remaining <= 0 || ctx.Err() != nil {
		return nil, rosemarysill.NewError(rosemarysill.DeadlineUnmeetable, "the deadline of the call has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	traced, assigned := message.Traced(ctx)
	req, err := c.base.New().Post("/v1/call").
		Set("Call-Id", call.ID.String()).
		Set("Account", call.Account).
		Set("Class", string(call.Class)).
		Set("Idempotent", strconv.FormatBool(call.Idempotent)).
		Set("Remaining", strconv.FormatInt(int64(remaining), 10)).
		Body(bytes.NewReader(call.Body)).Request()
	if err != nil {
		return nil, rosemarysill.NewError(rosemarysill.InvalidRequest, "call: %v", err)
	}
	resp, err := c.http.Do(req.WithContext(traced))
	if err != nil {
		switch {
		case assigned():
			return nil, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "call sent, no answer: %v", err)
		case ctx.Err() != nil:
			return nil, rosemarysill.NewError(rosemarysill.DeadlineUnmeetable, "no connection in time: %v", err)
		default:
			return nil, rosemarysill.NewError(rosemarysill.Unreachable, "no connection: %v", err)
		}
	}
	defer resp.Body.Close()
	return c.receive(resp, call)
}

// receive reads the whole answer and checks that it is the call's own.
func (c *Client) receive(resp *http.Response, call rosemarysill.Call) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "answer ends after %d bytes: %v", len(body), err)
	case resp.StatusCode != http.StatusOK:
		return nil, refusalError(resp.StatusCode, body)
	case resp.Header.Get("Call-Id") != call.ID.String():
		return nil, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "answer names the call %q", resp.Header.Get("Call-Id"))
	case int64(len(body)) > c.opts.MaxAnswerBytes:
		return nil, rosemarysill.NewError(rosemarysill.AnswerTooLarge, "answer exceeds %d bytes", c.opts.MaxAnswerBytes)
	}
	if hash := fmt.Sprintf("%016x", xxhash.Sum64(body)); hash != resp.Header.Get("Answer-Hash") {
		return nil, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "answer of %d bytes has the hash %s, not %q", len(body), hash, resp.Header.Get("Answer-Hash"))
	}
	return body, nil
}

// refusalError returns the error of an answer other than 200.
func refusalError(status int, body []byte) error {
	var f struct{ Error, Detail string }
	if err := json.Unmarshal(body, &f); err != nil {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "status %d without a named error", status)
	}
	codes := map[string]rosemarysill.Code{
		"NoCapacity": rosemarysill.NoCapacity,
		"Invalid":    rosemarysill.InvalidRequest,
		"TooLarge":   rosemarysill.TooLarge,
		"Failed":     rosemarysill.UpstreamFailed,
	}
	if code, ok := codes[f.Error]; ok {
		return errors.Wrapf(rosemarysill.NewError(code, "%s", f.Detail), "status %d", status)
	}
	return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "status %d: %s", status, f.Detail)
}
