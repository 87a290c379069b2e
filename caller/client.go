package caller

import (
	"context"
	"net/netip"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// maxMessageBytes is the size of the largest answer in base64, with its head.
const maxMessageBytes = maxAnswerBytes*4/3 + 64<<10

const answerGrace = 2 * time.Second

// unread holds the refusals that may have been made before anything of the
// request was read. They say nothing about an earlier sending.
var unread = map[rosemarysill.Code]bool{
	rosemarysill.Unreachable:    true,
	rosemarysill.ShuttingDown:   true,
	rosemarysill.Overloaded:     true,
	rosemarysill.TooLarge:       true,
	rosemarysill.InvalidRequest: true,
}

// Client is a caller's view of the entries. It implements
// rosemarysill.CallerService and is safe for concurrent use.
type Client struct {
	entries []netip.AddrPort
	message *message.Client
}

var _ rosemarysill.CallerService = (*Client)(nil)

// NewClient returns a client that tries the entries in the given order.
func NewClient(entries []netip.AddrPort) *Client {
	return &Client{entries: entries, message: message.NewClient(maxMessageBytes)}
}

// Close closes idle connections.
func (c *Client) Close() { c.message.Close() }

// Call sends a call. A call that is not idempotent goes to another entry only
// when it is proved not run; after OutcomeUnknown the caller may ask again with
// Resent set.
func (c *Client) Call(ctx context.Context, call rosemarysill.Call) rosemarysill.Answer {
	// An answer that says what became of the call at its deadline still has
	// to arrive.
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(answerGrace))
	defer cancel()
	var answer CallAnswer
	err := message.TryEach(ctx, c.entries, call.Idempotent, func(entry netip.AddrPort) error {
		remaining := time.Until(call.Deadline).Milliseconds()
		if remaining <= 0 && call.Resent {
			return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the deadline has passed and an earlier sending may have run")
		}
		if remaining <= 0 {
			return rosemarysill.NewError(rosemarysill.DeadlineUnmeetable, "the deadline has passed")
		}
		q := CallRequest{
			ID: call.ID, Account: call.Account, Class: call.Class, Idempotent: call.Idempotent,
			Resent: call.Resent, RemainingMS: remaining, Body: call.Body,
		}
		answer = CallAnswer{}
		return c.send(ctx, entry, call.ID, func(s *sling.Sling) *sling.Sling { return s.Post("/v1/calls").BodyJSON(q) }, &answer)
	})
	if err != nil {
		code := rosemarysill.CodeOf(err)
		if call.Resent && unread[code] {
			code = rosemarysill.OutcomeUnknown
		}
		return rosemarysill.Answer{ID: call.ID, Code: code, Detail: rosemarysill.DetailOf(err), Upstream: answer.Upstream}
	}
	return rosemarysill.Answer{ID: call.ID, Upstream: answer.Upstream, Body: answer.Body}
}

// Submit submits a job. An entry that gets the same spec again returns the job
// that was accepted, so every entry may be tried.
func (c *Client) Submit(ctx context.Context, spec rosemarysill.JobSpec) (rosemarysill.Job, error) {
	return c.job(ctx, spec.ID, func(s *sling.Sling) *sling.Sling { return s.Post("/v1/jobs").BodyJSON(spec) })
}

// Cancel asks for the end of a job.
func (c *Client) Cancel(ctx context.Context, id uuid.UUID) (rosemarysill.Job, error) {
	return c.job(ctx, id, func(s *sling.Sling) *sling.Sling { return s.Post("/v1/jobs/" + id.String() + "/cancel") })
}

// Job returns a job with its result when it has one.
func (c *Client) Job(ctx context.Context, id uuid.UUID) (rosemarysill.Job, error) {
	return c.job(ctx, id, func(s *sling.Sling) *sling.Sling { return s.Get("/v1/jobs/" + id.String()) })
}

func (c *Client) job(ctx context.Context, id uuid.UUID, build func(*sling.Sling) *sling.Sling) (rosemarysill.Job, error) {
	var answer JobAnswer
	err := message.TryEach(ctx, c.entries, true, func(entry netip.AddrPort) error {
		answer = JobAnswer{}
		ctx, cancel := context.WithTimeout(ctx, message.AnswerWithin)
		defer cancel()
		return c.send(ctx, entry, id, build, &answer)
	})
	if err != nil {
		return rosemarysill.Job{}, err
	}
	if answer.Job == nil || answer.Job.Spec.ID != id {
		return rosemarysill.Job{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the answer is about another job")
	}
	return *answer.Job, nil
}

func (c *Client) send(ctx context.Context, entry netip.AddrPort, id uuid.UUID, build func(*sling.Sling) *sling.Sling, out message.Headed) error {
	if err := c.message.Send(ctx, entry, id, build, out); err != nil {
		return err
	}
	return out.Head().Err()
}
