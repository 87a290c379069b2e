package event

import "github.com/rs/zerolog"

// Events of the entry process.
const (
	EntryStarted     Event = 100
	EntryStopping    Event = 101
	EntryStopped     Event = 102
	PlacementTaken   Event = 110
	PlacementLost    Event = 111
	JobStartRecorded Event = 120
	JobRunning       Event = 121
	JobFinished      Event = 122
	JobRequeued      Event = 123
	JobStopping      Event = 124
	JobRejected      Event = 125
	AttemptFenced    Event = 126
	AgentAppeared    Event = 130
	AgentMissing     Event = 131
	WorkerSetAside   Event = 132
)

var _ = define(map[Event]Definition{
	EntryStarted:     {"EntryStarted", zerolog.InfoLevel, "An entry process serves requests."},
	EntryStopping:    {"EntryStopping", zerolog.InfoLevel, "A graceful shutdown of an entry has begun."},
	EntryStopped:     {"EntryStopped", zerolog.InfoLevel, "An entry has finished all requests in progress and exits."},
	PlacementTaken:   {"PlacementTaken", zerolog.InfoLevel, "This entry has started to place jobs, with a new epoch."},
	PlacementLost:    {"PlacementLost", zerolog.WarnLevel, "This entry no longer places jobs; another entry may take over."},
	JobStartRecorded: {"JobStartRecorded", zerolog.InfoLevel, "The start of an attempt is recorded in the store."},
	JobRunning:       {"JobRunning", zerolog.InfoLevel, "All members of a gang are running."},
	JobFinished:      {"JobFinished", zerolog.InfoLevel, "A job has reached a final state."},
	JobRequeued:      {"JobRequeued", zerolog.InfoLevel, "A job was queued again after an attempt ended."},
	JobStopping:      {"JobStopping", zerolog.InfoLevel, "The members of an attempt are being stopped."},
	JobRejected:      {"JobRejected", zerolog.WarnLevel, "A queued job ended without running."},
	AttemptFenced:    {"AttemptFenced", zerolog.InfoLevel, "All entries have agreed not to renew an attempt any more."},
	AgentAppeared:    {"AgentAppeared", zerolog.InfoLevel, "An agent announced itself for the first time or with a new boot."},
	AgentMissing:     {"AgentMissing", zerolog.WarnLevel, "An agent has sent no heartbeat within MemberFresh."},
	WorkerSetAside:   {"WorkerSetAside", zerolog.WarnLevel, "Several consecutive tasks failed on a worker; it temporarily gets no work."},
})
