package membership

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestFirstStart guards against an entry that never gets authority on an empty
// store, and against later entries that do not join.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		nodes := f.established(3)
		for _, n := range nodes {
			require.Len(t, n.Authority().Members.Entries, 3)
		}
	})
}
