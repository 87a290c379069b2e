package main

// regression is a seed of a run that has failed.
type regression struct {
	seed     uint64
	earliest bool // the run has only the earliest kinds of faults, as the one that failed
	cause    string
}

// regressions are the seeds of all runs that have failed, with the cause. Timing of
// processes and network differs between runs, so a seed makes its failure likely
// but not certain. The tests named in docs/incidents reproduce it reliably.
var regressions = []regression{
	{103, true, "ends of runs in a new worker incarnation were discarded unread"},
	{121, true, "SIGHUP terminated a process that was still starting"},
	{140, true, "a start was refused as outdated before the end of the previous run was known"},
	{142, true, "ends of runs in a new worker incarnation were discarded unread"},
	{145, true, "the worker stand-in ended only some members of a gang"},
	{149, true, "SIGHUP terminated a process that was still starting"},
	{150, true, "SIGHUP terminated a process that was still starting"},
	{203, true, "SIGHUP terminated a process that was still starting"},
	{315, true, "a start was refused as outdated before the end of the previous run was known"},
	{431, true, "a run that ended in a later worker incarnation was counted as lost with the earlier one"},
	{724, true, "the store write of a submission was not answered, the entry it was relayed to refused it, and the job ran"},
}
