// Package jobstore defines the records that the entries keep in the store: jobs, their
// progress and cancellations, the leader and the registered entries. Each entry holds
// them in a cache.
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
	LeaderKey      = "rs/leader" // attached to the lease of the leader
	EpochKey       = "rs/epoch"  // attached to no lease
	LoadKey        = "rs/load"   // load of the fleet, written by the leader
	jobPrefix      = "rs/job/"
	progressPrefix = "rs/progress/"
	cancelPrefix   = "rs/cancel/"
	wavePrefix     = "rs/wave/"
	entryPrefix    = "rs/entry/" // each attached to the lease of its entry
)

// JobKey returns the key of the record of a job.
func JobKey(id string) string { return jobPrefix + id }

// ProgressKey returns the key of a job's progress, which the leader writes.
func ProgressKey(id string) string { return progressPrefix + id }

// CancelKey returns the key of a job's cancellation, which exists once the job is
// cancelled.
func CancelKey(id string) string { return cancelPrefix + id }

// WaveKey returns the key of the record of a maintenance wave, which lists the machines
// whose maintenance is done.
func WaveKey(id string) string { return wavePrefix + id }

// EntryKey returns the key of a registered entry.
func EntryKey(name string) string { return entryPrefix + name }

// LeaderRecord is the record of the leader, or of a registered entry.
type LeaderRecord struct {
	Name     string
	Address  netip.AddrPort // address for the streams of agents
	Epoch    uint64
	Cores    float64 `json:",omitempty"` // processor cores of the entry, which may be a fraction
	LinkMbps float64 `json:",omitempty"` // bandwidth of the entry's network link
	MemoryMB int64   `json:",omitempty"` // memory of the entry; entries of earlier versions do not state it
}

// EncodeJob encodes the record of a job.
func EncodeJob(j *work.Job) ([]byte, error) { return json.Marshal(j) }

// EncodeProgress encodes the record of a job's progress.
func EncodeProgress(p *work.Progress) ([]byte, error) { return compress(p) }

// EncodeLeader encodes the record of the leader, or of a registered entry.
func EncodeLeader(rec LeaderRecord) ([]byte, error) { return json.Marshal(rec) }

// DecodeEpoch decodes the record under EpochKey.
func DecodeEpoch(value []byte) (uint64, error) {
	var e uint64
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "epoch")
}

// EncodeEpoch encodes the record under EpochKey.
func EncodeEpoch(e uint64) ([]byte, error) { return json.Marshal(e) }

const (
	// leaderWatchTimeout is how long a watch of the leader's record waits at the store.
	// It is long because agents detect the loss of the leader earlier on their stream.
	leaderWatchTimeout = 10 * time.Second
	// retryPause is the pause after a failed call to the store.
	retryPause = 150 * time.Millisecond
)

// ReadLeader reads the record of the leader. It is empty if there is no leader.
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

// Bounds of the size of an entry. Other entries leave the leadership to a stronger one,
// so they must not believe in an absurd size.
const (
	maxEntryCores = 1 << 12 // cores
	maxLinkMbps   = 1 << 24 // Mbit/s
)

// check returns why the record is invalid, or nil.
func (rec LeaderRecord) check() error {
	switch {
	case rec.Name == "":
		return errors.New("the record has no name")
	case !rec.Address.IsValid() || rec.Address.Port() == 0:
		return errors.Newf("the address %v cannot be called", rec.Address)
	case !(rec.Cores >= 0 && rec.Cores <= maxEntryCores), !(rec.LinkMbps >= 0 && rec.LinkMbps <= maxLinkMbps):
		return errors.Newf("the entry has %g cores and a link of %g Mbit/s; the limits are 0 to %d and 0 to %d", rec.Cores, rec.LinkMbps, maxEntryCores, maxLinkMbps)
	}
	return nil
}

// decodeLeader decodes and checks the record of the leader, or of a registered entry. The
// record is empty after an error.
func decodeLeader(value []byte) (LeaderRecord, error) {
	var rec LeaderRecord
	err := json.Unmarshal(value, &rec)
	if err == nil {
		err = rec.check()
	}
	if err != nil {
		return LeaderRecord{}, errors.Wrapf(err, "leader record of %d bytes", len(value))
	}
	return rec, nil
}

