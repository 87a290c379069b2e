package event

import "github.com/rs/zerolog"

// Events of the agent process.
const (
	AgentStarted         Event = 200
	AgentLeaving         Event = 201
	AgentStopped         Event = 202
	AgentEntryRefused    Event = 210
	AgentEntryDropped    Event = 211
	AgentCallFailed      Event = 220
	AgentTaskRequest     Event = 230
	AgentRuntimeFailed   Event = 231
	AgentLeftoverStopped Event = 232
)

var _ = define(map[Event]Definition{
	AgentStarted:         {"AgentStarted", zerolog.InfoLevel, "An agent announces its upstream or worker."},
	AgentLeaving:         {"AgentLeaving", zerolog.InfoLevel, "An agent drains: it refuses new work and finishes the work in progress."},
	AgentStopped:         {"AgentStopped", zerolog.InfoLevel, "An agent has ended."},
	AgentEntryRefused:    {"AgentEntryRefused", zerolog.WarnLevel, "The address of an entry cannot be used."},
	AgentEntryDropped:    {"AgentEntryDropped", zerolog.InfoLevel, "An entry that is not in the settings does not respond any more; the agent sends it no more heartbeats."},
	AgentCallFailed:      {"AgentCallFailed", zerolog.WarnLevel, "A call ended without a response of the upstream."},
	AgentTaskRequest:     {"AgentTaskRequest", zerolog.DebugLevel, "The runtime has carried out a request about a task."},
	AgentRuntimeFailed:   {"AgentRuntimeFailed", zerolog.WarnLevel, "The runtime did not carry out a request; the request is retried."},
	AgentLeftoverStopped: {"AgentLeftoverStopped", zerolog.WarnLevel, "A task of an earlier boot of the agent is stopped before the agent announces itself."},
})
