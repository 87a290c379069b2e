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
	RequestInvalid:  {"RequestInvalid", zerolog.DebugLevel, "A caller's request has faults and was refused; all are listed."},
	RequestUnproved: {"RequestUnproved", zerolog.WarnLevel, "It is not known whether a caller's request took effect."},
	AnswerNotSent:   {"AnswerNotSent", zerolog.InfoLevel, "The answer to a caller could not be sent; the connection was gone or too slow."},
	ServerFault:     {"ServerFault", zerolog.ErrorLevel, "The HTTP server of callers or operators reports a fault: a malformed connection, or a panic that ended one request."},
})
