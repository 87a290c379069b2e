package event

import "github.com/rs/zerolog"

// Events of the service for operators.
const (
	OperatorRequestInvalid Event = 600
	PlanAnswered           Event = 601
	OperatorAnswerNotSent  Event = 602
)

var _ = define(map[Event]Definition{
	OperatorRequestInvalid: {"OperatorRequestInvalid", zerolog.WarnLevel, "An operator's request has faults and was refused; all are listed."},
	PlanAnswered:           {"PlanAnswered", zerolog.InfoLevel, "A plan was made or looked up, or its confirmation was answered."},
	OperatorAnswerNotSent:  {"OperatorAnswerNotSent", zerolog.InfoLevel, "The answer to an operator could not be sent."},
})
