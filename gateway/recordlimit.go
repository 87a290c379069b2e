package gateway

import (
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// recordDivisor is the ratio of the memory of the smallest entry to that of the records of
	// jobs, which each entry holds.
	recordDivisor = 5
	// defaultMemoryMB applies if the settings do not state the memory.
	defaultMemoryMB = 1024
	// accountDivisor is the ratio of that limit to the one of a client account.
	accountDivisor = 2
	// unseenTime is the time after which a job that was written appears in the cache at the
	// latest, or was not written.
	unseenTime = 5 * time.Second
)

// recordLimit bounds the memory of the records of jobs. It includes the jobs that this entry
// has written and that its cache does not show yet, and as many at each other entry.
type recordLimit struct {
	mu     sync.Mutex
	unseen map[string]unseenJob
}

type unseenJob struct {
	account string
	bytes   int64
	until   time.Time
}

// admitRecords reports whether there is memory for the records of a job, and reserves it until
// the cache shows the job.
func (g *Gateway) admitRecords(j *work.Job, now time.Time) bool {
	l := &g.records
	l.mu.Lock()
	defer l.mu.Unlock()
	n := jobstore.Bytes(j)
	total, ofAccount := g.cfg.Cache.RecordBytes(j.Account)
	var unseen, unseenOfAccount int64
	for id, u := range l.unseen {
		if _, seen := g.cfg.Cache.Job(id); seen || id == j.ID || now.After(u.until) {
			delete(l.unseen, id)
			continue
		}
		unseen += u.bytes
		if u.account == j.Account {
			unseenOfAccount += u.bytes
		}
	}
	limit, entries := g.recordBytes(), int64(1)
	if len(l.unseen) > 0 { // a single job is not refused because of what other entries may admit
		entries = max(int64(len(g.cfg.Cache.Entries())), 1)
	}
	if total+entries*(unseen+n) > limit || ofAccount+entries*(unseenOfAccount+n) > limit/accountDivisor {
		return false
	}
	l.unseen[j.ID] = unseenJob{j.Account, n, now.Add(unseenTime)}
	return true
}

// recordBytes returns the limit in bytes.
func (g *Gateway) recordBytes() int64 {
	memoryMB := g.cfg.MemoryMB
	for _, e := range g.cfg.Cache.Entries() {
		if e.MemoryMB > 0 {
			memoryMB = min(memoryMB, e.MemoryMB)
		}
	}
	return memoryMB << 20 / recordDivisor
}

// recordsFull returns the refusal of a job for whose records there is no memory.
func (g *Gateway) recordsFull() error {
	return rosemarysill.NewError(rosemarysill.QueueFull, "the limit of %d bytes of jobs on record is reached, or half of it by the client account", g.recordBytes())
}
