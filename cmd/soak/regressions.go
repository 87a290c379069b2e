package main

// regression is a seed that has failed once.
type regression struct {
	seed  uint64
	cause string
}

// regressions are all seeds that have failed, with the cause. Processes and
// the network do not repeat exactly, so a seed is a likely way to a fault and
// not a sure one; the tests that docs/incidents names are sure.
var regressions = []regression{
	{103, "ends of a worker's new life were forgotten unread"},
	{121, "SIGHUP ended a process during its start"},
	{140, "a start was refused as old before the end of its run was known"},
	{142, "ends of a worker's new life were forgotten unread"},
	{145, "the stand-in ended a gang in part"},
	{149, "SIGHUP ended a process during its start"},
	{150, "the same"},
	{203, "the same"},
	{315, "a start was refused as old before the end of its run was known"},
	{431, "a run that had ended in a worker's later life was taken for lost with the earlier one"},
	{724, "a submission whose write was not answered was refused by the entry that it was relayed to, and ran"},
}
