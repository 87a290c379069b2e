package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a run can be repeated.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20300101")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
