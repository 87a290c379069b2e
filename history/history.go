// Package history puts the life of a job together from the logs of several
// processes.
package history

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Line is a log line about a job.
type Line struct {
	Time   time.Time
	Source string // file
	Name   string // of the event
	Fields []Field
}

// Field is a field of a log line in its order of appearance.
type Field struct {
	Name  string
	Value string
}

// Reader collects the lines about one job, or all lines.
type Reader struct {
	ID    string // of the job; empty for all lines
	Lines []Line
	Bad   int // lines that begin a JSON object and cannot be read
}

// Read reads a log. What stands before the object on a line, as a prefix by a
// log collector, is kept as its source.
func (r *Reader) Read(name string, from io.Reader) error {
	s := bufio.NewScanner(from)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		line, err := parse([]byte(text[i:]))
		if err != nil {
			r.Bad++
			continue
		}
		if r.ID == "" || line.Value("Job") == r.ID {
			line.Source = cmp.Or(strings.Join(strings.Fields(text[:i]), " "), name)
			r.Lines = append(r.Lines, line)
		}
	}
	return errors.Wrap(s.Err(), name)
}

// ReadFiles reads logs from files.
func (r *Reader) ReadFiles(names []string) error {
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = r.Read(name, f)
		_ = f.Close() // nothing was written, so an error is harmless
		if err != nil {
			return err
		}
	}
	return nil
}

func parse(data []byte) (Line, error) {
	var l Line
	d := json.NewDecoder(bytes.NewReader(data))
	if _, err := d.Token(); err != nil {
		return l, err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return l, err
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, err
		}
		name, text := fmt.Sprint(key), strings.Trim(string(raw), `"`)
		switch name {
		case "time":
			if l.Time, err = time.Parse(time.RFC3339Nano, text); err != nil {
				return l, err
			}
		case "Name":
			l.Name = text
		case "level", "Event":
		default:
			l.Fields = append(l.Fields, Field{name, text})
		}
	}
	return l, nil
}

// Value returns the value of a field as it is written, or an empty string.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Print writes the lines in the order of their times.
func (r *Reader) Print(w io.Writer) error {
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range r.Lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			if f.Name != "Job" && f.Value != "" {
				fmt.Fprintf(&fields, " %s=%s", f.Name, f.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%s %-16s%s  [%s]\n", l.Time.Format("15:04:05.000"), l.Name, fields.String(), l.Source); err != nil {
			return err
		}
	}
	return nil
}
