package event

import "github.com/rs/zerolog"

// Events of the service for operators.
const (
	OperatorRequestInvalid Event = 600
	PlanAnswered           Event = 601
	OperatorAnswerNotSent  Event = 602
)

var _ = define(map[Event]Definition{
	OperatorRequestInvalid: {"OperatorRequestInvalid", zerolog.WarnLevel, "An operator's request is invalid and was refused; the line lists all faults."},
	PlanAnswered:           {"PlanAnswered", zerolog.InfoLevel, "A plan was created or read, or a request to confirm it was answered."},
	OperatorAnswerNotSent:  {"OperatorAnswerNotSent", zerolog.InfoLevel, "The response to an operator could not be sent."},
})
