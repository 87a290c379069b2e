package message

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// AnswerWithin is the time after which a request that needs no upstream is
// tried at the next entry.
const AnswerWithin = 15 * time.Second

// Headed is an answer that begins with a Reply.
type Headed interface{ Head() *Reply }

// Client sends requests to entries and checks their answers.
type Client struct {
	http  *http.Client
	limit int64
}

// NewClient returns a client that accepts answers of at most limit bytes.
func NewClient(limit int64) *Client {
	return &Client{limit: limit, http: &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
			MaxIdleConnsPerHost:    64,
			MaxResponseHeaderBytes: 16 << 10,
			// Shorter than the idle timeout of an entry, so that a request is
			// not sent on a connection that the entry is just closing.
			IdleConnTimeout: 30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends the request that build describes to the entry and reads its answer
// into out. The error is nil when out holds a checked answer to the request
// id. It is Unreachable when nothing was sent, and OutcomeUnknown for anything
// lost after that.
func (c *Client) Send(ctx context.Context, entry netip.AddrPort, id uuid.UUID, build func(*sling.Sling) *sling.Sling, out Headed) error {
	s := build(sling.New().Client(c.http).Base("http://"+entry.String()).Set(IDHeader, id.String()).ResponseDecoder(checked{limit: c.limit}))
	req, err := s.Request()
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "build request: %s", err)
	}
	traced, assigned := Traced(ctx)
	res, err := s.Do(req.WithContext(traced), out, out)
	if err != nil && !assigned() {
		return rosemarysill.NewError(rosemarysill.Unreachable, "entry %s: %s", entry, err)
	}
	if err != nil {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "entry %s: answer lost: %s", entry, err)
	}
	head := out.Head()
	if head.ID != id || head.Name != head.Code.String() || head.Truth != head.Code.Truth() || res.StatusCode != Status(head.Code) {
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "entry %s: the answer is not to this request", entry)
	}
	return nil
}

// checked is a sling decoder that accepts whole answers only.
type checked struct{ limit int64 }

// Decode reads the body, compares its length and hash with the headers and
// decodes it.
func (d checked) Decode(res *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, d.limit+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > d.limit {
		// sling drains the body afterwards, which might have no end.
		_ = res.Body.Close()
		return errors.Newf("the answer exceeds %d bytes", d.limit)
	}
	if got, want := strconv.Itoa(len(data)), res.Header.Get(LengthHeader); got != want {
		return errors.Newf("the answer has %s bytes, announced are %q", got, want)
	}
	if got, want := fmt.Sprintf("%016x", xxhash.Sum64(data)), res.Header.Get(HashHeader); got != want {
		return errors.Newf("the answer has hash %s, announced is %q", got, want)
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode answer")
}
