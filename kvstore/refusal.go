package kvstore

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
)

type refusal struct {
	Error  string
	Detail string
}

// refusals maps the store's answers to errors of rosemarysill.Store.
var refusals = map[string]error{
	"Version":     rosemarysill.ErrVersion,
	"NotFound":    rosemarysill.ErrNotFound,
	"LeaseLapsed": rosemarysill.ErrLeaseLapsed,
	"RateLimited": rosemarysill.ErrRateLimited,
	"Compacted":   rosemarysill.ErrCompacted,
}

// unavailable marks an error as one that leaves the effect of a call open.
func unavailable(err error, what string) error {
	return fmt.Errorf("%w: %s: %w", rosemarysill.ErrStoreUnavailable, what, err)
}

// refusalError returns the error of an answer other than 200. Only a refusal
// that the store itself has named is proof that the call had no effect.
func refusalError(status int, body []byte) error {
	var f refusal
	if err := json.Unmarshal(body, &f); err != nil {
		return unavailable(errors.Newf("status %d", status), "store answer")
	}
	if known, ok := refusals[f.Error]; ok {
		return errors.Wrapf(known, "status %d", status)
	}
	switch f.Error {
	case "TooLarge":
		return rosemarysill.NewError(rosemarysill.TooLarge, "%s", f.Detail)
	case "Invalid":
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "%s", f.Detail)
	default:
		return unavailable(errors.Newf("status %d: %s", status, f.Detail), "store answer")
	}
}
