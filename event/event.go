// Package event numbers the log events of all processes. docs/EVENTS.md is
// their catalogue.
package event

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

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

// Bounds of the lines of one kind, so that a fault that repeats on each request
// or each call does not fill the log.
const (
	linesPerS = 50
	lineBurst = 400
)

// kind counts the events of one number.
type kind struct {
	limit   *rate.Limiter
	logged  atomic.Int64
	dropped atomic.Int64
	missing atomic.Int64 // dropped since the last line
}

var (
	kindsMu sync.Mutex
	kinds   = map[Event]*kind{}
)

func (e Event) kind() *kind {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	k, ok := kinds[e]
	if !ok {
		k = &kind{limit: rate.NewLimiter(linesPerS, lineBurst)}
		kinds[e] = k
	}
	return k
}

// Count is how often an event occurred, and how many of its lines were
// dropped.
type Count struct{ Logged, Dropped int64 }

// Counts returns the counts of the events of this process by name.
func Counts() map[string]Count {
	kindsMu.Lock()
	defer kindsMu.Unlock()
	all := make(map[string]Count, len(kinds))
	for e, k := range kinds {
		all[definitions[e].Name] = Count{k.logged.Load(), k.dropped.Load()}
	}
	return all
}

// Log begins a log entry for the event, with its level, number and name. The
// caller adds fields and sends it. If there are too many lines of one kind it
// returns nil, on which all methods do nothing; the next line says how many
// were dropped.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	d, ok := definitions[e]
	if !ok {
		return l.Error().Int("Event", int(e))
	}
	k := e.kind()
	k.logged.Add(1)
	if !k.limit.Allow() {
		k.dropped.Add(1)
		k.missing.Add(1)
		return nil
	}
	line := l.WithLevel(d.Level).Int("Event", int(e)).Str("Name", d.Name)
	if n := k.missing.Swap(0); n > 0 {
		line = line.Int64("Dropped", n)
	}
	return line
}
