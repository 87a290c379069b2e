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

// Limits of a file, which also bound the number of faults. The time of the parser is
// quadratic in the number of keys and in the depth of nesting: 20,000 keys take 1 s,
// 20,000 nested lists 0.4 s.
const (
	MaxBytes     = 256 << 10
	maxLines     = 8192
	maxLineBytes = 4096
	maxBrackets  = 4096
)

// Decoder decodes a file into a struct and collects all faults. Only the parser of
// the YAML library is used, because its decoder stops at the first fault.
type Decoder struct {
	file      string
	faults    []Fault
	positions map[string]*token.Position // positions of the keys in the file
	invalid   map[string]bool            // keys that could not be decoded; constraints on them are not checked
	decoding  bool
	scalars   map[reflect.Type]Scalar
}

// NewDecoder returns a decoder for the file with this name. It decodes durations,
// addresses and the given scalar types.
func NewDecoder(file string, scalars ...Scalar) *Decoder {
	d := &Decoder{file: file, positions: map[string]*token.Position{}, invalid: map[string]bool{}, scalars: map[reflect.Type]Scalar{}}
	for _, s := range append([]Scalar{durationScalar, addressScalar}, scalars...) {
		d.scalars[s.goType] = s
	}
	return d
}

// Faults returns the faults as an error, or nil when there are none.
func (d *Decoder) Faults() error { return newError(d.faults) }

// Empty reports whether the file held no key, for example because it could not
// be parsed.
func (d *Decoder) Empty() bool { return len(d.positions) == 0 }

// Invalid reports whether one of the keys could not be decoded, so that
// constraints that involve it cannot be checked.
func (d *Decoder) Invalid(keys ...string) bool {
	for _, key := range keys {
		if d.invalid[key] {
			return true
		}
	}
	return false
}

// Has reports whether the file holds the key.
func (d *Decoder) Has(key string) bool { return d.positions[key] != nil }

// AddFault records a fault at a key, or at the nearest enclosing key that the file
// holds. During Decode the key is also marked as invalid.
func (d *Decoder) AddFault(key, format string, args ...any) {
	if d.decoding {
		d.invalid[key] = true
	}
	f := Fault{File: d.file, Line: 1, Column: 1, Key: key, Detail: fmt.Sprintf(format, args...)}
	for enclosing := key; enclosing != ""; enclosing = parentKey(enclosing) {
		if p := d.positions[enclosing]; p != nil {
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

// Read returns the content of a file. It stops after MaxBytes+1 bytes, so that
// Decode rejects a file that is too large.
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

// checkSize reports a file that exceeds the limits and would take the parser too
// long.
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
	d.AddFault("", "file is too large: read %d bytes, %d lines, %d bytes in the longest line, and %d opening brackets; the limits are %d, %d, %d and %d", len(data), lines, longest, brackets, MaxBytes, maxLines, maxLineBytes, maxBrackets)
	return false
}

// parse returns the only document of the file. A panic of the parser on a malformed
// file is reported as a fault.
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
		var syntaxErr yaml.Error
		if errors.As(err, &syntaxErr) {
			fault.Detail = syntaxErr.GetMessage()
			if t := syntaxErr.GetToken(); t != nil && t.Position != nil {
				fault.Line, fault.Column = t.Position.Line, t.Position.Column
			}
		}
		d.faults = append(d.faults, fault)
		return nil
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.AddFault("", "file must hold exactly one document with content; documents found: %d", len(f.Docs))
		return nil
	}
	return f.Docs[0].Body
}

// Decode decodes data into the struct that v points to. After a fault the struct
// may be filled in part, and the caller must discard it.
func (d *Decoder) Decode(data []byte, v any) {
	if !d.checkSize(data) {
		return
	}
	body := d.parse(data)
	if body == nil {
		return
	}
	d.decoding = true
	d.decodeValue("", body, reflect.ValueOf(v).Elem(), rule{})
	d.decoding = false
}

// decodeValue decodes a node into v.
func (d *Decoder) decodeValue(key string, n ast.Node, v reflect.Value, r rule) {
	if _, ok := d.scalars[v.Type()]; ok {
		d.decodeScalar(key, n, v, r)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(key, n, v)
	case reflect.Slice:
		d.decodeSequence(key, n, v, r)
	default:
		d.decodeScalar(key, n, v, r)
	}
}

// decodeMapping decodes a node into a struct. An empty value counts as an empty
// mapping, so that a section whose keys are all commented out is valid.
func (d *Decoder) decodeMapping(key string, n ast.Node, v reflect.Value) {
	present := map[string]bool{}
	switch n := n.(type) {
	case *ast.NullNode:
	case ast.MapNode:
		for iter := n.MapRange(); iter.Next(); {
			name, ok := iter.Key().(*ast.StringNode)
			if !ok {
				d.positions[childKey(key, iter.Key().String())] = iter.Key().GetToken().Position
				d.AddFault(childKey(key, iter.Key().String()), "keys must be strings")
				continue
			}
			child := childKey(key, name.Value)
			duplicate := present[name.Value]
			if !duplicate {
				d.positions[child] = name.GetToken().Position
			}
			present[name.Value] = true
			field, ok := v.Type().FieldByName(name.Value)
			switch {
			case duplicate:
				d.faults = append(d.faults, Fault{d.file, name.GetToken().Position.Line, name.GetToken().Position.Column, child, "duplicate key"})
			case !ok:
				d.AddFault(child, "unknown key; known keys are %s", strings.Join(fieldNames(v.Type()), ", "))
			default:
				d.decodeValue(child, iter.Value(), v.FieldByIndex(field.Index), parseRule(field))
			}
		}
	default:
		d.AddFault(key, "must be a mapping of keys, not %s", describeNode(n))
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if parseRule(field).required && !present[field.Name] {
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

// decodeSequence decodes a node into a slice. The bounds of the rule apply to its
// length.
func (d *Decoder) decodeSequence(key string, n ast.Node, v reflect.Value, r rule) {
	var nodes []ast.Node
	switch n := n.(type) {
	case *ast.NullNode:
	case *ast.SequenceNode:
		nodes = n.Values
	default:
		d.AddFault(key, "must be a list, not %s", describeNode(n))
		return
	}
	if r.max != "" && len(nodes) > lengthBound(r.max) || r.min != "" && len(nodes) < lengthBound(r.min) {
		d.AddFault(key, "list has %d items; it must have %s", len(nodes), r.bounds())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(nodes), len(nodes)))
	for i, item := range nodes {
		child := key + "[" + strconv.Itoa(i) + "]"
		d.positions[child] = item.GetToken().Position
		if m, ok := item.(*ast.MappingNode); ok && len(m.Values) > 0 {
			d.positions[child] = m.Values[0].Key.GetToken().Position
		}
		d.decodeValue(child, item, v.Index(i), rule{})
	}
}

func lengthBound(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}
