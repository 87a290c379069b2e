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

// rule holds the validation rules in the tag `settings` of a field: "required",
// "min=…" and "max=…", which bound a number, a duration, or the length of a list,
// and "name" for a string that must be a valid name.
type rule struct {
	required bool
	name     bool
	min, max string
}

func parseRule(f reflect.StructField) rule {
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

// describeNode describes a node in the detail of a fault.
func describeNode(n ast.Node) string {
	switch n := n.(type) {
	case *ast.StringNode:
		return fmt.Sprintf("the string %q", truncate(n.Value))
	case *ast.LiteralNode:
		return "a string of several lines"
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

// Scalar is a Go type that is written as one string in a file.
type Scalar struct {
	goType   reflect.Type
	parse    func(string) (any, error)
	expected string
}

// NewScalar returns the scalar type T with its parser. The text expected completes
// the sentence "the key must be …" in faults.
func NewScalar[T any](parse func(string) (T, error), expected string) Scalar {
	return Scalar{goType: reflect.TypeFor[T](), parse: func(s string) (any, error) { return parse(s) }, expected: expected}
}

var (
	durationScalar = NewScalar(time.ParseDuration, "a duration such as 250ms, 2s or 1h")
	addressScalar  = NewScalar(parseAddress, "an address such as 10.0.0.1:7070")
)

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err == nil && a.Port() == 0 {
		err = fmt.Errorf("port must not be 0")
	}
	return a, err
}

// decodeScalar decodes a node that is a string, a number or a boolean into v.
func (d *Decoder) decodeScalar(key string, n ast.Node, v reflect.Value, r rule) {
	if s, ok := d.scalars[v.Type()]; ok {
		text, isString := stringValue(n)
		if !isString {
			d.AddFault(key, "must be %s, not %s", s.expected, describeNode(n))
			return
		}
		parsed, err := s.parse(text)
		if err != nil {
			d.AddFault(key, "must be %s, not %q", s.expected, truncate(text))
			return
		}
		v.Set(reflect.ValueOf(parsed))
		if duration, ok := parsed.(time.Duration); ok {
			d.checkDuration(key, duration, r)
		}
		return
	}
	switch v.Kind() {
	case reflect.String:
		d.decodeString(key, n, v, r)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.AddFault(key, "must be true or false, not %s", describeNode(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		d.decodeInteger(key, n, v, r)
	case reflect.Float64:
		d.decodeFloat(key, n, v, r)
	default:
		d.AddFault(key, "values of type %s cannot be decoded from a file", v.Type())
	}
}

func stringValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

// truncate shortens a string to at most 40 bytes and an ellipsis.
func truncate(s string) string {
	if len(s) > 40 {
		return strings.ToValidUTF8(s[:40], "") + "…"
	}
	return s
}

func (d *Decoder) decodeString(key string, n ast.Node, v reflect.Value, r rule) {
	s, ok := stringValue(n)
	if !ok {
		d.AddFault(key, "must be a string, not %s", describeNode(n))
		return
	}
	if r.name && !validName(s) {
		d.AddFault(key, "%q is not a valid name: use 1 to 64 letters, digits, '-', '_' and '.'", truncate(s))
		return
	}
	v.SetString(s)
}

// validName reports whether a string is a valid name. Names are parts of store keys,
// which are separated by '/', and of lists, which are separated by ','.
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

func (d *Decoder) decodeInteger(key string, n ast.Node, v reflect.Value, r rule) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.AddFault(key, "must be an integer, not %s", describeNode(n))
		return
	}
	var value int64
	switch x := i.Value.(type) {
	case int64:
		value = x
	case uint64:
		value = int64(min(x, math.MaxInt64))
	default:
		d.AddFault(key, "must be an integer, not %s", describeNode(n))
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

func (d *Decoder) decodeFloat(key string, n ast.Node, v reflect.Value, r rule) {
	var value float64
	switch n := n.(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(n.Value), 64)
		if err != nil {
			d.AddFault(key, "must be a number, not %s", describeNode(n))
			return
		}
		value = f
	default:
		d.AddFault(key, "must be a number, not %s", describeNode(n))
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

func (d *Decoder) checkDuration(key string, value time.Duration, r rule) {
	low, high := time.Millisecond, 24*time.Hour
	if p, err := time.ParseDuration(r.min); err == nil {
		low = p
	}
	if p, err := time.ParseDuration(r.max); err == nil {
		high = p
	}
	if value < low || value > high {
		d.AddFault(key, "is %s; it must be from %s to %s", value, low, high)
	}
}
