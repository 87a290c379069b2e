// Package kvstore is the client of the platform's key-value store. It offers
// calls with deadlines, size limits and rate limits, document writes that
// resolve a lost reply, and a watcher that detects a watch which no longer
// reports changes.
package kvstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
	"golang.org/x/time/rate"
)

// Client is a rosemarysill.Store over HTTP. Its methods may be called
// concurrently.
type Client struct {
	opts   Options
	base   *sling.Sling
	http   *http.Client
	writes *rate.Limiter
	reads  *rate.Limiter
}

var _ rosemarysill.Store = (*Client)(nil)

// NewClient returns a client of the store at the address.
func NewClient(address netip.AddrPort, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		opts:   o,
		http:   message.NewHTTPClient(o.MaxConns, o.CallTimeout),
		base:   sling.New().Base("http://" + address.String()),
		writes: newLimiter(o.WritesPerS),
		reads:  newLimiter(o.ReadsPerS),
	}
}

// newLimiter allows bursts of the calls of 0.25 s. The bursts of four clients with
// the default rates together stay within the burst that the store accepts.
func newLimiter(perS float64) *rate.Limiter {
	if perS < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perS), max(1, int(perS/4)))
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request with a timeout and decodes the reply into out. An error that
// occurred before a connection was assigned to the request also carries the code
// StoreUnavailable, which proves that the call had no effect.
func (c *Client) do(ctx context.Context, limiter *rate.Limiter, timeout time.Duration, s *sling.Sling, out any) error {
	if !limiter.Allow() {
		return errors.Wrapf(rosemarysill.ErrRateLimited, "call not sent: the client allows %v calls/s", float64(limiter.Limit()))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "create store request: %v", err)
	}
	traced, assigned := message.Traced(ctx)
	resp, err := c.http.Do(req.WithContext(traced))
	if err != nil && !assigned() {
		err = rosemarysill.NewError(rosemarysill.StoreUnavailable, "no connection to the store: %v", err)
	}
	if err != nil {
		return unavailable(err, "call the store")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxReplyBytes+1))
	if err != nil {
		return unavailable(err, "read store reply")
	}
	if int64(len(body)) > c.opts.MaxReplyBytes {
		return unavailable(errors.Newf("reply exceeds the limit of %d bytes", c.opts.MaxReplyBytes), "read store reply")
	}
	if resp.StatusCode != http.StatusOK {
		return replyError(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return unavailable(err, "decode store reply")
	}
	return nil
}

func (c *Client) get(path string) *sling.Sling { return c.base.New().Get(path) }

func (c *Client) post(path string, body any) *sling.Sling {
	return c.base.New().Post(path).BodyJSON(body)
}

// Get implements rosemarysill.Store.
func (c *Client) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	var it rosemarysill.Item
	s := c.get("/v1/item").QueryStruct(struct {
		Key string `url:"key"`
	}{key})
	if err := c.do(ctx, c.reads, c.opts.CallTimeout, s, &it); err != nil {
		return rosemarysill.Item{Key: key}, err
	}
	return it, nil
}

// List implements rosemarysill.Store. The store replies in pages. Items of later
// pages may be newer than the revision returned, so a watch from this revision
// may report changes that the list already contains.
func (c *Client) List(ctx context.Context, prefix string) ([]rosemarysill.Item, uint64, error) {
	var items []rosemarysill.Item
	var revision uint64
	var size int64
	from := ""
	for first := true; ; first = false {
		var page struct {
			Items    []rosemarysill.Item
			Revision uint64
			Next     string
		}
		s := c.get("/v1/list").QueryStruct(struct {
			Prefix string `url:"prefix"`
			From   string `url:"from"`
		}{prefix, from})
		if err := c.do(ctx, c.reads, c.opts.CallTimeout, s, &page); err != nil {
			return nil, 0, err
		}
		for _, it := range page.Items {
			size += int64(len(it.Value))
		}
		if size > c.opts.MaxListBytes {
			return nil, 0, rosemarysill.NewError(rosemarysill.TooLarge, "values under %q have %d bytes or more, the limit is %d", prefix, size, c.opts.MaxListBytes)
		}
		if first {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, revision, nil
		}
		if page.Next <= from {
			return nil, 0, unavailable(errors.Newf("the page from %q names %q as the next, which is not after it", from, page.Next), "list store items")
		}
		from = page.Next
	}
}

// Swap implements rosemarysill.Store. For a value above the size limit it returns
// an error with the code TooLarge and sends no call.
func (c *Client) Swap(ctx context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	if len(value) > c.opts.MaxValueBytes {
		return 0, rosemarysill.NewError(rosemarysill.TooLarge, "value of %q has %d bytes, the limit is %d", key, len(value), c.opts.MaxValueBytes)
	}
	var reply struct{ Version uint64 }
	err := c.do(ctx, c.writes, c.opts.CallTimeout, c.post("/v1/swap", struct {
		Key     string
		Value   []byte
		Version uint64
		Lease   rosemarysill.LeaseID
	}{key, value, version, lease}), &reply)
	if err != nil {
		return 0, err
	}
	if reply.Version <= version {
		return 0, unavailable(errors.Newf("version %d is not above the replaced version %d", reply.Version, version), "check store reply")
	}
	return reply.Version, nil
}

// Delete implements rosemarysill.Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	return c.do(ctx, c.writes, c.opts.CallTimeout, c.post("/v1/delete", struct {
		Key     string
		Version uint64
	}{key, version}), nil)
}

type leaseBody struct {
	Lease rosemarysill.LeaseID
	TTL   time.Duration
}

// Grant implements rosemarysill.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	var reply leaseBody
	err := c.do(ctx, c.writes, c.opts.CallTimeout, c.post("/v1/grant", leaseBody{TTL: ttl}), &reply)
	if err == nil && reply.Lease == 0 {
		err = unavailable(errors.New("the reply to a grant has no lease"), "check store reply")
	}
	return reply.Lease, err
}

// Renew implements rosemarysill.Store.
func (c *Client) Renew(ctx context.Context, lease rosemarysill.LeaseID) error {
	return c.do(ctx, c.writes, c.opts.CallTimeout, c.post("/v1/renew", leaseBody{Lease: lease}), nil)
}

// Revoke implements rosemarysill.Store.
func (c *Client) Revoke(ctx context.Context, lease rosemarysill.LeaseID) error {
	return c.do(ctx, c.writes, c.opts.CallTimeout, c.post("/v1/revoke", leaseBody{Lease: lease}), nil)
}

// Watch implements rosemarysill.Store. The store waits for at most 9/10 of the
// time to the deadline of ctx, so that the reply arrives before the deadline.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]rosemarysill.Change, uint64, error) {
	wait := c.opts.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(deadline)*9/10))
	}
	s := c.get("/v1/watch").QueryStruct(struct {
		Prefix string `url:"prefix"`
		After  string `url:"after"`
		Wait   int64  `url:"wait"`
	}{prefix, strconv.FormatUint(after, 10), int64(wait)})
	var reply struct {
		Changes  []rosemarysill.Change
		Revision uint64
	}
	err := c.do(ctx, c.reads, wait+c.opts.CallTimeout, s, &reply)
	if ctx.Err() != nil {
		return nil, after, nil
	}
	if err != nil {
		return nil, after, err
	}
	return reply.Changes, max(after, reply.Revision), nil
}
