package event

import "github.com/rs/zerolog"

// Events of the limits on client connections.
const (
	IntakeReplaced Event = 1300
	IntakeRejected Event = 1301
	IntakeDropped  Event = 1302
	IntakeLate     Event = 1303
	IntakeBusy     Event = 1304
)

var _ = define(map[Event]Definition{
	IntakeReplaced: {"IntakeReplaced", zerolog.WarnLevel, "A connection was closed for a new one at the limit of connections; it had had an unfinished request, or none, for longest."},
	IntakeRejected: {"IntakeRejected", zerolog.WarnLevel, "A new connection was closed at the limit of connections, because the requests of all others are being executed."},
	IntakeDropped:  {"IntakeDropped", zerolog.WarnLevel, "Bodies or messages that had not arrived completely were dropped, because the memory for them is used up; none of them has run."},
	IntakeLate:     {"IntakeLate", zerolog.InfoLevel, "A body did not arrive in time; the request has not run."},
	IntakeBusy:     {"IntakeBusy", zerolog.WarnLevel, "A request was refused as not run, because too many are in progress."},
})
