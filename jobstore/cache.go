package jobstore

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

// JobRecord combines the records of one job in the store.
type JobRecord struct {
	Job             *work.Job
	JobVersion      uint64
	Progress        *work.Progress // nil until the leader has written the record
	ProgressVersion uint64
	Undecodable     bool // the latest record of the progress cannot be decoded; Progress is older or nil
	Cancelled       bool
	Reported        work.State // final state that callers have been told; the progress may be older

	bytes int64 // memory of the records, as Bytes returns it
}

// State returns the state that is reported to callers.
func (r JobRecord) State() work.State {
	switch {
	case r.Progress != nil && r.Progress.State.Final():
		return r.Progress.State
	case r.Reported.Final():
		return r.Reported
	case r.Cancelled:
		return work.Cancelled
	case r.Progress == nil:
		return work.Queued
	default:
		return r.Progress.State
	}
}

// Cache is an entry's local cache of the records.
type Cache struct {
	*Follower
	leaderFollower *Follower // follows the leader's record only
	log            zerolog.Logger

	mu            sync.Mutex
	jobs          map[string]*JobRecord
	bytes         map[string]int64 // memory of the records of jobs by client account
	totalBytes    int64            // sum of bytes
	leader        LeaderRecord
	leaderVersion uint64                  // version of the leader's record, 0 if there is none
	entries       map[string]LeaderRecord // registered entries by name
	epoch         uint64
	epochVersion  uint64 // version of the record of the epoch
	speeds        []byte // record of the speeds of workers, encoded; nil if there is none
	load          admission.Load
	changed       map[string]bool // jobs that have changed since the last All or TakeChanged
	notifications chan struct{}
}

// NewCache returns an empty cache.
func NewCache(s rosemarysill.TransactionalStore, log zerolog.Logger) *Cache {
	c := &Cache{
		log: log, jobs: make(map[string]*JobRecord), bytes: make(map[string]int64), changed: make(map[string]bool), entries: make(map[string]LeaderRecord), notifications: make(chan struct{}, 1),
	}
	c.Follower = NewFollower(s, Prefix, c.applyChange, func(err error) {
		event.QueueStoreLost.Log(log).Str("Prefix", Prefix).Err(err).Send()
	}, func() {
		event.QueueStoreBack.Log(log).Str("Prefix", Prefix).Send()
	})
	c.batchInterval = recordsBatchInterval
	// A change of the leader's record ends the batch interval, so that a new leader, or
	// the loss of the leader, is seen at once.
	c.leaderFollower = NewFollower(s, LeaderKey, func(rosemarysill.Change) { c.endBatch() }, func(err error) {
		log.Debug().Err(err).Msg("watch of the leader's record failed; the watch of all records shows a change of leader up to 1 s later")
	}, func() {})
	c.leaderFollower.watchTimeout = leaderWatchTimeout
	return c
}

// Run keeps the cache up to date until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.leaderFollower.Run(ctx) })
	c.Follower.Run(ctx)
	wg.Wait()
}

// Changed returns a channel that receives a value after changes.
func (c *Cache) Changed() <-chan struct{} { return c.notifications }

// Job returns the records of a job, and false if the job is unknown.
func (c *Cache) Job(id string) (JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.jobs[id]
	if !ok || r.Job == nil {
		return JobRecord{}, false
	}
	return *r, true
}

// RecordEnd records that callers have been told that a job has ended, which the records in
// the cache may not show yet. States that are not final, and jobs that the cache does not
// have, are ignored. A job that is reported as cancelled may still be completed, because
// the cancellation is recorded before it is carried out.
func (c *Cache) RecordEnd(id string, s work.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.jobs[id]
	if ok && r.Job != nil && s.Final() && (!r.Reported.Final() || r.Reported == work.Cancelled) {
		r.Reported = s
	}
}

// Pending returns the number of unfinished jobs of a queue of which no task has been
// ordered. Jobs that wait for a later occurrence than the first are not counted.
func (c *Cache) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.jobs {
		if r.Job != nil && r.Job.Queue == queue && !r.State().Final() && (r.Progress == nil || !r.Progress.Started()) {
			n++
		}
	}
	return n
}

// All returns all jobs. The next call of TakeChanged returns changes after this one.
func (c *Cache) All() map[string]JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.changed)
	all := make(map[string]JobRecord, len(c.jobs))
	for id, r := range c.jobs {
		if r.Job != nil {
			all[id] = *r
		}
	}
	return all
}

// TakeChanged returns the jobs that have changed since the last call of TakeChanged or
// All.
func (c *Cache) TakeChanged() map[string]JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]JobRecord, len(c.changed))
	for id := range c.changed {
		if r, ok := c.jobs[id]; ok && r.Job != nil {
			out[id] = *r
		}
	}
	clear(c.changed)
	return out
}

// LeaderRecord returns the record of the leader and its version, 0 if there is none.
func (c *Cache) LeaderRecord() (LeaderRecord, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.leaderVersion
}

// LeaderVacancy reports whether there is no leader, and returns the version of the record
// that is in its place: 0 if there is none, or that of a record that cannot be decoded. A
// new leader replaces such a record, which no leader can have written.
func (c *Cache) LeaderVacancy() (version uint64, vacant bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderVersion, !c.leader.Address.IsValid()
}

// Epoch returns the latest epoch and the version of its record, 0 if there is none.
func (c *Cache) Epoch() (uint64, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.epochVersion
}

// SpeedRecord returns the encoded record of the speeds of workers, which only a new leader
// needs to decode. It is empty if there is none.
func (c *Cache) SpeedRecord() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.speeds
}

