package rosemarysill

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a failure with a numbered result code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfter is how long the author of a request that did not run should wait before
	// it is repeated; 0 if that is not known.
	RetryAfter time.Duration
}

// Error returns the code's name, number and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Detail)
}

// NewError returns an Error with a stack trace for logs.
func NewError(code Code, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, args...)}, 1)
}

// CodeOf returns the code of the first Error in the chain, Done for nil, and
// OutcomeUnknown for any other error, because nothing is proved then.
func CodeOf(err error) Code {
	if err == nil {
		return Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return OutcomeUnknown
}

// DetailOf returns the detail of the first Error in the chain, or the text of
// the error.
func DetailOf(err error) string {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// NewRefusal returns an Error of a request that did not run and should be repeated after
// the given time.
func NewRefusal(code Code, retryAfter time.Duration, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}, 1)
}

// RetryAfterOf returns the time after which the request of the first Error in the chain
// should be repeated, 0 if it is not known.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
