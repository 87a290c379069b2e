package standin

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
)

// Control reaches a stand-in in another process.
type Control struct {
	base *sling.Sling
	http *http.Client
}

// NewControl returns the control of the stand-in at the address.
func NewControl(address netip.AddrPort) *Control {
	return &Control{
		base: sling.New().Base("http://" + address.String()),
		http: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// SetFaults replaces the faults by StoreFaults, RuntimeFaults or
// UpstreamFaults, according to the kind of the stand-in.
func (c *Control) SetFaults(ctx context.Context, faults any) error {
	return c.do(ctx, c.base.New().Post("/control/faults").BodyJSON(faults), nil)
}

// StoreCounters returns the counters of a store.
func (c *Control) StoreCounters(ctx context.Context) (StoreCounters, error) {
	var counters StoreCounters
	return counters, c.do(ctx, c.base.New().Get("/control/counters"), &counters)
}

// TaskEvents returns the journal of a runtime, for TaskJournal.Add.
func (c *Control) TaskEvents(ctx context.Context) ([]TaskEvent, error) {
	var events []TaskEvent
	err := c.do(ctx, c.base.New().Get("/control/journal"), &events)
	return events, err
}

// CallRuns returns the journal of an upstream, for CallJournal.Add.
func (c *Control) CallRuns(ctx context.Context) ([]CallRun, error) {
	var runs []CallRun
	err := c.do(ctx, c.base.New().Get("/control/journal"), &runs)
	return runs, err
}

func (c *Control) do(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return errors.Wrap(err, "standin: control")
	}
	resp, err := s.Client(c.http).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		if errors.Is(err, io.EOF) && out == nil {
			return nil
		}
		return errors.Wrap(err, "standin: control")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("standin: control: status %d", resp.StatusCode)
	}
	return nil
}
