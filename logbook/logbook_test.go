package logbook_test

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/logbook"
)

// Guards against a reader that stops reading and slows what it reads about.
func TestReaderThatStops(t *testing.T) {
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
		require.Fail(t, "logging blocks")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // it ends with the pipe
	require.Eventually(t, func() bool { return l.Dropped() > 0 }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, l.Close())
}
