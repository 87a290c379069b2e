package event

import "github.com/rs/zerolog"

// Events of the agent process.
const (
	AgentStarted      Event = 200
	AgentLeaving      Event = 201
	AgentStopped      Event = 202
	AgentEntryRefused Event = 210
)

var _ = define(map[Event]Definition{
	AgentStarted:      {"AgentStarted", zerolog.InfoLevel, "An agent announces its upstream or worker."},
	AgentLeaving:      {"AgentLeaving", zerolog.InfoLevel, "An agent refuses new work and finishes what is in progress."},
	AgentStopped:      {"AgentStopped", zerolog.InfoLevel, "An agent has ended."},
	AgentEntryRefused: {"AgentEntryRefused", zerolog.WarnLevel, "The address of an entry cannot be used."},
})
