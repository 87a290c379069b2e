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
	EntryStopped:     {"EntryStopped", zerolog.InfoLevel, "An entry has finished all requests in progress and ends."},
	PlacementTaken:   {"PlacementTaken", zerolog.InfoLevel, "This entry places jobs from now on, with a new epoch."},
	PlacementLost:    {"PlacementLost", zerolog.WarnLevel, "This entry no longer places jobs; another may take over."},
	JobStartRecorded: {"JobStartRecorded", zerolog.InfoLevel, "The start of an attempt is recorded in the store."},
	JobRunning:       {"JobRunning", zerolog.InfoLevel, "All members of a gang run."},
	JobFinished:      {"JobFinished", zerolog.InfoLevel, "A job has reached a final state."},
	JobRequeued:      {"JobRequeued", zerolog.InfoLevel, "A job waits again after an attempt ended."},
	JobStopping:      {"JobStopping", zerolog.InfoLevel, "The members of an attempt are being stopped."},
	JobRejected:      {"JobRejected", zerolog.WarnLevel, "A waiting job was ended without running."},
	AttemptFenced:    {"AttemptFenced", zerolog.InfoLevel, "All entries have agreed to renew an attempt no more."},
	AgentAppeared:    {"AgentAppeared", zerolog.InfoLevel, "An agent announced itself, or announced a new boot."},
	AgentMissing:     {"AgentMissing", zerolog.WarnLevel, "An agent has sent no heartbeat within MemberFresh."},
	WorkerSetAside:   {"WorkerSetAside", zerolog.WarnLevel, "A worker failed several tasks in a row and gets no work for a while."},
})
