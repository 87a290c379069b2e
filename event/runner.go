package event

import "github.com/rs/zerolog"

// Events of the agent beside a worker that runs steps.
const (
	RunnerStarted     Event = 1000
	RunnerStopped     Event = 1001
	RunnerAttached    Event = 1010
	RunnerDetached    Event = 1011
	RunnerWorker      Event = 1020
	RunnerWorkerLeft  Event = 1021
	RunnerWorkerState Event = 1022
	RunnerStart       Event = 1030
	RunnerStop        Event = 1031
	RunnerPace        Event = 1032
	RunnerEnded       Event = 1033
	RunnerCallFailed  Event = 1040
	RunnerStoreFailed Event = 1041
)

var _ = define(map[Event]Definition{
	RunnerStarted:     {"RunnerStarted", zerolog.InfoLevel, "An agent beside a worker that runs steps has started."},
	RunnerStopped:     {"RunnerStopped", zerolog.InfoLevel, "Such an agent ends; its worker keeps its runs until their leases lapse."},
	RunnerAttached:    {"RunnerAttached", zerolog.InfoLevel, "The agent has a stream to the leader."},
	RunnerDetached:    {"RunnerDetached", zerolog.WarnLevel, "The stream to the leader has ended; leases are not extended until there is another."},
	RunnerWorker:      {"RunnerWorker", zerolog.InfoLevel, "A new incarnation of the worker has announced itself."},
	RunnerWorkerLeft:  {"RunnerWorkerLeft", zerolog.InfoLevel, "The worker has left; its runs have ended."},
	RunnerWorkerState: {"RunnerWorkerState", zerolog.InfoLevel, "The worker drains, or takes tasks again."},
	RunnerStart:       {"RunnerStart", zerolog.InfoLevel, "The worker has answered an order to start a run."},
	RunnerStop:        {"RunnerStop", zerolog.InfoLevel, "The worker has answered an order to stop a run."},
	RunnerPace:        {"RunnerPace", zerolog.InfoLevel, "The worker has answered an order to pace a run."},
	RunnerEnded:       {"RunnerEnded", zerolog.InfoLevel, "The worker lists a run as ended."},
	RunnerCallFailed:  {"RunnerCallFailed", zerolog.WarnLevel, "The worker did not answer a call; the call may be carried out later, until the worker has seen a higher fence."},
	RunnerStoreFailed: {"RunnerStoreFailed", zerolog.WarnLevel, "The agent cannot read who the leader is."},
})
