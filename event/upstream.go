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
	UpstreamSetAside: {"UpstreamSetAside", zerolog.WarnLevel, "An upstream failed several calls in a row and gets single calls as probes until one succeeds."},
	UpstreamRestored: {"UpstreamRestored", zerolog.InfoLevel, "A probe succeeded; the upstream gets calls again."},
	RecordUnresolved: {"RecordUnresolved", zerolog.WarnLevel, "It is not known whether the record of a call was written; it is put right later."},
	RecordSettled:    {"RecordSettled", zerolog.InfoLevel, "The record of a call was put right after an unresolved write."},
	AnswerMismatch:   {"AnswerMismatch", zerolog.ErrorLevel, "An agent answered with another call's identifier; the answer was discarded."},
})
