package form

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a file, which bound the number of faults as well. The parser's time grows with the square of the number of
// keys and of the nesting: 20,000 keys took 1 s, 20,000 nested lists 0.4 s.
const (
	MaxBytes     = 256 << 10
	maxLines     = 8192
	maxLineBytes = 4096
	maxBrackets  = 4096
)

// Decoder fills a struct from a file and collects the faults. The library's own
// decoder ends at the first fault, so only its parser is used.
type Decoder struct {
	file     string
	faults   []Fault
	at       map[string]*token.Position // of the keys in the file
	bad      map[string]bool            // keys that could not be decoded; relations to them are not checked
	decoding bool
	scalars  map[reflect.Type]Scalar
}

// NewDecoder returns a decoder for the file of this name.
func NewDecoder(file string, scalars ...Scalar) *Decoder {
	d := &Decoder{file: file, at: map[string]*token.Position{}, bad: map[string]bool{}, scalars: map[reflect.Type]Scalar{}}
	for _, s := range append([]Scalar{durations, addresses}, scalars...) {
		d.scalars[s.of] = s
	}
	return d
}

// Faults returns the faults as an error, or nil when there are none.
func (d *Decoder) Faults() error { return newError(d.faults) }

// Empty reports whether the file held no key, for example because it could not
// be parsed.
func (d *Decoder) Empty() bool { return len(d.at) == 0 }

// Invalid reports whether one of the keys could not be decoded, so that relations
// to it cannot be checked.
func (d *Decoder) Invalid(keys ...string) bool {
	for _, key := range keys {
		if d.bad[key] {
			return true
		}
	}
	return false
}

// Has reports whether the file holds the key.
func (d *Decoder) Has(key string) bool { return d.at[key] != nil }

// AddFault notes a fault at a key, or at the nearest enclosing key that the file
// holds.
func (d *Decoder) AddFault(key, format string, args ...any) {
	if d.decoding {
		d.bad[key] = true
	}
	f := Fault{File: d.file, Line: 1, Column: 1, Key: key, Detail: fmt.Sprintf(format, args...)}
	for at := key; at != ""; at = parentKey(at) {
		if p := d.at[at]; p != nil {
			f.Line, f.Column = p.Line, p.Column
			break
		}
	}
	d.faults = append(d.faults, f)
}

// parentKey returns the key that encloses a key.
func parentKey(key string) string {
	return key[:max(0, strings.LastIndexAny(key, ".["))]
}

func childKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// Read returns the content of a file, cut off after MaxBytes and one byte, for
// Decode to refuse.
func Read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, newError([]Fault{{File: file, Line: 1, Column: 1, Detail: err.Error()}})
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, newError([]Fault{{File: file, Line: 1, Column: 1, Detail: err.Error()}})
	}
	return data, nil
}

// checkSize reports a file that would cost the parser too much.
func (d *Decoder) checkSize(data []byte) bool {
	brackets := bytes.Count(data, []byte("[")) + bytes.Count(data, []byte("{"))
	lines := bytes.Count(data, []byte("\n"))
	longest := 0
	for line := range bytes.Lines(data) {
		longest = max(longest, len(line))
	}
	if len(data) <= MaxBytes && lines <= maxLines && longest <= maxLineBytes && brackets <= maxBrackets {
		return true
	}
	d.AddFault("", "file is too large: the limits are %d bytes, %d lines, %d bytes in a line, and %d opening brackets", MaxBytes, maxLines, maxLineBytes, maxBrackets)
	return false
}

// parse returns the file's only document. A panic of the parser on a file that
// it does not understand becomes a fault.
func (d *Decoder) parse(data []byte) (body ast.Node) {
	defer func() {
		if r := recover(); r != nil {
			d.AddFault("", "file cannot be parsed: %v", r)
			body = nil
		}
	}()
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		fault := Fault{File: d.file, Line: 1, Column: 1, Detail: err.Error()}
		var located yaml.Error
		if errors.As(err, &located) {
			fault.Detail = located.GetMessage()
			if t := located.GetToken(); t != nil && t.Position != nil {
				fault.Line, fault.Column = t.Position.Line, t.Position.Column
			}
		}
		d.faults = append(d.faults, fault)
		return nil
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.AddFault("", "file must hold one document, not %d", len(f.Docs))
		return nil
	}
	return f.Docs[0].Body
}

// Decode fills the struct that v points to. A fault leaves it filled in part;
// the caller discards it.
func (d *Decoder) Decode(data []byte, v any) {
	if !d.checkSize(data) {
		return
	}
	body := d.parse(data)
	if body == nil {
		return
	}
	d.decoding = true
	d.value("", body, reflect.ValueOf(v).Elem(), rule{})
	d.decoding = false
}

// value fills v from a node.
func (d *Decoder) value(key string, n ast.Node, v reflect.Value, r rule) {
	if _, ok := d.scalars[v.Type()]; ok {
		d.scalar(key, n, v, r)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(key, n, v)
	case reflect.Slice:
		d.sequence(key, n, v, r)
	default:
		d.scalar(key, n, v, r)
	}
}

// mapping fills a struct. An empty value counts as an empty mapping, so that
// a section of which all keys are commented out stays valid.
func (d *Decoder) mapping(key string, n ast.Node, v reflect.Value) {
	given := map[string]bool{}
	switch n := n.(type) {
	case *ast.NullNode:
	case ast.MapNode:
		for iter := n.MapRange(); iter.Next(); {
			name, ok := iter.Key().(*ast.StringNode)
			if !ok {
				d.at[childKey(key, iter.Key().String())] = iter.Key().GetToken().Position
				d.AddFault(childKey(key, iter.Key().String()), "not a key of this file")
				continue
			}
			child := childKey(key, name.Value)
			twice := given[name.Value]
			if !twice {
				d.at[child] = name.GetToken().Position
			}
			given[name.Value] = true
			field, ok := v.Type().FieldByName(name.Value)
			switch {
			case twice:
				d.faults = append(d.faults, Fault{d.file, name.GetToken().Position.Line, name.GetToken().Position.Column, child, "key is given twice"})
			case !ok:
				d.AddFault(child, "unknown key; the keys here are %s", strings.Join(fieldNames(v.Type()), ", "))
			default:
				d.value(child, iter.Value(), v.FieldByIndex(field.Index), ruleOf(field))
			}
		}
	default:
		d.AddFault(key, "must be a mapping of keys, not %s", describe(n))
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if ruleOf(field).required && !given[field.Name] {
			d.AddFault(childKey(key, field.Name), "key is missing")
		}
	}
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return names
}

// sequence fills a slice. The rule's bounds are those of its length.
func (d *Decoder) sequence(key string, n ast.Node, v reflect.Value, r rule) {
	var nodes []ast.Node
	switch n := n.(type) {
	case *ast.NullNode:
	case *ast.SequenceNode:
		nodes = n.Values
	default:
		d.AddFault(key, "must be a list, not %s", describe(n))
		return
	}
	if r.max != "" && len(nodes) > atoi(r.max) || r.min != "" && len(nodes) < atoi(r.min) {
		d.AddFault(key, "list has %d items; it must have %s", len(nodes), r.bounds())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(nodes), len(nodes)))
	for i, item := range nodes {
		child := key + "[" + strconv.Itoa(i) + "]"
		d.at[child] = item.GetToken().Position
		if m, ok := item.(*ast.MappingNode); ok && len(m.Values) > 0 {
			d.at[child] = m.Values[0].Key.GetToken().Position
		}
		d.value(child, item, v.Index(i), rule{})
	}
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}
