package message

import (
	"context"
	"net/netip"

	"github.com/rosemarysill/rosemarysill"
)

// elsewhere holds the not-run codes after which another entry may do better.
// QueueFull and Overloaded are left out because trying again multiplies the
// load.
var elsewhere = map[rosemarysill.Code]bool{
	rosemarysill.Unreachable:      true,
	rosemarysill.NotAuthoritative: true,
	rosemarysill.ShuttingDown:     true,
	rosemarysill.NoUpstream:       true,
}

// TryEach sends a request to one entry after the other, to each at most once,
// until one settles it. send returns the error of the answer. After an answer
// that leaves the outcome open, the next entry is tried only if the request is
// idempotent, and a later refusal does not prove that the request did not run.
// StoreUnavailable is tried elsewhere for idempotent requests only: a call's
// record may exist although nothing ran, and another entry would answer that the
// outcome is unknown.
func TryEach(ctx context.Context, entries []netip.AddrPort, idempotent bool, send func(entry netip.AddrPort) error) error {
	if len(entries) == 0 {
		return rosemarysill.NewError(rosemarysill.Unreachable, "no entry is known")
	}
	var open, err error
	for _, entry := range entries {
		err = send(entry)
		code := rosemarysill.CodeOf(err)
		if code.Truth() == rosemarysill.TruthUnknown {
			open = err
		}
		again := elsewhere[code] || (idempotent && (code == rosemarysill.OutcomeUnknown || code == rosemarysill.StoreUnavailable))
		if !again || ctx.Err() != nil {
			break
		}
	}
	if open != nil && rosemarysill.CodeOf(err).Truth() == rosemarysill.TruthNotRun {
		return open
	}
	return err
}
