package form

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
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", clip(n.Value))
	case *ast.LiteralNode:
		return "a text of several lines"
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

// Scalar is a type that a file writes as one text.
type Scalar struct {
	of      reflect.Type
	parse   func(string) (any, error)
	example string
}

// NewScalar returns the type with its parser. The example completes the
// sentence "the key must be …".
func NewScalar[T any](parse func(string) (T, error), example string) Scalar {
	return Scalar{of: reflect.TypeFor[T](), parse: func(s string) (any, error) { return parse(s) }, example: example}
}

var (
	durations = NewScalar(time.ParseDuration, "a duration such as 250ms, 2s or 1h")
	addresses = NewScalar(parseAddress, "an address such as 10.0.0.1:7070")
)

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err == nil && a.Port() == 0 {
		err = fmt.Errorf("port 0")
	}
	return a, err
}

// scalar fills v from a node that is one text, number or truth value.
func (d *Decoder) scalar(key string, n ast.Node, v reflect.Value, r rule) {
	if s, ok := d.scalars[v.Type()]; ok {
		text, isText := textOf(n)
		if !isText {
			d.AddFault(key, "must be %s, not %s", s.example, describe(n))
			return
		}
		parsed, err := s.parse(text)
		if err != nil {
			d.AddFault(key, "must be %s, not %q", s.example, clip(text))
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
			d.AddFault(key, "must be true or false, not %s", describe(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		d.integer(key, n, v, r)
	case reflect.Float64:
		d.float(key, n, v, r)
	default:
		d.AddFault(key, "a value of the type %s cannot be written in a file", v.Type())
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

func (d *Decoder) text(key string, n ast.Node, v reflect.Value, r rule) {
	s, ok := textOf(n)
	if !ok {
		d.AddFault(key, "must be a text, not %s", describe(n))
		return
	}
	if r.name && !validName(s) {
		d.AddFault(key, "%q is not a name: letters, digits, '-', '_' and '.', from 1 to 64 characters", clip(s))
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

func (d *Decoder) integer(key string, n ast.Node, v reflect.Value, r rule) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.AddFault(key, "must be a whole number, not %s", describe(n))
		return
	}
	var value int64
	switch x := i.Value.(type) {
	case int64:
		value = x
	case uint64:
		value = int64(min(x, math.MaxInt64))
	default:
		d.AddFault(key, "must be a whole number, not %s", describe(n))
		return
	}
	low, errLow := strconv.ParseInt(r.min, 10, 64)
	high, errHigh := strconv.ParseInt(r.max, 10, 64)
	if errLow == nil && value < low || errHigh == nil && value > high {
		d.AddFault(key, "is %d; it must be %s", value, r.bounds())
		return
	}
	v.SetInt(value)
}

func (d *Decoder) float(key string, n ast.Node, v reflect.Value, r rule) {
	var value float64
	switch n := n.(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(n.Value), 64)
		if err != nil {
			d.AddFault(key, "must be a number, not %s", describe(n))
			return
		}
		value = f
	default:
		d.AddFault(key, "must be a number, not %s", describe(n))
		return
	}
	low, errLow := strconv.ParseFloat(r.min, 64)
	high, errHigh := strconv.ParseFloat(r.max, 64)
	if errLow == nil && !(value >= low) || errHigh == nil && !(value <= high) {
		d.AddFault(key, "is %g; it must be %s", value, r.bounds())
		return
	}
	v.SetFloat(value)
}

func (d *Decoder) checkDuration(key string, span time.Duration, r rule) {
	low, high := time.Millisecond, 24*time.Hour
	if p, err := time.ParseDuration(r.min); err == nil {
		low = p
	}
	if p, err := time.ParseDuration(r.max); err == nil {
		high = p
	}
	if span < low || span > high {
		d.AddFault(key, "is %s; it must be from %s to %s", span, low, high)
	}
}
