package event

import "github.com/rs/zerolog"

// Events of settings and operators' documents.
const (
	SettingsRead  Event = 800
	SettingsFault Event = 801
)

var _ = define(map[Event]Definition{
	SettingsRead:  {"SettingsRead", zerolog.InfoLevel, "A file of settings is in force."},
	SettingsFault: {"SettingsFault", zerolog.ErrorLevel, "A file of settings has a fault; nothing of it is in force."},
})
