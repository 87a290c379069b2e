package settings

import (
	"errors"
	"net/netip"
	"strconv"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/form"
	"github.com/rs/zerolog"
)

// decoder decodes a settings file and checks constraints between its keys.
type decoder struct{ *form.Decoder }

func newDecoder(file string) *decoder {
	return &decoder{form.NewDecoder(file,
		form.NewScalar(parseLevel, "one of trace, debug, info, warn, error"),
		form.NewScalar(parseKind, "Upstream or Worker"))}
}

func parseLevel(s string) (zerolog.Level, error) {
	l, err := zerolog.ParseLevel(s)
	if err == nil && (l < zerolog.TraceLevel || l > zerolog.ErrorLevel || s != l.String()) {
		err = errors.New("log level is not one of trace, debug, info, warn, error")
	}
	return l, err
}

func parseKind(s string) (rosemarysill.AgentKind, error) {
	switch k := rosemarysill.AgentKind(s); k {
	case rosemarysill.UpstreamAgent, rosemarysill.WorkerAgent:
		return k, nil
	default:
		return k, errors.New("agent kind is not Upstream or Worker")
	}
}

// checkMaximum reports the value of a key that exceeds the value of limitKey. The
// fault is located at key, or at limitKey if the file holds only that one.
func (d *decoder) checkMaximum(key string, value int, limitKey string, limit int) {
	if value <= limit || d.Invalid(key, limitKey) {
		return
	}
	faultKey := key
	if !d.Has(key) {
		faultKey = limitKey
	}
	d.AddFault(faultKey, "%s (%d) must not exceed %s (%d)", key, value, limitKey, limit)
}

// checkReachable reports an unspecified or multicast address, at which other
// processes cannot connect.
func (d *decoder) checkReachable(key string, a netip.AddrPort) {
	if a.IsValid() && (a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		d.AddFault(key, "is announced to other processes and must be an address of this host, not %s", a.Addr())
	}
}

// checkAddresses reports duplicate and unreachable addresses in a list.
func (d *decoder) checkAddresses(key string, addresses []netip.AddrPort) {
	indexes := map[netip.AddrPort]int{}
	for i, a := range addresses {
		if first, ok := indexes[a]; ok && a.IsValid() {
			d.AddFault(itemKey(key, i), "is the same address as %s", itemKey(key, first))
			continue
		}
		indexes[a] = i
		d.checkReachable(itemKey(key, i), a)
	}
}

func itemKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
