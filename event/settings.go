package event

import "github.com/rs/zerolog"

// Events of settings and operators' documents.
const (
	SettingsRead  Event = 800
	SettingsFault Event = 801
)

var _ = define(map[Event]Definition{
	SettingsRead:  {"SettingsRead", zerolog.InfoLevel, "A settings file was read and is in force."},
	SettingsFault: {"SettingsFault", zerolog.ErrorLevel, "A settings file is invalid; none of its settings are in force."},
})
