package standin

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports that FreeAddress gives. The range lies below the system's range for
// outgoing connections, one of which could take a port between the choice and
// its use.
const (
	firstPort = 12000
	ports     = 20000
	portTries = 1000
	// portsEach keeps the choices of two processes with neighbouring
	// identifiers apart.
	portsEach = 64
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address that was free a moment ago.
func FreeAddress() (netip.AddrPort, error) {
	for range portTries {
		port := firstPort + (uint32(os.Getpid())*portsEach+nextPort.Add(1))%ports
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return netip.MustParseAddrPort(l.Addr().String()), l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}
