package form

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rosemarysill/rosemarysill"
)

// Fault is one fault in a file. Key is the path of the key, for example
// "Timings.BeatEvery" or "Accounts[2].Name"; it is empty for a fault of the
// whole file.
type Fault struct {
	File   string
	Line   int
	Column int
	Key    string
	Detail string
}

// String returns the fault as "file:line:column: key: detail".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Detail)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Key, f.Detail)
}

// Error holds all faults in a file, ordered by line and column. Its code is
// InvalidSettings.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults as an error with a result code.
func (e *Error) Unwrap() error {
	return &rosemarysill.Error{Code: rosemarysill.InvalidSettings, Detail: e.Error()}
}

// newError sorts the faults and returns them as an error, or nil if there are none.
func newError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Column < faults[j].Column
	})
	return &Error{Faults: faults}
}
