package demo

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRun guards against a demonstration that breaks a promise, does not end,
// or leaves out its summary.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Run(context.Background(), &out), "%s", &out)
	for _, part := range []string{"TakeOut Sousse", "BringBack Sousse", "Completion time", "Fragmentation", "Work done", "Checked"} {
		require.Contains(t, out.String(), part)
	}
}
