package event

import "github.com/rs/zerolog"

// Events of the agent of a worker that runs steps.
const (
	RunnerStarted       Event = 1000
	RunnerStopped       Event = 1001
	RunnerAttached      Event = 1010
	RunnerDetached      Event = 1011
	RunnerWorker        Event = 1020
	RunnerWorkerLeft    Event = 1021
	RunnerWorkerState   Event = 1022
	RunnerWorkerLeaving Event = 1023
	RunnerNoListener    Event = 1024
	RunnerCapacity      Event = 1025
	RunnerCandidate     Event = 1026
	RunnerVerdict       Event = 1027
	RunnerReportIgnored Event = 1028
	RunnerReportInvalid Event = 1029
	RunnerStart         Event = 1030
	RunnerStop          Event = 1031
	RunnerPace          Event = 1032
	RunnerEnded         Event = 1033
	RunnerLapsed        Event = 1034
	RunnerNoCapacity    Event = 1035
	RunnerMoreEnded     Event = 1036
	RunnerCallFailed    Event = 1040
	RunnerStoreFailed   Event = 1041
)

var _ = define(map[Event]Definition{
	RunnerStarted:       {"RunnerStarted", zerolog.InfoLevel, "The agent of a worker that runs steps has started."},
	RunnerStopped:       {"RunnerStopped", zerolog.InfoLevel, "The agent of a worker that runs steps has stopped; the worker keeps its runs until their leases expire."},
	RunnerAttached:      {"RunnerAttached", zerolog.InfoLevel, "The agent has opened a stream to the leader."},
	RunnerDetached:      {"RunnerDetached", zerolog.WarnLevel, "The stream to the leader has ended; leases are not extended until a new stream is open."},
	RunnerWorker:        {"RunnerWorker", zerolog.InfoLevel, "A new incarnation of the worker has begun: it has announced itself and, if it replaces another, has replied."},
	RunnerWorkerLeft:    {"RunnerWorkerLeft", zerolog.InfoLevel, "The worker has ended, and its runs with it."},
	RunnerWorkerState:   {"RunnerWorkerState", zerolog.InfoLevel, "The worker has started to drain or to leave, or accepts tasks again."},
	RunnerWorkerLeaving: {"RunnerWorkerLeaving", zerolog.InfoLevel, "The worker has said that it is about to end; it gets no more tasks. RunnerWorkerLeft follows when nothing listens at its address."},
	RunnerNoListener:    {"RunnerNoListener", zerolog.WarnLevel, "Nothing listens at the worker's address; it gets no more tasks and no leases. Its runs count as ended when its next incarnation has confirmed or their leases have lapsed."},
	RunnerCapacity:      {"RunnerCapacity", zerolog.InfoLevel, "The capacity that the worker announces has changed."},
	RunnerCandidate:     {"RunnerCandidate", zerolog.InfoLevel, "A status report is about another incarnation than the current one. The worker is asked; the current one stays until the worker has replied as the other."},
	RunnerVerdict:       {"RunnerVerdict", zerolog.InfoLevel, "The reply of the worker to a call under the identifier of such an incarnation confirms or denies it, or decides nothing, so that the call is repeated."},
	RunnerReportIgnored: {"RunnerReportIgnored", zerolog.WarnLevel, "A status report of the current incarnation is older than the present one, or contradicts it in what does not change; it has no effect unless a series of such reports follows."},
	RunnerReportInvalid: {"RunnerReportInvalid", zerolog.WarnLevel, "A status report cannot be read or does not describe a worker; it was rejected."},
	RunnerStart:         {"RunnerStart", zerolog.InfoLevel, "The worker has replied to a request to start a run."},
	RunnerStop:          {"RunnerStop", zerolog.InfoLevel, "The worker has replied to a request to stop a run."},
	RunnerPace:          {"RunnerPace", zerolog.InfoLevel, "The worker has replied to a request to change the pace of a run."},
	RunnerEnded:         {"RunnerEnded", zerolog.InfoLevel, "The worker reports a run as ended."},
	RunnerLapsed:        {"RunnerLapsed", zerolog.WarnLevel, "The lease of a run has lapsed, and the worker, whose clock does not count the time for which its machine is suspended, still lists the run; the run is stopped."},
	RunnerNoCapacity:    {"RunnerNoCapacity", zerolog.InfoLevel, "The agent does not pass a start on, because it does not fit the capacity that the worker announces beside the runs there; if it is refused, the leader places the task elsewhere."},
	RunnerMoreEnded:     {"RunnerMoreEnded", zerolog.WarnLevel, "The worker has ended more runs than one reply lists, or has listed them all again (More is false). Until then no start is reported as refused, because the run may have ended."},
	RunnerCallFailed:    {"RunnerCallFailed", zerolog.WarnLevel, "The worker did not reply to a call; it may still carry the call out later, until it has received a higher fence."},
	RunnerStoreFailed:   {"RunnerStoreFailed", zerolog.WarnLevel, "The agent cannot read the leader record from the store."},
})
