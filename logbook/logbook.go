// Package logbook provides the logger of a process. Logging never blocks: if the
// reader of the log is too slow, lines are dropped.
package logbook

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferedLines is the number of lines buffered for a slow reader. At 300 bytes a
// line they take 600 KB.
const bufferedLines = 2048

// TimeFormat includes milliseconds, so that the lines of several processes can be
// sorted by time.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log is a logger that counts the lines it dropped.
type Log struct {
	zerolog.Logger
	writer  diode.Writer
	dropped atomic.Int64
}

// New returns a logger that writes to w. Close must be called at the end.
func New(w io.Writer, level zerolog.Level) *Log {
	zerolog.TimeFieldFormat = TimeFormat
	l := &Log{}
	l.writer = diode.NewWriter(w, bufferedLines, 0, func(n int) { l.dropped.Add(int64(n)) })
	l.Logger = zerolog.New(l.writer).Level(level).With().Timestamp().Logger()
	return l
}

// Dropped returns the number of lines dropped because the reader of the log was
// too slow.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the buffered lines.
func (l *Log) Close() error { return l.writer.Close() }
