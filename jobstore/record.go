// Package jobstore holds the records that the entries keep in the store: jobs,
// their progress, their cancellations, and who leads. Each entry follows them
// in a cache.
package jobstore

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Keys of the records.
const (
	Prefix         = "rs/"
	LeaderKey      = "rs/leader" // under a lease
	EpochKey       = "rs/epoch"  // outlives the lease
	jobPrefix      = "rs/job/"
	progressPrefix = "rs/progress/"
	cancelPrefix   = "rs/cancel/"
	wavePrefix     = "rs/wave/"
	entryPrefix    = "rs/entry/" // under leases
)

// JobKey is the key of a job.
func JobKey(id string) string { return jobPrefix + id }

// ProgressKey is the key of a job's progress. The leader writes it.
func ProgressKey(id string) string { return progressPrefix + id }

// CancelKey is the key of a job's cancellation. It exists once the job is
// cancelled.
func CancelKey(id string) string { return cancelPrefix + id }

// WaveKey is the key of the machines of a wave that have had their maintenance.
func WaveKey(id string) string { return wavePrefix + id }

// EntryKey is the key of a present entry.
func EntryKey(name string) string { return entryPrefix + name }

// LeaderRecord is the record of the leader, or of an entry that may lead.
type LeaderRecord struct {
	Name     string
	Address  netip.AddrPort // for the streams of agents
	Epoch    uint64
	Cores    float64 `json:",omitempty"` // processor share of the entry
	LinkMbps float64 `json:",omitempty"` // of its network
}

// EncodeJob returns the record of a job.
func EncodeJob(j *work.Job) ([]byte, error) { return json.Marshal(j) }

// EncodeProgress returns the record of a job's progress.
func EncodeProgress(p *work.Progress) ([]byte, error) { return compact(p) }

// EncodeLeader returns the record of the leader.
func EncodeLeader(s LeaderRecord) ([]byte, error) { return json.Marshal(s) }

// DecodeEpoch returns the epoch of a record under EpochKey.
func DecodeEpoch(value []byte) (uint64, error) {
	var e uint64
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "epoch")
}

// EncodeEpoch returns the record of an epoch.
func EncodeEpoch(e uint64) ([]byte, error) { return json.Marshal(e) }

const (
	// leaderWait is how long a watch for the leader waits at the store. The
	// stream to the leader shows sooner that it is gone.
	leaderWait = 10 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
)

// ReadLeader returns the record of the leader. Without a leader it is empty.
func ReadLeader(ctx context.Context, s rosemarysill.TransactionalStore) (LeaderRecord, error) {
	i, err := s.Get(ctx, LeaderKey)
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return LeaderRecord{}, nil
	}
	if err != nil {
		return LeaderRecord{}, err
	}
	return decodeLeader(i.Value)
}

func decodeLeader(value []byte) (LeaderRecord, error) {
	var rec LeaderRecord
	err := json.Unmarshal(value, &rec)
	return rec, errors.Wrap(err, "record of the leader")
}

// FollowLeader tells each new leader to leaded until ctx ends, and each
// failure to failed.
func FollowLeader(ctx context.Context, s rosemarysill.TransactionalStore, led func(LeaderRecord), failed func(error)) {
	for ctx.Err() == nil {
		items, revision, err := s.List(ctx, LeaderKey)
		for _, i := range items {
			recordOf(i, led, failed)
		}
		for err == nil && ctx.Err() == nil {
			var changes []rosemarysill.Change
			changes, revision, err = s.Watch(ctx, LeaderKey, revision, leaderWait)
			for _, c := range changes {
				if !c.Deleted {
					recordOf(c.Item, led, failed)
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, rosemarysill.ErrCompacted) {
			failed(err)
			uptime.Sleep(ctx, retryPause)
		}
	}
}

func recordOf(i rosemarysill.Item, led func(LeaderRecord), failed func(error)) {
	rec, err := decodeLeader(i.Value)
	if err != nil {
		failed(err)
		return
	}
	led(rec)
}

// DecodeJob returns the job of a record.
func DecodeJob(value []byte) (*work.Job, error) {
	var j work.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, errors.Wrap(err, "job")
	}
	if fault := j.Check(); fault != "" {
		return nil, errors.Newf("job: %s", fault)
	}
	return &j, nil
}

// ErrBadRecord marks a record that cannot be read.
var ErrBadRecord = errors.New("bad record")

// ReadJobRecord returns what the store holds of a job.
func ReadJobRecord(ctx context.Context, s rosemarysill.TransactionalStore, id string) (JobRecord, error) {
	var e JobRecord
	i, err := s.Get(ctx, JobKey(id))
	if err != nil {
		return e, err
	}
	if e.Job, err = DecodeJob(i.Value); err != nil {
		return e, errors.Mark(err, ErrBadRecord)
	}
	e.JobVersion = i.Version
	return e, e.ReadProgress(ctx, s)
}

// ReadProgress takes over the progress of the job that the store holds.
func (e *JobRecord) ReadProgress(ctx context.Context, s rosemarysill.TransactionalStore) error {
	i, err := s.Get(ctx, ProgressKey(e.Job.ID))
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	p, err := decodeProgress(i.Value)
	if err != nil {
		return errors.Mark(err, ErrBadRecord)
	}
	e.Progress, e.ProgressVersion = p, i.Version
	return nil
}

func decodeProgress(value []byte) (*work.Progress, error) {
	var p work.Progress
	if err := expand(value, &p); err != nil {
		return nil, errors.Wrap(err, "progress")
	}
	return &p, nil
}

// Lease times of the record of an entry.
const (
	entryTTL   = 10 * time.Second
	entryRenew = 3 * time.Second
)

// KeepRegistered keeps the record of an entry in the store until ctx ends, and
// removes it then.
func KeepRegistered(ctx context.Context, s rosemarysill.TransactionalStore, rec LeaderRecord, failed func(error)) {
	for ctx.Err() == nil {
		lease, err := enter(ctx, s, rec)
		for err == nil && ctx.Err() == nil {
			uptime.Sleep(ctx, entryRenew)
			if renewErr := s.Renew(ctx, lease); errors.Is(renewErr, rosemarysill.ErrLeaseLapsed) {
				err = renewErr
			}
		}
		if ctx.Err() != nil {
			leave(s, lease, failed)
			return
		}
		failed(err)
		uptime.Sleep(ctx, retryPause)
	}
}

// enter writes the record of an entry under a new lease. An earlier record of
// the same name is replaced.
func enter(ctx context.Context, s rosemarysill.TransactionalStore, rec LeaderRecord) (rosemarysill.LeaseID, error) {
	lease, err := s.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	value, err := EncodeLeader(rec)
	if err != nil {
		return lease, err
	}
	_, _, err = s.Commit(ctx, rosemarysill.Commit{Writes: []rosemarysill.Write{{Key: EntryKey(rec.Name), Value: value, Lease: lease}}})
	return lease, err
}

func leave(s rosemarysill.TransactionalStore, lease rosemarysill.LeaseID, failed func(error)) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Revoke(ctx, lease); lease != 0 && err != nil {
		failed(err)
	}
}
