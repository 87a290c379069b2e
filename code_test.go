package rosemarysill

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestCodeTableMatchesCode guards against result codes that callers cannot
// look up.
func TestCodeTableMatchesCode(t *testing.T) {
	page, err := os.ReadFile("docs/CODES.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1)
	got := map[string]string{}
	for _, row := range rows {
		got[row[1]] = row[2] + " " + row[3]
	}
	want := map[string]string{}
	for c, name := range Codes() {
		want[fmt.Sprint(int(c))] = name + " " + string(c.Truth())
	}
	require.Equal(t, want, got)
}

// TestCodeOfUnprovedError guards against reporting "not run" without proof.
func TestCodeOfUnprovedError(t *testing.T) {
	cases := map[string]struct {
		err  error
		want Code
	}{
		"no error":         {nil, Done},
		"plain error":      {errors.New("connection reset"), OutcomeUnknown},
		"numbered error":   {NewError(Leaving, "upstream %s", "a"), Leaving},
		"wrapped numbered": {errors.Wrap(NewError(NoCapacity, "full"), "forward"), NoCapacity},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, CodeOf(c.err)) })
	}
}
