package event

import "github.com/rs/zerolog"

// Events of the routing of calls.
const (
	UpstreamSetAside Event = 650
	UpstreamRestored Event = 651
	RecordUnresolved Event = 652
	RecordSettled    Event = 653
	AnswerMismatch   Event = 654
)

var _ = define(map[Event]Definition{
	UpstreamSetAside: {"UpstreamSetAside", zerolog.WarnLevel, "Several consecutive calls to an upstream failed; it gets only single probe calls until one succeeds."},
	UpstreamRestored: {"UpstreamRestored", zerolog.InfoLevel, "A probe call succeeded; the upstream gets all calls again."},
	RecordUnresolved: {"RecordUnresolved", zerolog.WarnLevel, "It is not known whether the record of a call was written; it is resolved later."},
	RecordSettled:    {"RecordSettled", zerolog.InfoLevel, "The record of a call was resolved after an unresolved write."},
	AnswerMismatch:   {"AnswerMismatch", zerolog.ErrorLevel, "An agent replied with the identifier of another call; the reply was discarded."},
})
