package event

import "github.com/rs/zerolog"

// Events of the entries that serve jobs consisting of steps, and of their leader.
const (
	QueueStarted         Event = 1100
	QueueStopping        Event = 1101
	QueueStopped         Event = 1102
	QueueAccepted        Event = 1110
	QueueRefused         Event = 1111
	QueueCancelled       Event = 1112
	QueueUnknown         Event = 1113
	QueueRelayed         Event = 1114
	QueueAnswered        Event = 1115
	QueueMarked          Event = 1116
	QueueNotServable     Event = 1117
	QueueConfigured      Event = 1120
	QueueConfigBad       Event = 1121
	QueueDomainOut       Event = 1122
	QueueDomainIn        Event = 1123
	QueueStoreLost       Event = 1130
	QueueStoreBack       Event = 1131
	QueueRecordBad       Event = 1132
	QueueReload          Event = 1133
	NodeNoFigures        Event = 1134
	NodePanic            Event = 1135
	LeaderElected        Event = 1150
	LeaderLost           Event = 1151
	LeaderResigned       Event = 1152
	LeaderCommitFailed   Event = 1153
	LeaderSuspended      Event = 1154
	LeaderContinued      Event = 1155
	LeaderPlaced         Event = 1160
	LeaderStopped        Event = 1161
	LeaderRunEnded       Event = 1162
	LeaderRefused        Event = 1163
	LeaderJobEnded       Event = 1164
	LeaderStray          Event = 1165
	LeaderJob            Event = 1166
	LeaderRunsOverlap    Event = 1167
	LeaderLateEnd        Event = 1168
	LeaderWorkerSeen     Event = 1170
	LeaderWorkerLost     Event = 1171
	LeaderWorkerAvoided  Event = 1172
	LeaderOvercommitted  Event = 1173
	LeaderWorkerCrashed  Event = 1174
	LeaderCrashWithdrawn Event = 1175
	LeaderCapacity       Event = 1176
	LeaderShrunk         Event = 1177
	LeaderJobGivenUp     Event = 1178
	LeaderWorkerSuspect  Event = 1179
	LeaderMachineOrdered Event = 1180
	LeaderMachineFailed  Event = 1181
	LeaderAdvice         Event = 1182
	LeaderWave           Event = 1183
	LeaderWorkerCleared  Event = 1184
	LeaderWorkerSpeed    Event = 1190
	LeaderSpeedsLoaded   Event = 1191
	LeaderSpeedsUnsaved  Event = 1192
	LeaderLoad           Event = 1193
)

