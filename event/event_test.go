package event

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const catalogue = "../docs/EVENTS.md"

func table() string {
	var numbers []int
	for e := range definitions {
		numbers = append(numbers, int(e))
	}
	sort.Ints(numbers)
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `Event`, the number, and `Name`.\n\n| Event | Name | Level | Meaning |\n|---|---|---|---|\n")
	for _, n := range numbers {
		d := definitions[Event(n)]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", n, d.Name, d.Level, d.Meaning)
	}
	return b.String()
}

// TestCatalogueMatchesCode guards against events that operators cannot look
// up. UPDATE_DOCS=1 writes the page.
func TestCatalogueMatchesCode(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(catalogue, []byte(table()), 0o644))
	}
	page, err := os.ReadFile(catalogue)
	require.NoError(t, err)
	require.Equal(t, table(), string(page))
}
