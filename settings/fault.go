package settings

import (
	"errors"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/form"
	"github.com/rs/zerolog"
)

// Fault is one fault in a file.
type Fault = form.Fault

// Error holds all faults in a file.
type Error = form.Error

// LogResult logs that the settings of a file were read, or each of its faults.
func LogResult(log zerolog.Logger, file string, err error) {
	var faults *Error
	switch {
	case err == nil:
		event.SettingsRead.Log(log).Str("File", file).Send()
	case errors.As(err, &faults):
		for _, f := range faults.Faults {
			event.SettingsFault.Log(log).Str("File", f.File).Int("Line", f.Line).Int("Column", f.Column).Str("Key", f.Key).Str("Detail", f.Detail).Send()
		}
	default:
		event.SettingsFault.Log(log).Str("File", file).Err(err).Send()
	}
}
