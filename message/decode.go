// Package message holds the form of HTTP messages between callers or operators
// and an entry: strict reading of JSON, and answers that carry a result code,
// their length and their hash.
package message

import (
	"bytes"
	"encoding"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// Fault is one thing that is wrong with a message. Key is the path of the
// field, empty for the message as a whole.
type Fault struct {
	Key     string
	Problem string
}

// Faults is a list of faults.
type Faults []Fault

// maxFaults bounds the faults that one answer reports.
const maxFaults = 64

// Add appends a fault unless the list is full. A field that has a fault
// already, or is part of one that has, gets no second one, so that checks of
// values can run after those of types.
func (f *Faults) Add(key, format string, args ...any) {
	if len(*f) >= maxFaults {
		return
	}
	for _, known := range *f {
		if known.Key == "" || key == known.Key || strings.HasPrefix(key, known.Key+".") || strings.HasPrefix(key, known.Key+"[") {
			return
		}
	}
	*f = append(*f, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Between adds a fault unless n is between least and most.
func (f *Faults) Between(key string, n, least, most int) {
	if n < least || n > most {
		f.Add(key, "is %d, not between %d and %d", n, least, most)
	}
}

// String returns the faults on one line.
func (f Faults) String() string {
	parts := make([]string, 0, len(f))
	for _, fault := range f {
		if fault.Key == "" {
			parts = append(parts, fault.Problem)
			continue
		}
		parts = append(parts, fault.Key+": "+fault.Problem)
	}
	return strings.Join(parts, "; ")
}

// Err returns nil for no faults, else an InvalidRequest that lists them.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return rosemarysill.NewError(rosemarysill.InvalidRequest, "%s", f)
}

var idType = reflect.TypeFor[uuid.UUID]()

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// Decode reads one JSON value into the struct that v points to and returns all
// faults: syntax, unknown and duplicate keys, keys in another case, and values
// of a wrong type or out of range. When there are faults, v holds what could
// be read and is only good for echoing an identifier.
func Decode(data []byte, v any) Faults {
	var faults Faults
	if !utf8.Valid(data) {
		faults.Add("", "the message is not valid UTF-8")
		return faults
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		faults.Add("", "the message is not one JSON value: %s", err)
		return faults
	}
	check(&faults, "", raw, reflect.TypeOf(v).Elem())
	if err := json.Unmarshal(data, v); err != nil && len(faults) == 0 {
		faults.Add("", "%s", err)
	}
	return faults
}

// check compares the syntactically valid value raw with the type t.
func check(faults *Faults, key string, raw json.RawMessage, t reflect.Type) {
	raw = bytes.TrimSpace(raw)
	if reflect.PointerTo(t).Implements(textType) {
		checkText(faults, key, raw, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		checkStruct(faults, key, raw, t)
	case reflect.Slice:
		if string(raw) == "null" { // how Go clients encode an empty list
			return
		}
		if t.Elem().Kind() == reflect.Uint8 {
			checkBytes(faults, key, raw)
			return
		}
		checkSlice(faults, key, raw, t.Elem())
	case reflect.String:
		if raw[0] != '"' {
			faults.Add(key, "is not a string")
		}
	case reflect.Bool:
		if s := string(raw); s != "true" && s != "false" {
			faults.Add(key, "is not true or false")
		}
	case reflect.Int, reflect.Int64:
		if _, err := strconv.ParseInt(string(raw), 10, 64); err != nil {
			faults.Add(key, "is not a whole number in range")
		}
	case reflect.Uint64:
		if _, err := strconv.ParseUint(string(raw), 10, 64); err != nil {
			faults.Add(key, "is not a whole number of 0 or more in range")
		}
	default:
		faults.Add(key, "cannot be set in a message")
	}
}

func checkText(faults *Faults, key string, raw json.RawMessage, t reflect.Type) {
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		faults.Add(key, "is not a string")
		return
	}
	err := reflect.New(t).Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s))
	// Other spellings of an identifier would make two of one.
	if err != nil || (t == idType && len(s) != len(uuid.Nil.String())) {
		faults.Add(key, "is malformed")
	}
}

func checkBytes(faults *Faults, key string, raw json.RawMessage) {
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		faults.Add(key, "is not a string of base64")
		return
	}
	if _, err := base64.StdEncoding.DecodeString(s); err != nil {
		faults.Add(key, "is not base64")
	}
}

func checkSlice(faults *Faults, key string, raw json.RawMessage, elem reflect.Type) {
	var items []json.RawMessage
	if raw[0] != '[' || json.Unmarshal(raw, &items) != nil {
		faults.Add(key, "is not a list")
		return
	}
	for i, item := range items {
		if len(*faults) >= maxFaults {
			return
		}
		check(faults, fmt.Sprintf("%s[%d]", key, i), item, elem)
	}
}

func checkStruct(faults *Faults, key string, raw json.RawMessage, t reflect.Type) {
	if raw[0] != '{' {
		faults.Add(key, "is not an object")
		return
	}
	prefix := key
	if prefix != "" {
		prefix += "."
	}
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		faults.Add(key, "%s", err)
		return
	}
	for dec.More() && len(*faults) < maxFaults {
		tok, err := dec.Token()
		name, ok := tok.(string)
		var value json.RawMessage
		if err != nil || !ok || dec.Decode(&value) != nil {
			faults.Add(key, "is not a valid object")
			return
		}
		field, known := t.FieldByName(name)
		switch {
		case seen[name]:
			faults.Add(prefix+name, "is given twice")
		case !known || !field.IsExported() || field.Anonymous:
			faults.Add(prefix+shorten(name), "is not a known key")
		default:
			check(faults, prefix+name, value, field.Type)
		}
		seen[name] = true
	}
}

// shorten keeps a key of the sender from filling the answer and the log.
func shorten(name string) string {
	const most = 64
	if len(name) <= most {
		return name
	}
	return strings.ToValidUTF8(name[:most], "") + "…"
}
