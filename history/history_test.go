package history_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/history"
)

// Guards against lines out of order, lines of other jobs, and lines that
// cannot be read and stop the rest.
func TestRead(t *testing.T) {
	r := history.Reader{ID: "j1"}
	require.NoError(t, r.Read("b", strings.NewReader(`{"level":"info","Event":1160,"Name":"LeaderPlaced","Job":"j1","Waited":12.5,"time":"2026-01-01T00:00:02.500Z"}
{"level":"info","Name":"LeaderPlaced","Job":"j2","time":"2026-01-01T00:00:02.000Z"}
{"broken
no object
`)))
	require.NoError(t, r.Read("a", strings.NewReader(`  12.3 entry-1 {"level":"info","Event":1110,"Name":"QueueAccepted","Job":"j1","Detail":"","time":"2026-01-01T00:00:01.250Z"}`)))
	require.Equal(t, 1, r.Bad)
	var out strings.Builder
	require.NoError(t, r.Print(&out))
	require.Equal(t, "00:00:01.250 QueueAccepted     [12.3 entry-1]\n00:00:02.500 LeaderPlaced     Waited=12.5  [b]\n", out.String())
}
