package event

import "github.com/rs/zerolog"

// Events of the store's client.
const (
	WatchFailed    Event = 400
	WatchRecovered Event = 401
	WatchCompacted Event = 402
	WatchSilent    Event = 403
)

var _ = define(map[Event]Definition{
	WatchFailed:    {"WatchFailed", zerolog.WarnLevel, "A watch or list call to the store failed; it is retried until the store responds."},
	WatchRecovered: {"WatchRecovered", zerolog.InfoLevel, "Watch and list calls to the store succeed again."},
	WatchCompacted: {"WatchCompacted", zerolog.InfoLevel, "The store no longer holds the changes after the revision of a watch; the keys are listed again."},
	WatchSilent:    {"WatchSilent", zerolog.WarnLevel, "A list showed changes that the watch of the store did not report."},
})