// FollowLeader watches the record of the leader until ctx ends. It calls onLeader with
// each record and onFailure with each failure.
func FollowLeader(ctx context.Context, s rosemarysill.TransactionalStore, onLeader func(LeaderRecord), onFailure func(error)) {
	for ctx.Err() == nil {
		items, revision, err := s.List(ctx, LeaderKey)
		for _, i := range items {
			deliverLeader(i, onLeader, onFailure)
		}
		for err == nil && ctx.Err() == nil {
			var changes []rosemarysill.Change
			changes, revision, err = s.Watch(ctx, LeaderKey, revision, leaderWatchTimeout)
			for _, c := range changes {
				if !c.Deleted {
					deliverLeader(c.Item, onLeader, onFailure)
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, rosemarysill.ErrCompacted) {
			onFailure(err)
			uptime.Sleep(ctx, retryPause)
		}
	}
}

func deliverLeader(i rosemarysill.Item, onLeader func(LeaderRecord), onFailure func(error)) {
	if i.Key != LeaderKey {
		return // the key of another writer begins in the same way
	}
	rec, err := decodeLeader(i.Value)
	if err != nil {
		onFailure(err)
		return
	}
	onLeader(rec)
}

// DecodeJob decodes and checks the record of the job with the identifier.
func DecodeJob(id string, value []byte) (*work.Job, error) {
	var j work.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, errors.Wrap(err, "job")
	}
	if j.ID != id {
		return nil, errors.Newf("record of job %q is that of job %q", id, j.ID)
	}
	if problem := j.Check(); problem != "" {
		return nil, errors.Newf("job record is invalid: %s", problem)
	}
	return &j, nil
}

// ErrUndecodable marks the error of a record that cannot be decoded.
var ErrUndecodable = errors.New("record cannot be decoded")

// ReadJobRecord reads the job and its progress from the store.
func ReadJobRecord(ctx context.Context, s rosemarysill.TransactionalStore, id string) (JobRecord, error) {
	var r JobRecord
	i, err := s.Get(ctx, JobKey(id))
	if err != nil {
		return r, err
	}
	if r.Job, err = DecodeJob(id, i.Value); err != nil {
		return r, errors.Mark(err, ErrUndecodable)
	}
	r.JobVersion = i.Version
	return r, r.ReadProgress(ctx, s)
}

// ReadProgress reads the job's progress from the store, if there is any.
func (r *JobRecord) ReadProgress(ctx context.Context, s rosemarysill.TransactionalStore) error {
	i, err := s.Get(ctx, ProgressKey(r.Job.ID))
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	p, err := decodeProgress(i.Value)
	if err != nil {
		return errors.Mark(err, ErrUndecodable)
	}
	r.Progress, r.ProgressVersion = p, i.Version
	return nil
}

func decodeProgress(value []byte) (*work.Progress, error) {
	var p work.Progress
	if err := decompress(value, &p); err != nil {
		return nil, errors.Wrap(err, "progress")
	}
	return &p, nil
}

// Lease of the record of an entry, and the interval at which it is renewed.
const (
	entryTTL           = 10 * time.Second
	entryRenewInterval = 3 * time.Second
)

// KeepRegistered keeps the record of an entry in the store until ctx ends, and then
// removes it. It calls onFailure with each failure.
func KeepRegistered(ctx context.Context, s rosemarysill.TransactionalStore, rec LeaderRecord, onFailure func(error)) {
	for ctx.Err() == nil {
		lease, err := register(ctx, s, rec)
		for err == nil && ctx.Err() == nil {
			uptime.Sleep(ctx, entryRenewInterval)
			if renewErr := s.Renew(ctx, lease); errors.Is(renewErr, rosemarysill.ErrLeaseLapsed) {
				err = renewErr
			}
		}
		if ctx.Err() != nil {
			deregister(s, lease, onFailure)
			return
		}
		onFailure(err)
		uptime.Sleep(ctx, retryPause)
	}
}

// register writes the record of an entry with a new lease. It replaces an earlier record
// of the same name.
func register(ctx context.Context, s rosemarysill.TransactionalStore, rec LeaderRecord) (rosemarysill.LeaseID, error) {
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

// deregister revokes the lease of an entry, which removes its record.
func deregister(s rosemarysill.TransactionalStore, lease rosemarysill.LeaseID, onFailure func(error)) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Revoke(ctx, lease); lease != 0 && err != nil {
		onFailure(err)
	}
}
