package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a check that does not notice an entry that goes back to an older
// configuration, or that reports one that is only behind.
func TestConfigurationView(t *testing.T) {
	start := time.Now()
	older, newer := addedQueue{prefix: "older", added: 3, removed: 15}, addedQueue{prefix: "newer", added: 15}
	type answer struct {
		queue  addedQueue
		status int
		after  time.Duration // since the start, when it was sent
	}
	for name, tc := range map[string]struct {
		answers []answer
		want    string // substring of the violation by the last answer; empty for none
	}{
		"behind":                    {[]answer{{older, http.StatusOK, 0}, {newer, http.StatusNotFound, time.Second}}, ""},
		"forward":                   {[]answer{{newer, http.StatusNotFound, 0}, {newer, http.StatusOK, time.Second}, {older, http.StatusNotFound, 2 * time.Second}}, ""},
		"added queue refused":       {[]answer{{newer, http.StatusOK, 0}, {newer, http.StatusNotFound, time.Second}}, "does not serve newer"},
		"removed queue served":      {[]answer{{newer, http.StatusOK, 0}, {older, http.StatusOK, time.Second}}, "serves older"},
		"removed queue served late": {[]answer{{older, http.StatusOK, 0}, {older, http.StatusNotFound, time.Second}, {older, http.StatusOK, 2 * time.Second}}, "serves older"},
		"within the slack":          {[]answer{{newer, http.StatusOK, 0}, {newer, http.StatusNotFound, 200 * time.Millisecond}}, ""},
		"unavailable":               {[]answer{{newer, http.StatusOK, 0}, {newer, http.StatusServiceUnavailable, time.Second}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var v configurationView
			var got string
			for _, a := range tc.answers {
				require.Empty(t, got, "only the last answer violates the guarantee")
				got = v.observe(a.queue, a.status, start.Add(a.after), start.Add(a.after+time.Millisecond))
			}
			if tc.want == "" {
				require.Empty(t, got)
			} else {
				require.Contains(t, got, tc.want)
			}
		})
	}
}
