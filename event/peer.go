package event

import "github.com/rs/zerolog"

// Events of the protocol between processes.
const (
	PeerMessageRefused  Event = 700
	PeerHandlerPanicked Event = 701
	PeerStopForced      Event = 702
)

var _ = define(map[Event]Definition{
	PeerMessageRefused:  {"PeerMessageRefused", zerolog.WarnLevel, "A message from another process was malformed and was refused."},
	PeerHandlerPanicked: {"PeerHandlerPanicked", zerolog.ErrorLevel, "The handler of a request panicked; the outcome of the request is unknown."},
	PeerStopForced:      {"PeerStopForced", zerolog.WarnLevel, "Requests were still in progress at the end of the graceful shutdown and were aborted."},
})