// Load returns the load that the present leader has published, and false if there is none:
// that of an earlier leader may be old, while the present one publishes each change.
func (c *Cache) Load() (admission.Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load, c.leaderVersion != 0 && c.load.Epoch == c.leader.Epoch && c.load.Epoch != 0
}

// NumJobs returns the number of jobs of which there is any record.
func (c *Cache) NumJobs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// RecordBytes returns the memory of the records of all jobs, and of those of a client account.
func (c *Cache) RecordBytes(account string) (total, ofAccount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totalBytes, c.bytes[account]
}

// applyChange applies a change of a record. A record that cannot be decoded is logged
// and skipped.
func (c *Cache) applyChange(ch rosemarysill.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.apply(ch); err != nil {
		event.QueueRecordBad.Log(c.log).Str("Key", ch.Item.Key).Err(err).Send()
	}
	select {
	case c.notifications <- struct{}{}:
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
		c.applyCancel(id, !ch.Deleted)
		return nil
	}
	if name, ok := strings.CutPrefix(key, entryPrefix); ok {
		return c.applyEntry(name, ch)
	}
	switch {
	case key == LeaderKey && ch.Deleted:
		c.leader, c.leaderVersion = LeaderRecord{}, 0
	case key == LeaderKey:
		rec, err := decodeLeader(value)
		c.leader, c.leaderVersion = rec, ch.Item.Version
		return err
	case key == EpochKey && !ch.Deleted:
		epoch, err := DecodeEpoch(value)
		if err != nil {
			return err
		}
		c.epoch, c.epochVersion = epoch, ch.Item.Version
	case key == SpeedKey && ch.Deleted:
		c.speeds = nil
	case key == SpeedKey:
		c.speeds = value
	case key == LoadKey && ch.Deleted:
		c.load = admission.Load{}
	case key == LoadKey:
		load, err := admission.Decode(value)
		c.load = load
		return err
	}
	return nil
}

func (c *Cache) applyEntry(name string, ch rosemarysill.Change) error {
	if ch.Deleted {
		delete(c.entries, name)
		return nil
	}
	rec, err := decodeLeader(ch.Item.Value)
	if err == nil && rec.Name != name {
		err = errors.Newf("record of entry %q is that of entry %q", name, rec.Name)
	}
	if err != nil {
		delete(c.entries, name)
		return err
	}
	c.entries[name] = rec
	return nil
}

// Entries returns the registered entries, the leader first and the others by name.
func (c *Cache) Entries() []LeaderRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]LeaderRecord, 0, len(c.entries))
	for _, rec := range c.entries {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b LeaderRecord) int {
		if leader := c.leader.Name; a.Name == leader || b.Name == leader {
			if a.Name == leader {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all
}

// record returns the record of a job, which it creates if there is none, and marks the
// job as changed.
func (c *Cache) record(id string) *JobRecord {
	r, ok := c.jobs[id]
	if !ok {
		r = &JobRecord{}
		c.jobs[id] = r
	}
	c.changed[id] = true
	return r
}

func (c *Cache) applyJob(id string, ch rosemarysill.Change) error {
	if ch.Deleted {
		if r, ok := c.jobs[id]; ok && r.Job != nil {
			c.addBytes(r.Job.Account, -r.bytes)
		}
		delete(c.jobs, id)
		delete(c.changed, id)
		return nil
	}
	j, err := DecodeJob(id, ch.Item.Value)
	if err != nil {
		return err
	}
	r := c.record(id)
	if r.Job != nil && r.JobVersion != ch.Item.Version {
		// The record of a job is written once. A list shows only that there is a new job
		// with the identifier of a removed one, to which the progress belongs.
		r.Progress, r.ProgressVersion, r.Undecodable, r.Reported = nil, 0, false, ""
	}
	if r.Job != nil {
		c.addBytes(r.Job.Account, -r.bytes)
	}
	r.Job, r.JobVersion, r.bytes = j, ch.Item.Version, Bytes(j)
	c.addBytes(j.Account, r.bytes)
	return nil
}

func (c *Cache) addBytes(account string, n int64) {
	c.totalBytes += n
	if c.bytes[account] += n; c.bytes[account] == 0 {
		delete(c.bytes, account)
	}
}

// applyCancel applies the mark of a cancellation, or its removal, which may come after the
// removal of the job.
func (c *Cache) applyCancel(id string, cancelled bool) {
	if r, ok := c.jobs[id]; !cancelled && (!ok || r.Job == nil) {
		delete(c.jobs, id)
		delete(c.changed, id)
		return
	}
	c.record(id).Cancelled = cancelled
}

func (c *Cache) applyProgress(id string, ch rosemarysill.Change) error {
	if ch.Deleted {
		return nil // the record of the job is deleted together with it
	}
	r := c.record(id)
	p, err := decodeProgress(ch.Item.Value)
	r.ProgressVersion, r.Undecodable = ch.Item.Version, err != nil
	if err == nil {
		r.Progress = p
	}
	return err
}

// CloneProgress returns a deep copy of the job's progress, or a new progress if there is
// no record of it. It fails if the record cannot be decoded or is not one of the job: its
// tasks may have run, so they must not start again.
func (r JobRecord) CloneProgress() (*work.Progress, error) {
	switch {
	case r.Undecodable:
		return nil, errors.Wrapf(ErrUndecodable, "progress of version %d", r.ProgressVersion)
	case r.Progress == nil:
		return work.NewProgress(r.Job), nil
	case !r.Progress.Valid(r.Job):
		return nil, errors.Wrapf(ErrUndecodable, "progress of version %d has %d tasks, which is not the number of the job", r.ProgressVersion, len(r.Progress.Tasks))
	}
	p := *r.Progress
	p.Tasks = append([]work.Task(nil), r.Progress.Tasks...)
	return &p, nil
}
