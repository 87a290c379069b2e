package event

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const pagePath = "../docs/EVENTS.md"

func renderPage() string {
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

// TestCatalogueMatchesCode guards against events that are missing from
// docs/EVENTS.md or differ from it. UPDATE_DOCS=1 writes the page.
func TestCatalogueMatchesCode(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(pagePath, []byte(renderPage()), 0o644))
	}
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, renderPage(), string(page))
}
