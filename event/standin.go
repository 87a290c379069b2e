package event

import "github.com/rs/zerolog"

// Events of the process of a stand-in.
const (
	StandinStarted Event = 900
	StandinStopped Event = 901
	StandinRefused Event = 902
)

var _ = define(map[Event]Definition{
	StandinStarted: {"StandinStarted", zerolog.InfoLevel, "A stand-in listens on its address."},
	StandinStopped: {"StandinStopped", zerolog.InfoLevel, "A stand-in has closed all connections and exits."},
	StandinRefused: {"StandinRefused", zerolog.ErrorLevel, "A stand-in could not be started with its arguments."},
})
