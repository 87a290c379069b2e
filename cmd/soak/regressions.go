package main

// regression is a seed of a run that has failed.
type regression struct {
	seed  uint64
	cause string
}

// regressions are the seeds of all runs that have failed, with the cause. Timing of
// processes and network differs between runs, so a seed makes its failure likely
// but not certain. The tests named in docs/incidents reproduce it reliably.
var regressions = []regression{
	{103, "ends of runs in a new worker incarnation were discarded unread"},
	{121, "SIGHUP terminated a process that was still starting"},
	{140, "a start was refused as outdated before the end of the previous run was known"},
	{142, "ends of runs in a new worker incarnation were discarded unread"},
	{145, "the worker stand-in ended only some members of a gang"},
	{149, "SIGHUP terminated a process that was still starting"},
	{150, "SIGHUP terminated a process that was still starting"},
	{203, "SIGHUP terminated a process that was still starting"},
	{315, "a start was refused as outdated before the end of the previous run was known"},
	{431, "a run that ended in a later worker incarnation was counted as lost with the earlier one"},
	{724, "the store write of a submission was not answered, the entry it was relayed to refused it, and the job ran"},
}
