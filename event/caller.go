package event

import "github.com/rs/zerolog"

// Events of the service for callers.
const (
	RequestInvalid  Event = 500
	RequestUnproved Event = 501
	AnswerNotSent   Event = 502
	ServerFault     Event = 503
)

var _ = define(map[Event]Definition{
	RequestInvalid:  {"RequestInvalid", zerolog.DebugLevel, "A caller's request is invalid and was refused; the line lists all faults."},
	RequestUnproved: {"RequestUnproved", zerolog.WarnLevel, "It is not known whether a caller's request took effect."},
	AnswerNotSent:   {"AnswerNotSent", zerolog.InfoLevel, "The response to a caller could not be sent; the connection was closed or too slow."},
	ServerFault:     {"ServerFault", zerolog.ErrorLevel, "The HTTP server for callers or operators reported an error: a malformed connection, or a panic that ended one request."},
})
