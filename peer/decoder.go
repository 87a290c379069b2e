package peer

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// decoder converts fields of a message and collects all faults.
type decoder struct {
	faults []string
}

// maxFaults bounds the text that a hostile message can provoke.
const maxFaults = 8

func (d *decoder) fault(field, format string, args ...any) {
	if len(d.faults) < maxFaults {
		d.faults = append(d.faults, field+": "+fmt.Sprintf(format, args...))
	}
}

// err returns nil or an InvalidRequest that lists the faults of a request.
func (d *decoder) err() error { return d.errAs(rosemarysill.InvalidRequest) }

// replyErr returns nil or an OutcomeUnknown that lists the faults of a reply:
// its request was received.
func (d *decoder) replyErr() error { return d.errAs(rosemarysill.OutcomeUnknown) }

func (d *decoder) errAs(code rosemarysill.Code) error {
	if len(d.faults) == 0 {
		return nil
	}
	return rosemarysill.NewError(code, "%s", strings.Join(d.faults, "; "))
}

func (d *decoder) uuid(field string, b []byte) uuid.UUID {
	id, err := uuid.FromBytes(b)
	if err != nil {
		d.fault(field, "UUID of %d bytes", len(b))
	}
	return id
}

func (d *decoder) address(field string, b []byte) netip.AddrPort {
	var a netip.AddrPort
	// 6 and 18 bytes are IPv4 and IPv6 without a zone. A zone is meaningful on
	// one host only.
	if len(b) != 6 && len(b) != 18 {
		d.fault(field, "address of %d bytes", len(b))
		return a
	}
	if err := a.UnmarshalBinary(b); err != nil {
		d.fault(field, "%v", err)
	}
	return a
}

// number converts a count. A negative number of the sender arrives above the
// limit, because the message has unsigned fields.
func (d *decoder) number(field string, n uint32) int {
	if n > math.MaxInt32 {
		d.fault(field, "%d is out of range", n)
		return 0
	}
	return int(n)
}

func (d *decoder) text(field, s string) string {
	if len(s) > maxText {
		d.fault(field, "text of %d bytes", len(s))
		return ""
	}
	return s
}

func (d *decoder) milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// maxText bounds names, details and checkpoint names.
const maxText = 4 << 10

// clip bounds a text that is for people, such as the detail of an error.
func clip(s string) string {
	if len(s) > maxText {
		return strings.ToValidUTF8(s[:maxText], "")
	}
	return strings.ToValidUTF8(s, "?")
}

func encodeAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary() // never fails
	return b
}

// encodeMilliseconds rounds down, so that no lease or deadline grows on its
// way.
func encodeMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// enum pairs the values of a contract with those of the protocol.
type enum[C comparable, P comparable] []struct {
	contract C
	protocol P
}

func (e enum[C, P]) encode(c C) P {
	for _, pair := range e {
		if pair.contract == c {
			return pair.protocol
		}
	}
	var unspecified P
	return unspecified
}

func (e enum[C, P]) decode(d *decoder, field string, p P) C {
	for _, pair := range e {
		if pair.protocol == p {
			return pair.contract
		}
	}
	d.fault(field, "unknown value %v", p)
	var none C
	return none
}
