// Package entry is the process on an entry VM: it serves callers and
// operators, keeps the table of agents, and, while it holds the placement
// lease, places jobs on workers.
package entry
