package form_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill/form"
	"github.com/stretchr/testify/require"
)

type document struct {
	Name    string        `settings:"required,name"`
	Count   int           `settings:"min=2,max=4"`
	Share   float64       `settings:"min=0,max=1"`
	Every   time.Duration `settings:"min=1s,max=1m"`
	Items   []string      `settings:"min=1,max=2"`
	Enabled bool
	Labels  map[string]string
}

// TestRulesAreEnforced guards against a rule that rejects a value at its bound, or
// accepts a value just beyond it.
func TestRulesAreEnforced(t *testing.T) {
	cases := map[string]struct {
		text string
		want string // fault; empty if there is none
	}{
		"lowest":                 {"{Name: a, Count: 2, Share: 0, Every: 1s, Items: [x]}", ""},
		"highest":                {"{Name: " + strings.Repeat("ø", 64) + ", Count: 4, Share: 1, Every: 60s, Items: [x, y], Enabled: true}", ""},
		"below":                  {"{Name: a, Count: 1}", "f:1:11: Count: is 1; it must be from 2 to 4"},
		"above":                  {"{Name: a, Count: 5}", "f:1:11: Count: is 5; it must be from 2 to 4"},
		"far above":              {"{Name: a, Count: 18446744073709551615}", "f:1:11: Count: is 9223372036854775807; it must be from 2 to 4"},
		"beyond 64 bits":         {"{Name: a, Count: 18446744073709551616}", "f:1:11: Count: must be an integer, not the string \"18446744073709551616\""},
		"share above":            {"{Name: a, Share: 1.01}", "f:1:11: Share: is 1.01; it must be from 0 to 1"},
		"share infinite":         {"{Name: a, Share: .inf}", "f:1:11: Share: must be a number, not the number .inf"},
		"duration below":         {"{Name: a, Every: 999ms}", "f:1:11: Every: is 999ms; it must be from 1s to 1m0s"},
		"duration above":         {"{Name: a, Every: 61s}", "f:1:11: Every: is 1m1s; it must be from 1s to 1m0s"},
		"duration too large":     {"{Name: a, Every: 9999999999h}", `f:1:11: Every: must be a duration such as 250ms, 2s or 1h, not "9999999999h"`},
		"list too long":          {"{Name: a, Items: [x, y, z]}", "f:1:11: Items: list has 3 items; it must have from 1 to 2"},
		"name too long":          {"{Name: " + strings.Repeat("ø", 65) + "}", `f:1:2: Name: "øøøøøøøøøøøøøøøøøøøø…" is not a valid name: use 1 to 64 letters, digits, '-', '_' and '.'`},
		"name with a slash":      {"{Name: a/b}", `f:1:2: Name: "a/b" is not a valid name: use 1 to 64 letters, digits, '-', '_' and '.'`},
		"empty value":            {"Name:\n", "f:1:1: Name: must be a string, not empty"},
		"unsupported field type": {"{Name: a, Labels: {b: c}}", "f:1:11: Labels: values of type map[string]string cannot be decoded from a file"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := form.NewDecoder("f")
			d.Decode([]byte(tc.text), &document{})
			if tc.want == "" {
				require.NoError(t, d.Faults())
				return
			}
			require.EqualError(t, d.Faults(), tc.want)
		})
	}
}

// TestAllFaultsAreReported guards against a report that omits some faults of a
// file with many.
func TestAllFaultsAreReported(t *testing.T) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "Key%d: 1\n", i)
	}
	d := form.NewDecoder("f")
	d.Decode([]byte(text.String()), &document{})
	var err *form.Error
	require.ErrorAs(t, d.Faults(), &err)
	require.Len(t, err.Faults, 1001, "1000 unknown keys and one missing key")
}
