package kvstore

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
)

// errorReply is the body of a reply whose status is not 200.
type errorReply struct {
	Error  string
	Detail string
}

// storeErrors maps the error names of the store to the errors of rosemarysill.Store.
var storeErrors = map[string]error{
	"Version":     rosemarysill.ErrVersion,
	"NotFound":    rosemarysill.ErrNotFound,
	"LeaseLapsed": rosemarysill.ErrLeaseLapsed,
	"RateLimited": rosemarysill.ErrRateLimited,
	"Compacted":   rosemarysill.ErrCompacted,
}

// unavailable wraps an error after which the effect of the call is unknown.
func unavailable(err error, operation string) error {
	return fmt.Errorf("%w: %s: %w", rosemarysill.ErrStoreUnavailable, operation, err)
}

// replyError returns the error for a reply whose status is not 200. Only an error
// name of the store proves that the call had no effect: other replies may come
// from a proxy.
func replyError(status int, body []byte) error {
	var reply errorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return unavailable(errors.Newf("status %d, and the body of %d bytes is not an error of the store", status, len(body)), "call the store")
	}
	if known, ok := storeErrors[reply.Error]; ok {
		return errors.Wrapf(known, "store replied with status %d", status)
	}
	switch reply.Error {
	case "TooLarge":
		return rosemarysill.NewError(rosemarysill.TooLarge, "store replied TooLarge: %s", reply.Detail)
	case "Invalid":
		return rosemarysill.NewError(rosemarysill.InvalidRequest, "store replied Invalid: %s", reply.Detail)
	default:
		return unavailable(errors.Newf("status %d with unknown error %q: %s", status, reply.Error, reply.Detail), "call the store")
	}
}
