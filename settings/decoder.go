package settings

import (
	"errors"
	"net/netip"
	"strconv"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/form"
	"github.com/rs/zerolog"
)

// decoder decodes a file and checks relations between its keys.
type decoder struct{ *form.Decoder }

func newDecoder(file string) *decoder {
	return &decoder{form.NewDecoder(file,
		form.NewScalar(parseLevel, "one of trace, debug, info, warn, error"),
		form.NewScalar(parseKind, "Upstream or Worker"))}
}

func parseLevel(s string) (zerolog.Level, error) {
	l, err := zerolog.ParseLevel(s)
	if err == nil && (l < zerolog.TraceLevel || l > zerolog.ErrorLevel || s != l.String()) {
		err = errors.New("unknown level")
	}
	return l, err
}

func parseKind(s string) (rosemarysill.AgentKind, error) {
	switch k := rosemarysill.AgentKind(s); k {
	case rosemarysill.UpstreamAgent, rosemarysill.WorkerAgent:
		return k, nil
	default:
		return k, errors.New("unknown kind")
	}
}

// atMost reports a number that exceeds another one.
func (d *decoder) atMost(key string, a int, than string, b int) {
	if a <= b || d.Invalid(key, than) {
		return
	}
	at := key
	if !d.Has(key) {
		at = than
	}
	d.AddFault(at, "%s (%d) must not exceed %s (%d)", key, a, than, b)
}

// checkAnnounced reports an address at which others cannot reach the process.
func (d *decoder) checkAnnounced(key string, a netip.AddrPort) {
	if a.IsValid() && (a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		d.AddFault(key, "is announced to other processes and must be an address of this host, not %s", a.Addr())
	}
}

// checkAddresses reports addresses that a list holds twice.
func (d *decoder) checkAddresses(key string, list []netip.AddrPort) {
	seen := map[netip.AddrPort]int{}
	for i, a := range list {
		if first, ok := seen[a]; ok && a.IsValid() {
			d.AddFault(itemKey(key, i), "is the same address as %s", itemKey(key, first))
			continue
		}
		seen[a] = i
		d.checkAnnounced(itemKey(key, i), a)
	}
}

func itemKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
