package event

import "github.com/rs/zerolog"

// Events of the program that runs a stand-in.
const (
	StandinStarted Event = 900
	StandinStopped Event = 901
	StandinRefused Event = 902
)

var _ = define(map[Event]Definition{
	StandinStarted: {"StandinStarted", zerolog.InfoLevel, "A stand-in listens at its address."},
	StandinStopped: {"StandinStopped", zerolog.InfoLevel, "A stand-in has closed all connections and ends."},
	StandinRefused: {"StandinRefused", zerolog.ErrorLevel, "A stand-in could not be started as its arguments ask."},
})
