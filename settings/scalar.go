package settings

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/goccy/go-yaml/ast"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rs/zerolog"
)

// rule is what the tag `settings` of a field asks for: "required", "min=…" and
// "max=…", which bound a number, a duration, or the length of a list, and
// "name" for a text that names something.
type rule struct {
	required bool
	name     bool
	min, max string
}

func ruleOf(f reflect.StructField) rule {
	var r rule
	for _, part := range strings.Split(f.Tag.Get("settings"), ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "required":
			r.required = true
		case "name":
			r.name = true
		case "min":
			r.min = value
		case "max":
			r.max = value
		}
	}
	return r
}

func (r rule) bounds() string {
	switch {
	case r.max == "":
		return "at least " + r.min
	case r.min == "":
		return "at most " + r.max
	default:
		return "from " + r.min + " to " + r.max
	}
}

// describe names a node for a fault.
func describe(n ast.Node) string {
	switch n := n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "a text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + n.String()
	case *ast.BoolNode:
		return n.String()
	case *ast.NullNode:
		return "empty"
	case *ast.SequenceNode:
		return "a list"
	case ast.MapNode:
		return "a mapping"
	default:
		return "an anchor, alias, tag or merge key"
	}
}

// scalars are the types that a file writes as one text, with their parsers and
// an example.
var scalars = map[reflect.Type]struct {
	parse   func(string) (any, error)
	example string
}{
	reflect.TypeFor[time.Duration]():          {func(s string) (any, error) { return time.ParseDuration(s) }, "a duration such as 250ms, 2s or 1h"},
	reflect.TypeFor[netip.AddrPort]():         {parseAddress, "an address such as 10.0.0.1:7070"},
	reflect.TypeFor[zerolog.Level]():          {parseLevel, "one of trace, debug, info, warn, error"},
	reflect.TypeFor[rosemarysill.AgentKind](): {parseKind, "Upstream or Worker"},
}

func parseAddress(s string) (any, error) {
	a, err := netip.ParseAddrPort(s)
	if err == nil && a.Port() == 0 {
		err = fmt.Errorf("port 0")
	}
	return a, err
}

func parseLevel(s string) (any, error) {
	l, err := zerolog.ParseLevel(s)
	if err == nil && (l < zerolog.TraceLevel || l > zerolog.ErrorLevel || s != l.String()) {
		err = fmt.Errorf("unknown level")
	}
	return l, err
}

func parseKind(s string) (any, error) {
	switch k := rosemarysill.AgentKind(s); k {
	case rosemarysill.UpstreamAgent, rosemarysill.WorkerAgent:
		return k, nil
	default:
		return k, fmt.Errorf("unknown kind")
	}
}

// scalar fills v from a node that is one text, number or truth value.
func (d *decoder) scalar(key string, n ast.Node, v reflect.Value, r rule) {
	if s, ok := scalars[v.Type()]; ok {
		text, isText := textOf(n)
		if !isText {
			d.fault(key, "must be %s, not %s", s.example, describe(n))
			return
		}
		parsed, err := s.parse(text)
		if err != nil {
			d.fault(key, "must be %s, not %q", s.example, clip(text))
			return
		}
		v.Set(reflect.ValueOf(parsed))
		if span, ok := parsed.(time.Duration); ok {
			d.checkDuration(key, span, r)
		}
		return
	}
	switch v.Kind() {
	case reflect.String:
		d.text(key, n, v, r)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.fault(key, "must be true or false, not %s", describe(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		d.integer(key, n, v, r)
	case reflect.Float64:
		d.float(key, n, v, r)
	}
}

func textOf(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

// clip shortens a text for a fault.
func clip(s string) string {
	if len(s) > 40 {
		return strings.ToValidUTF8(s[:40], "") + "…"
	}
	return s
}

func (d *decoder) text(key string, n ast.Node, v reflect.Value, r rule) {
	s, ok := textOf(n)
	if !ok {
		d.fault(key, "must be a text, not %s", describe(n))
		return
	}
	if r.name && !validName(s) {
		d.fault(key, "%q is not a name: letters, digits, '-', '_' and '.', from 1 to 64 characters", clip(s))
		return
	}
	v.SetString(s)
}

// validName reports whether a text can name something. Names are parts of
// store keys, which '/' separates, and of lists, which ',' separates.
func validName(s string) bool {
	n := 0
	for _, c := range s {
		n++
		if !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("-_.", c) || c == unicode.ReplacementChar {
			return false
		}
	}
	return n >= 1 && n <= 64
}

func (d *decoder) integer(key string, n ast.Node, v reflect.Value, r rule) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.fault(key, "must be a whole number, not %s", describe(n))
		return
	}
	var value int64
	switch x := i.Value.(type) {
	case int64:
		value = x
	case uint64:
		value = int64(min(x, math.MaxInt64))
	default:
		d.fault(key, "must be a whole number, not %s", describe(n))
		return
	}
	low, errLow := strconv.ParseInt(r.min, 10, 64)
	high, errHigh := strconv.ParseInt(r.max, 10, 64)
	if errLow == nil && value < low || errHigh == nil && value > high {
		d.fault(key, "is %d; it must be %s", value, r.bounds())
		return
	}
	v.SetInt(value)
}

func (d *decoder) float(key string, n ast.Node, v reflect.Value, r rule) {
	var value float64
	switch n := n.(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(n.Value), 64)
		if err != nil {
			d.fault(key, "must be a number, not %s", describe(n))
			return
		}
		value = f
	default:
		d.fault(key, "must be a number, not %s", describe(n))
		return
	}
	low, errLow := strconv.ParseFloat(r.min, 64)
	high, errHigh := strconv.ParseFloat(r.max, 64)
	if errLow == nil && !(value >= low) || errHigh == nil && !(value <= high) {
		d.fault(key, "is %g; it must be %s", value, r.bounds())
		return
	}
	v.SetFloat(value)
}

func (d *decoder) checkDuration(key string, span time.Duration, r rule) {
	low, high := time.Millisecond, 24*time.Hour
	if p, err := time.ParseDuration(r.min); err == nil {
		low = p
	}
	if p, err := time.ParseDuration(r.max); err == nil {
		high = p
	}
	if span < low || span > high {
		d.fault(key, "is %s; it must be from %s to %s", span, low, high)
	}
}
