package event

import "github.com/rs/zerolog"

// Events of the entries that serve jobs made of steps, and of their leader.
const (
	QueueStarted         Event = 1100
	QueueStopping        Event = 1101
	QueueStopped         Event = 1102
	QueueAccepted        Event = 1110
	QueueRefused         Event = 1111
	QueueCancelled       Event = 1112
	QueueUnknown         Event = 1113
	QueueRelayed         Event = 1114
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
	LeaderPlaced         Event = 1160
	LeaderStopped        Event = 1161
	LeaderRunEnded       Event = 1162
	LeaderRefused        Event = 1163
	LeaderJobEnded       Event = 1164
	LeaderStray          Event = 1165
	LeaderJob            Event = 1166
	LeaderWorkerSeen     Event = 1170
	LeaderWorkerLost     Event = 1171
	LeaderWorkerAvoided  Event = 1172
	LeaderMachineOrdered Event = 1180
	LeaderMachineFailed  Event = 1181
	LeaderAdvice         Event = 1182
	LeaderWave           Event = 1183
)

var _ = define(map[Event]Definition{
	QueueStarted:         {"QueueStarted", zerolog.InfoLevel, "An entry that serves jobs made of steps has started."},
	QueueStopping:        {"QueueStopping", zerolog.InfoLevel, "The entry has received SIGTERM: it is not ready any more, and finishes what is in progress."},
	QueueStopped:         {"QueueStopped", zerolog.InfoLevel, "The entry has ended."},
	QueueAccepted:        {"QueueAccepted", zerolog.InfoLevel, "A job was accepted and is recorded."},
	QueueRefused:         {"QueueRefused", zerolog.InfoLevel, "A request was refused; nothing has run."},
	QueueCancelled:       {"QueueCancelled", zerolog.InfoLevel, "The cancellation of a job is recorded."},
	QueueUnknown:         {"QueueUnknown", zerolog.WarnLevel, "It is not known whether a request took effect."},
	QueueRelayed:         {"QueueRelayed", zerolog.InfoLevel, "A request was passed to another entry, because this one does not reach the store."},
	QueueConfigured:      {"QueueConfigured", zerolog.InfoLevel, "A configuration is in force at this entry."},
	QueueConfigBad:       {"QueueConfigBad", zerolog.ErrorLevel, "An operators' document cannot be read; the earlier one stays in force."},
	QueueDomainOut:       {"QueueDomainOut", zerolog.InfoLevel, "A failure domain is taken out."},
	QueueDomainIn:        {"QueueDomainIn", zerolog.InfoLevel, "A failure domain is taken back."},
	QueueStoreLost:       {"QueueStoreLost", zerolog.WarnLevel, "The copy of the store cannot be kept up to date."},
	QueueStoreBack:       {"QueueStoreBack", zerolog.InfoLevel, "The copy of the store is up to date again."},
	QueueRecordBad:       {"QueueRecordBad", zerolog.ErrorLevel, "A record in the store cannot be read and is passed over."},
	QueueReload:          {"QueueReload", zerolog.InfoLevel, "SIGHUP: the settings file was read again."},
	NodeNoFigures:        {"NodeNoFigures", zerolog.WarnLevel, "The figures of a process cannot be served."},
	NodePanic:            {"NodePanic", zerolog.ErrorLevel, "A call of another process failed in an unexpected way; it is ended, and the process goes on."},
	LeaderElected:        {"LeaderElected", zerolog.InfoLevel, "This entry has become the leader."},
	LeaderLost:           {"LeaderLost", zerolog.WarnLevel, "This entry is not the leader any more."},
	LeaderResigned:       {"LeaderResigned", zerolog.InfoLevel, "This entry has given the lead up."},
	LeaderCommitFailed:   {"LeaderCommitFailed", zerolog.WarnLevel, "A commit of progress got no answer; it is repeated."},
	LeaderPlaced:         {"LeaderPlaced", zerolog.InfoLevel, "A run is recorded and ordered on a worker."},
	LeaderStopped:        {"LeaderStopped", zerolog.InfoLevel, "A run is being stopped."},
	LeaderRunEnded:       {"LeaderRunEnded", zerolog.InfoLevel, "The end of a run is taken note of."},
	LeaderRefused:        {"LeaderRefused", zerolog.InfoLevel, "A worker does not carry out a start."},
	LeaderJobEnded:       {"LeaderJobEnded", zerolog.InfoLevel, "A job is final."},
	LeaderStray:          {"LeaderStray", zerolog.WarnLevel, "A worker has a run that is not recorded on it; it is stopped."},
	LeaderJob:            {"LeaderJob", zerolog.InfoLevel, "The leader has taken a job over: its shape, and the time in which it should be done."},
	LeaderWorkerSeen:     {"LeaderWorkerSeen", zerolog.InfoLevel, "A worker is there."},
	LeaderWorkerLost:     {"LeaderWorkerLost", zerolog.WarnLevel, "A worker is gone, or the leases of its runs have lapsed; its runs are taken for ended."},
	LeaderWorkerAvoided:  {"LeaderWorkerAvoided", zerolog.WarnLevel, "A worker gets no tasks for a while, because its runs failed or stand still."},
	LeaderMachineOrdered: {"LeaderMachineOrdered", zerolog.InfoLevel, "A machine was ordered to move or to go down for its upkeep."},
	LeaderMachineFailed:  {"LeaderMachineFailed", zerolog.WarnLevel, "An order for a machine, or the reading of the machines, failed."},
	LeaderAdvice:         {"LeaderAdvice", zerolog.InfoLevel, "The advice service named the workers that may run a step."},
	LeaderWave:           {"LeaderWave", zerolog.InfoLevel, "The state of a wave of upkeep was told to operators."},
})
