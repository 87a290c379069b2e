package logbook_test

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/logbook"
)

// TestStalledReaderDoesNotBlock guards against a process that blocks on logging
// because the reader of its log has stopped reading.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	l := logbook.New(w, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			l.Info().Str("Job", "j").Send()
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		require.Fail(t, "writing 20,000 lines to a stalled reader took more than 20 s")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // ends when Close closes the pipe
	require.Eventually(t, func() bool { return l.Dropped() > 0 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, l.Close())
}
