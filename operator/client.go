package operator

import (
	"context"
	"net/netip"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// maxAnswerBytes bounds a status of 1,100 workers and a plan that moves all
// jobs.
const maxAnswerBytes = 8 << 20

// Client is an operator's view of the entries. It implements
// rosemarysill.OperatorService and is safe for concurrent use.
type Client struct {
	entries []netip.AddrPort
	message *message.Client
}

var _ rosemarysill.OperatorService = (*Client)(nil)

// NewClient returns a client that tries the entries in the given order.
func NewClient(entries []netip.AddrPort) *Client {
	return &Client{entries: entries, message: message.NewClient(maxAnswerBytes)}
}

// Close closes idle connections.
func (c *Client) Close() { c.message.Close() }

// Plan asks for a plan. Nothing changes, so every entry may be tried.
func (c *Client) Plan(ctx context.Context, in rosemarysill.Intent) (rosemarysill.Plan, error) {
	var a PlanAnswer
	err := c.send(ctx, uuid.Must(uuid.NewV7()), func(s *sling.Sling) *sling.Sling { return s.Post("/v1/plans").BodyJSON(in) },
		func() message.Headed { a = PlanAnswer{}; return &a })
	if err != nil || a.Plan == nil {
		return rosemarysill.Plan{}, incomplete(err)
	}
	return *a.Plan, nil
}

// LookUp returns a plan that was made before.
func (c *Client) LookUp(ctx context.Context, plan uuid.UUID) (rosemarysill.Plan, error) {
	var a PlanAnswer
	err := c.send(ctx, plan, func(s *sling.Sling) *sling.Sling { return s.Get("/v1/plans/" + plan.String()) },
		func() message.Headed { a = PlanAnswer{}; return &a })
	if err != nil || a.Plan == nil || a.Plan.ID != plan {
		return rosemarysill.Plan{}, incomplete(err)
	}
	return *a.Plan, nil
}

// Confirm puts a plan into force. Confirming it again has no further effect, so
// every entry may be tried. A plan that is refused is a Confirmation with its
// code, not an error.
func (c *Client) Confirm(ctx context.Context, plan uuid.UUID) (rosemarysill.Confirmation, error) {
	var a ConfirmAnswer
	err := c.send(ctx, plan, func(s *sling.Sling) *sling.Sling { return s.Post("/v1/plans/" + plan.String() + "/confirm") },
		func() message.Headed { a = ConfirmAnswer{}; return &a })
	if a.Confirmation != nil && a.Confirmation.Plan == plan {
		return *a.Confirmation, nil
	}
	return rosemarysill.Confirmation{}, incomplete(err)
}

// Status describes the system as the answering entry sees it.
func (c *Client) Status(ctx context.Context) (rosemarysill.Status, error) {
	var a StatusAnswer
	err := c.send(ctx, uuid.Must(uuid.NewV7()), func(s *sling.Sling) *sling.Sling { return s.Get("/v1/status") },
		func() message.Headed { a = StatusAnswer{}; return &a })
	if err != nil || a.Status == nil {
		return rosemarysill.Status{}, incomplete(err)
	}
	return *a.Status, nil
}

func incomplete(err error) error {
	if err != nil {
		return err
	}
	return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "the answer is incomplete")
}

func (c *Client) send(ctx context.Context, id uuid.UUID, build func(*sling.Sling) *sling.Sling, fresh func() message.Headed) error {
	return message.TryEach(ctx, c.entries, true, func(entry netip.AddrPort) error {
		out := fresh()
		ctx, cancel := context.WithTimeout(ctx, message.AnswerWithin)
		defer cancel()
		if err := c.message.Send(ctx, entry, id, build, out); err != nil {
			fresh() // what was read is not proved to be the answer
			return err
		}
		return out.Head().Err()
	})
}
