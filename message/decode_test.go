package message

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

type inner struct {
	Count int
	Name  string
}

type sample struct {
	ID    uuid.UUID
	Name  string
	Flag  bool
	Body  []byte
	When  time.Time
	Size  uint64
	Inner inner
	List  []inner
}

// TestDecodeReportsAllFaults guards against requests that are understood
// differently than their sender meant them, and against one fault at a time.
func TestDecodeReportsAllFaults(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"whole":            {`{"ID":"00000000-0000-7000-8000-000000000001","Flag":true,"Body":"YQ==","Size":1,"List":[{"Count":-1}]}`, ""},
		"unknown key":      {`{"Nam":"x"}`, "Nam: is not a known key"},
		"other case":       {`{"name":"x"}`, "name: is not a known key"},
		"duplicate":        {`{"Name":"x","Name":"x"}`, "Name: is given twice"},
		"nested duplicate": {`{"List":[{},{"Count":1,"Count":2}]}`, "List[1].Count: is given twice"},
		"several": {
			`{"ID":7,"Name":1,"Flag":"x","Body":"?","When":"today","Size":-1,"Inner":{"Count":1.5,"X":0},"List":{}}`,
			"ID: is not a string; Name: is not a string; Flag: is not true or false; Body: is not base64; When: is malformed; " +
				"Size: is not a whole number of 0 or more in range; Inner.Count: is not a whole number in range; Inner.X: is not a known key; List: is not a list",
		},
		"not finite":    {`{"Inner":{"Count":NaN}}`, "the message is not one JSON value: invalid character 'N' looking for beginning of value"},
		"out of range":  {`{"Inner":{"Count":1e999}}`, "Inner.Count: is not a whole number in range"},
		"too large":     {`{"Size":18446744073709551616}`, "Size: is not a whole number of 0 or more in range"},
		"null":          {`{"Name":null,"Inner":null,"Flag":null}`, "Name: is not a string; Inner: is not an object; Flag: is not true or false"},
		"empty lists":   {`{"Body":null,"List":null}`, ""},
		"other ID":      {`{"ID":"urn:uuid:00000000-0000-7000-8000-000000000001"}`, "ID: is malformed"},
		"two values":    {`{} {}`, "the message is not one JSON value: invalid character '{' after top-level value"},
		"cut off":       {`{"Name":`, "the message is not one JSON value: unexpected end of JSON input"},
		"empty":         {``, "the message is not one JSON value: unexpected end of JSON input"},
		"a list":        {`[]`, "is not an object"},
		"not UTF-8":     {"{\"Name\":\"\xff\"}", "the message is not valid UTF-8"},
		"deeply nested": {`{"X":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`, "the message is not one JSON value: invalid character '[' exceeded max depth"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s sample
			require.Equal(t, c.want, Decode([]byte(c.text), &s).String())
		})
	}
}

// TestDecodeBoundsItsFaults guards against an answer, or a time, that grows with
// the faults of a message.
func TestDecodeBoundsItsFaults(t *testing.T) {
	var s sample
	faults := Decode([]byte(`{"List":[`+strings.Repeat(`{"Count":""},`, 100_000)+`{}]}`), &s)
	require.Len(t, faults, maxFaults)
	require.Less(t, len(Decode([]byte(`{"`+strings.Repeat("k", 100_000)+`":1}`), &s).String()), 200)
}

// FuzzDecode guards against a message that stops the process, and against one
// that is accepted although encoding it again gives other values.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"Name":"x","Name":"y"}`, `{"name":1}`, `{"Inner":{"Count":1e3}}`, `{"List":[{"Count":-9223372036854775808}]}`,
		`{"ID":"urn:uuid:00000000-0000-7000-8000-000000000001"}`, `{"When":"2030-01-01T00:00:00Z","Body":"YWI="}`, `[`, `"`, "\xff", `{"Size":00}`, `{"N\u0061me":"\ud800"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second sample
		if faults := Decode(data, &first); len(faults) > 0 {
			require.LessOrEqual(t, len(faults), maxFaults)
			return
		}
		again, err := json.Marshal(first)
		require.NoError(t, err)
		require.Empty(t, Decode(again, &second))
		require.Equal(t, first, second)
	})
}
