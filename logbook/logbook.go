// Package logbook returns the logger of a process. It never blocks: a reader
// that stops reading costs lines and no time.
package logbook

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// held is the number of lines that wait for a slow reader. At 300 bytes a line
// they take 600 KB.
const held = 2048

// TimeFormat has milliseconds, so that the lines of several processes can be
// put in order.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log is a logger with the lines that it had to drop.
type Log struct {
	zerolog.Logger
	writer  diode.Writer
	dropped atomic.Int64
}

// New returns a logger to w.
func New(w io.Writer, level zerolog.Level) *Log {
	zerolog.TimeFieldFormat = TimeFormat
	l := &Log{}
	l.writer = diode.NewWriter(w, held, 0, func(n int) { l.dropped.Add(int64(n)) })
	l.Logger = zerolog.New(l.writer).Level(level).With().Timestamp().Logger()
	return l
}

// Dropped returns the number of lines that were dropped because nobody read
// them.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the lines that wait.
func (l *Log) Close() error { return l.writer.Close() }
