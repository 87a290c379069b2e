package jobstore

// markPrefix is the prefix of the marks of refused jobs. A mark has a key of its own: an
// entry of an earlier version takes any record under the key of a job for the job, and
// ignores keys that it does not know.
const markPrefix = "rs/refused/"

// MarkKey returns the key of the mark of a refused job. Each write of a job is guarded by
// the version of its mark, 0 if there is none, so a write that was sent before the job was
// refused cannot take effect afterwards.
func MarkKey(id string) string { return markPrefix + id }
