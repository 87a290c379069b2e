package clientload_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
)

// Guards against a crowd at one entry that keeps the ordinary callers of another from being
// served, with a crowd at the entry that leads and at one that does not, and against a crowd
// at an entry to which another relays its calls.
func TestCrowdAtOneOfTwoEntries(t *testing.T) {
	for name, tc := range map[string]struct {
		crowded int  // entry of the crowd; the ordinary caller asks the other one
		relayed bool // the store refuses the calls of the other one, which relays its calls
	}{
		"first":             {0, false},
		"second":            {1, false},
		"second is relayed": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			var processes [2]*process
			var nodes [2]platform.Node
			for i := range nodes {
				processes[i], nodes[i] = startPlatformEntryAs(t, store, platform.Node{
					Name: fmt.Sprintf("node%d", i), KeyRevocationDelay: time.Hour, // so that an entry without the store relays all the while
				})
				defer processes[i].check(t)
			}
			crowded, other := nodes[tc.crowded], nodes[1-tc.crowded]
			requireAnswer(t, func() error { return submit(other.Callers) })
			if tc.relayed {
				time.Sleep(settleTime) // until each entry knows the other one
				store.SetFault(other.Name, standin.Refusing)
			}
			c := reconnect(t, crowded.Callers, connections, func(i int, c net.Conn) { crowds["body stops one byte short"](platformRequest, i, c) })
			requireAnswer(t, func() error { return submit(other.Callers) })
			requireAnswer(t, func() error { return submit(crowded.Callers) })
			c.stop()
			requireAnswer(t, func() error { return submit(other.Callers) })
		})
	}
}
