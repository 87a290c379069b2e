package gateway

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, unless the command line has another.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "5000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
