// Package event numbers the log events of all processes. docs/EVENTS.md is
// their catalogue.
package event

import "github.com/rs/zerolog"

// Event is the number of a log event.
type Event int

// Definition describes an event for the log and for the catalogue.
type Definition struct {
	Name    string
	Level   zerolog.Level
	Meaning string
}

var definitions = map[Event]Definition{}

// define adds the events of one package to the catalogue.
func define(defs map[Event]Definition) map[Event]Definition {
	for e, d := range defs {
		if _, ok := definitions[e]; ok {
			panic("event: number defined twice: " + d.Name)
		}
		definitions[e] = d
	}
	return defs
}

// Definitions returns the catalogue by number.
func Definitions() map[Event]Definition {
	all := make(map[Event]Definition, len(definitions))
	for e, d := range definitions {
		all[e] = d
	}
	return all
}

// Log begins a log entry for the event, with its level, number and name. The
// caller adds fields and sends it.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	d, ok := definitions[e]
	if !ok {
		return l.Error().Int("Event", int(e))
	}
	return l.WithLevel(d.Level).Int("Event", int(e)).Str("Name", d.Name)
}
