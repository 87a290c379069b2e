// Package event defines the numbered log events of all processes.
// docs/EVENTS.md lists them.
package event

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Event is the number of a log event.
type Event int

// Definition describes an event in the log and in docs/EVENTS.md.
type Definition struct {
	Name    string
	Level   zerolog.Level
	Meaning string
}

var definitions = map[Event]Definition{}

// define adds events to the catalogue. It panics if a number is already in use.
func define(defs map[Event]Definition) map[Event]Definition {
	for e, d := range defs {
		if _, ok := definitions[e]; ok {
			panic("event: the number of " + d.Name + " is already that of " + definitions[e].Name)
		}
		definitions[e] = d
	}
	return defs
}

// Definitions returns a copy of the catalogue, by number.
func Definitions() map[Event]Definition {
	all := make(map[Event]Definition, len(definitions))
	for e, d := range definitions {
		all[e] = d
	}
	return all
}

// Rate limit of the log lines of one event, so that a fault on each request or
// each call does not fill the log.
const (
	linesPerS = 50
	lineBurst = 400
)

// counter counts the occurrences of one event and limits its log lines.
type counter struct {
	limit      *rate.Limiter
	logged     atomic.Int64
	dropped    atomic.Int64
	unreported atomic.Int64 // lines dropped since the last line written
}

var (
	countersMu sync.Mutex
	counters   = map[Event]*counter{}
)

func (e Event) counter() *counter {
	countersMu.Lock()
	defer countersMu.Unlock()
	k, ok := counters[e]
	if !ok {
		k = &counter{limit: rate.NewLimiter(linesPerS, lineBurst)}
		counters[e] = k
	}
	return k
}

// Count holds the number of occurrences of an event (Logged) and how many of their
// lines the rate limit dropped (Dropped).
type Count struct{ Logged, Dropped int64 }

// Counts returns the counts of the events of this process by name.
func Counts() map[string]Count {
	countersMu.Lock()
	defer countersMu.Unlock()
	all := make(map[string]Count, len(counters))
	for e, k := range counters {
		all[definitions[e].Name] = Count{k.logged.Load(), k.dropped.Load()}
	}
	return all
}

// Log begins a log line with the level, number and name of the event. The caller
// adds fields and sends it. Above the rate limit of the event Log returns nil, on
// which all methods do nothing; the next line states how many were dropped.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	d, ok := definitions[e]
	if !ok {
		return l.Error().Int("Event", int(e))
	}
	k := e.counter()
	k.logged.Add(1)
	if !k.limit.Allow() {
		k.dropped.Add(1)
		k.unreported.Add(1)
		return nil
	}
	line := l.WithLevel(d.Level).Int("Event", int(e)).Str("Name", d.Name)
	if n := k.unreported.Swap(0); n > 0 {
		line = line.Int64("Dropped", n)
	}
	return line
}
