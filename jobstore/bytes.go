package jobstore

import "github.com/rosemarysill/rosemarysill/work"

const (
	// taskBytes is the memory of a task in the records of an entry that leads: its progress in
	// the cache and that of the leader.
	taskBytes = 320
	// stepBytes is the memory of a step without its strings.
	stepBytes = 256
	// jobBytes is the memory of a job without its steps and strings.
	jobBytes = 1 << 10
)

// Bytes returns an estimate of the memory that the records of a job take in an entry.
func Bytes(j *work.Job) int64 {
	n := int64(jobBytes + len(j.Spec))
	tasks := 0
	for _, s := range j.Steps {
		n += int64(stepBytes + len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + 8*len(s.DependsOn))
		tasks += s.Count
	}
	return n + int64(tasks*j.NumOccurrences())*taskBytes
}
