package jobstore

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

// JobRecord is what the store holds of one job.
type JobRecord struct {
	Job             *work.Job
	JobVersion      uint64
	Progress        *work.Progress // nil until the leader has written it
	ProgressVersion uint64
	Cancelled       bool
}

// State is the state that callers see.
func (e JobRecord) State() work.State {
	switch {
	case e.Progress != nil && e.Progress.State.Final():
		return e.Progress.State
	case e.Cancelled:
		return work.Cancelled
	case e.Progress == nil:
		return work.Queued
	default:
		return e.Progress.State
	}
}

// Cache is an entry's local copy of the records.
type Cache struct {
	*Follower
	lead *Follower // of the leader's record alone
	log  zerolog.Logger

	mu        sync.Mutex
	jobs      map[string]*JobRecord
	rec       LeaderRecord
	recAt     uint64                  // version of the leader's record, 0 if there is none
	entries   map[string]LeaderRecord // present entries by name
	epoch     uint64
	epochAt   uint64
	changed   map[string]bool // jobs that the leader has not looked at
	notifying chan struct{}
}

// NewCache returns an empty cache.
func NewCache(s rosemarysill.TransactionalStore, log zerolog.Logger) *Cache {
	c := &Cache{
		log: log, jobs: make(map[string]*JobRecord), changed: make(map[string]bool), entries: make(map[string]LeaderRecord), notifying: make(chan struct{}, 1),
	}
	c.Follower = NewFollower(s, Prefix, c.applyChange, func(err error) {
		event.QueueStoreLost.Log(log).Str("Prefix", Prefix).Err(err).Send()
	}, func() {
		event.QueueStoreBack.Log(log).Str("Prefix", Prefix).Send()
	})
	c.pause = recordsGatherFor
	// A new leader, or none, ends the pause, so that a vacant lead is seen at once.
	c.lead = NewFollower(s, LeaderKey, func(rosemarysill.Change) { c.endPause() }, func(err error) {
		log.Debug().Err(err).Msg("the leader's record cannot be followed; the other records show it a second later")
	}, func() {})
	c.lead.wait = leaderWait
	return c
}

// Run follows the records until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	var lead sync.WaitGroup
	lead.Go(func() { c.lead.Run(ctx) })
	c.Follower.Run(ctx)
	lead.Wait()
}

// Changed receives a value after changes.
func (c *Cache) Changed() <-chan struct{} { return c.notifying }

// Job returns what is known of a job.
func (c *Cache) Job(id string) (JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.jobs[id]
	if !ok || e.Job == nil {
		return JobRecord{}, false
	}
	return *e, true
}

// Pending returns the number of jobs of a queue that have not begun. Jobs that
// wait for a time are not counted.
func (c *Cache) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.jobs {
		if e.Job != nil && e.Job.Queue == queue && !e.State().Final() && (e.Progress == nil || !e.Progress.Started()) {
			n++
		}
	}
	return n
}

// All returns all jobs and forgets which of them have changed.
func (c *Cache) All() map[string]JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.changed)
	all := make(map[string]JobRecord, len(c.jobs))
	for id, e := range c.jobs {
		if e.Job != nil {
			all[id] = *e
		}
	}
	return all
}

// TakeChanged returns the jobs that have changed since the last call.
func (c *Cache) TakeChanged() map[string]JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]JobRecord, len(c.changed))
	for id := range c.changed {
		if e, ok := c.jobs[id]; ok && e.Job != nil {
			out[id] = *e
		}
	}
	clear(c.changed)
	return out
}

// LeaderRecord returns the leader and the version of its record, 0 if there is none.
func (c *Cache) LeaderRecord() (LeaderRecord, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rec, c.recAt
}

// Epoch returns the latest epoch and the version of its record.
func (c *Cache) Epoch() (uint64, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.epochAt
}

// Len returns the number of jobs.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// applyChange takes a change of a record. A record that cannot be read is
// passed over.
func (c *Cache) applyChange(ch rosemarysill.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.apply(ch); err != nil {
		event.QueueRecordBad.Log(c.log).Str("Key", ch.Item.Key).Err(err).Send()
	}
	select {
	case c.notifying <- struct{}{}:
	default:
	}
}

func (c *Cache) apply(ch rosemarysill.Change) error {
	key, value := ch.Item.Key, ch.Item.Value
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return c.applyJob(id, ch)
	}
	if id, ok := strings.CutPrefix(key, progressPrefix); ok {
		return c.applyProgress(id, ch)
	}
	if id, ok := strings.CutPrefix(key, cancelPrefix); ok {
		c.entry(id).Cancelled = !ch.Deleted
		return nil
	}
	if name, ok := strings.CutPrefix(key, entryPrefix); ok {
		return c.applyEntry(name, ch)
	}
	switch {
	case key == LeaderKey && ch.Deleted:
		c.rec, c.recAt = LeaderRecord{}, 0
	case key == LeaderKey:
		rec, err := decodeLeader(value)
		c.rec, c.recAt = rec, ch.Item.Version
		return err
	case key == EpochKey && !ch.Deleted:
		e, err := DecodeEpoch(value)
		if err != nil {
			return err
		}
		c.epoch, c.epochAt = e, ch.Item.Version
	}
	return nil
}

func (c *Cache) applyEntry(name string, ch rosemarysill.Change) error {
	if ch.Deleted {
		delete(c.entries, name)
		return nil
	}
	rec, err := decodeLeader(ch.Item.Value)
	if err == nil {
		c.entries[name] = rec
	}
	return err
}

// Entries returns the present entries, the leader first.
func (c *Cache) Entries() []LeaderRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]LeaderRecord, 0, len(c.entries))
	for _, s := range c.entries {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b LeaderRecord) int {
		if lead := c.rec.Name; a.Name == lead || b.Name == lead {
			if a.Name == lead {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

func (c *Cache) entry(id string) *JobRecord {
	e, ok := c.jobs[id]
	if !ok {
		e = &JobRecord{}
		c.jobs[id] = e
	}
	c.changed[id] = true
	return e
}

func (c *Cache) applyJob(id string, ch rosemarysill.Change) error {
	if ch.Deleted {
		delete(c.jobs, id)
		return nil
	}
	j, err := DecodeJob(ch.Item.Value)
	if err != nil {
		return err
	}
	e := c.entry(id)
	e.Job, e.JobVersion = j, ch.Item.Version
	return nil
}

func (c *Cache) applyProgress(id string, ch rosemarysill.Change) error {
	if ch.Deleted {
		return nil // the job is deleted with it
	}
	p, err := decodeProgress(ch.Item.Value)
	if err != nil {
		return err
	}
	e := c.entry(id)
	e.Progress, e.ProgressVersion = p, ch.Item.Version
	return nil
}

// CloneProgress returns a deep copy of a job's progress, or a new one.
func (e JobRecord) CloneProgress() *work.Progress {
	if e.Progress == nil || !e.Progress.Valid(e.Job) {
		return work.NewProgress(e.Job)
	}
	p := *e.Progress
	p.Tasks = append([]work.Task(nil), e.Progress.Tasks...)
	return &p
}