var _ = define(map[Event]Definition{
	QueueStarted:         {"QueueStarted", zerolog.InfoLevel, "An entry that serves jobs consisting of steps has started."},
	QueueStopping:        {"QueueStopping", zerolog.InfoLevel, "The entry has received SIGTERM: it reports not ready and finishes the requests in progress."},
	QueueStopped:         {"QueueStopped", zerolog.InfoLevel, "The entry has stopped."},
	QueueAccepted:        {"QueueAccepted", zerolog.InfoLevel, "A job was accepted and recorded."},
	QueueRefused:         {"QueueRefused", zerolog.InfoLevel, "A request was refused and had no effect."},
	QueueCancelled:       {"QueueCancelled", zerolog.InfoLevel, "The cancellation of a job is recorded."},
	QueueUnknown:         {"QueueUnknown", zerolog.WarnLevel, "It is not known whether a request took effect."},
	QueueRelayed:         {"QueueRelayed", zerolog.InfoLevel, "A request was forwarded to another entry. Reason is StoreContactLost, or the code of the attempt at this entry; OwnVersion and Version are those of the configurations of this entry and of the other one."},
	QueueAnswered:        {"QueueAnswered", zerolog.InfoLevel, "The state of a job, or the number of pending jobs of a queue, was reported to a caller."},
	QueueMarked:          {"QueueMarked", zerolog.InfoLevel, "A job is about to be refused after a write of it without a reply, by the load, at the limit of jobs, or because another call for it was refused meanwhile: a mark in the store makes late writes fail. Accepted says that the job is on record; with a Cause the answer is that the outcome is unknown."},
	QueueNotServable:     {"QueueNotServable", zerolog.InfoLevel, "A job cannot be served under the load that the leader has published, and is refused once that is confirmed (QueueMarked). The line has the inputs of the decision and their age."},
	QueueConfigured:      {"QueueConfigured", zerolog.InfoLevel, "A configuration is in force at this entry."},
	QueueConfigBad:       {"QueueConfigBad", zerolog.ErrorLevel, "An operators' document cannot be decoded; the previous one stays in force."},
	QueueDomainOut:       {"QueueDomainOut", zerolog.InfoLevel, "A failure domain was taken out of service."},
	QueueDomainIn:        {"QueueDomainIn", zerolog.InfoLevel, "A failure domain was returned to service."},
	QueueStoreLost:       {"QueueStoreLost", zerolog.WarnLevel, "The local copy of the store's records, or the record of this entry, cannot be updated."},
	QueueStoreBack:       {"QueueStoreBack", zerolog.InfoLevel, "The local copy of the store's records is up to date again."},
	QueueRecordBad:       {"QueueRecordBad", zerolog.ErrorLevel, "A record in the store cannot be decoded and is ignored. No task of a job whose progress cannot be decoded is started."},
	QueueReload:          {"QueueReload", zerolog.InfoLevel, "The settings file was read again after SIGHUP."},
	NodeNoFigures:        {"NodeNoFigures", zerolog.WarnLevel, "The metrics of a process cannot be served."},
	NodePanic:            {"NodePanic", zerolog.ErrorLevel, "The handler of a call from another process panicked; the call ended, and the process continues."},
	LeaderElected:        {"LeaderElected", zerolog.InfoLevel, "This entry has become the leader."},
	LeaderLost:           {"LeaderLost", zerolog.WarnLevel, "This entry is no longer the leader."},
	LeaderResigned:       {"LeaderResigned", zerolog.InfoLevel, "This entry has stepped down as leader."},
	LeaderCommitFailed:   {"LeaderCommitFailed", zerolog.WarnLevel, "A commit of progress got no response; it is retried."},
	LeaderSuspended:      {"LeaderSuspended", zerolog.WarnLevel, "The lease of the leader has expired by its own clock. It orders nothing until it has renewed the lease."},
	LeaderContinued:      {"LeaderContinued", zerolog.InfoLevel, "A suspended leader has renewed its lease; no other entry has led meanwhile."},
	LeaderPlaced:         {"LeaderPlaced", zerolog.InfoLevel, "The start of a run is recorded, and the worker was asked to start it."},
	LeaderStopped:        {"LeaderStopped", zerolog.InfoLevel, "A run is being stopped. If it is preempted, For is the job for which it is stopped, Cost what the stop costs (docs/design/delay.md), and Preemptions how often the task has been preempted in the term of this leader."},
	LeaderRunEnded:       {"LeaderRunEnded", zerolog.InfoLevel, "The leader has processed the end of a run."},
	LeaderRefused:        {"LeaderRefused", zerolog.InfoLevel, "A worker refused to start a run. If it lists the run (Listed), an earlier call has started it, and the refusal has no effect."},
	LeaderJobEnded:       {"LeaderJobEnded", zerolog.InfoLevel, "A job has reached a final state."},
	LeaderStray:          {"LeaderStray", zerolog.WarnLevel, "A worker reports a run that is not recorded for it; the run is stopped. The line has the present run of the task and why an earlier one counts as ended."},
	LeaderJob:            {"LeaderJob", zerolog.InfoLevel, "The leader has taken over a job; the line has the shape of the job and the time in which it should finish."},
	LeaderRunsOverlap:    {"LeaderRunsOverlap", zerolog.ErrorLevel, "Two runs of a task are or were in progress at the same time: a worker reports one that is not the present run of the task."},
	LeaderLateEnd:        {"LeaderLateEnd", zerolog.WarnLevel, "A run that is not the present one of its task has ended as done; Applied says whether the task counts as done."},
	LeaderWorkerSeen:     {"LeaderWorkerSeen", zerolog.InfoLevel, "A worker has become available."},
	LeaderWorkerLost:     {"LeaderWorkerLost", zerolog.WarnLevel, "A worker has left, or the leases of its runs have expired; its runs count as ended."},
	LeaderWorkerAvoided:  {"LeaderWorkerAvoided", zerolog.WarnLevel, "A worker temporarily gets no tasks, because its runs failed or are stalled."},
	LeaderWorkerSuspect:  {"LeaderWorkerSuspect", zerolog.InfoLevel, "A worker will probably fail the next run: it gets one run at a time of jobs with attempts to spare, until one has worked. Why is the evidence."},
	LeaderWorkerCleared:  {"LeaderWorkerCleared", zerolog.InfoLevel, "A worker is not suspect any more. Why is the evidence."},
	LeaderOvercommitted:  {"LeaderOvercommitted", zerolog.ErrorLevel, "The runs that a worker reports exceed its capacity, and did so when the last task was placed there: a fault of this system. The line has what the leader knows about them."},
	LeaderCapacity:       {"LeaderCapacity", zerolog.InfoLevel, "The capacity that a worker announces has changed; the line has the earlier one and the runs there."},
	LeaderShrunk:         {"LeaderShrunk", zerolog.InfoLevel, "The capacity of a worker has shrunk below what its runs take: no fault. The runs go on, and the worker gets no tasks until they fit."},
	LeaderWorkerCrashed:  {"LeaderWorkerCrashed", zerolog.WarnLevel, "A worker has crashed; the line has the runs that were on it, their ages, and the crashes under each of their tasks."},
	LeaderCrashWithdrawn: {"LeaderCrashWithdrawn", zerolog.InfoLevel, "A crash of a worker does not count against a task, because other workers crashed at the same moment."},
	LeaderJobGivenUp:     {"LeaderJobGivenUp", zerolog.WarnLevel, "A job is given up because one of its tasks crashes the workers that start it; the line has the crashes with the ages of its runs."},
	LeaderLoad:           {"LeaderLoad", zerolog.DebugLevel, "The load of the fleet was published for the entries, which refuse jobs by it."},
	LeaderMachineOrdered: {"LeaderMachineOrdered", zerolog.InfoLevel, "A machine was requested to move or to shut down for maintenance."},
	LeaderMachineFailed:  {"LeaderMachineFailed", zerolog.WarnLevel, "A call to the machine manager failed, or a maintenance wave could not be recorded."},
	LeaderAdvice:         {"LeaderAdvice", zerolog.InfoLevel, "The advice service was asked which workers may run a step."},
	LeaderWave:           {"LeaderWave", zerolog.InfoLevel, "The state of a maintenance wave was reported to operators."},
	LeaderWorkerSpeed:    {"LeaderWorkerSpeed", zerolog.InfoLevel, "The class of a worker by its measured speed has changed; the line has the speed, relative to the mean of its service, and the weight of the evidence. Recent: by its speed in the last seconds, which differs from that before."},
	LeaderSpeedsLoaded:   {"LeaderSpeedsLoaded", zerolog.InfoLevel, "A new leader has read the speeds of workers that an earlier one recorded."},
	LeaderSpeedsUnsaved:  {"LeaderSpeedsUnsaved", zerolog.InfoLevel, "The speeds of workers could not be recorded; the leader tries again with the next ones."},
})
