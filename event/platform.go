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
	WatchFailed:    {"WatchFailed", zerolog.WarnLevel, "A watch lost contact with the store; it tries again until the store answers."},
	WatchRecovered: {"WatchRecovered", zerolog.InfoLevel, "A watch has contact with the store again."},
	WatchCompacted: {"WatchCompacted", zerolog.InfoLevel, "The store no longer holds the position of a watch; the keys are listed again."},
	WatchSilent:    {"WatchSilent", zerolog.WarnLevel, "A list showed changes that the store's watch did not report."},
})
