// Package jobstore holds the records that the entries keep in the store: jobs,
// their progress, their cancellations, and who leads. Each entry follows them
// in a copy.
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

// WaveKey is the key of the machines of a wave that have had their upkeep.
func WaveKey(id string) string { return wavePrefix + id }

// EntryKey is the key of a present entry.
func EntryKey(name string) string { return entryPrefix + name }

// Seat is the record of the leader.
type Seat struct {
	Name    string
	Address netip.AddrPort // for the streams of agents
	Epoch   uint64
}

// EncodeJob returns the record of a job.
func EncodeJob(j *work.Job) ([]byte, error) { return json.Marshal(j) }

// EncodeProgress returns the record of a job's progress.
func EncodeProgress(p *work.Progress) ([]byte, error) { return json.Marshal(p) }

// EncodeSeat returns the record of the leader.
func EncodeSeat(s Seat) ([]byte, error) { return json.Marshal(s) }

// DecodeEpoch returns the epoch of a record under EpochKey.
func DecodeEpoch(value []byte) (uint64, error) {
	var e uint64
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "epoch")
}

// EncodeEpoch returns the record of an epoch.
func EncodeEpoch(e uint64) ([]byte, error) { return json.Marshal(e) }

const (
	// seatWait is how long a watch for the leader waits at the store. The
	// stream to the leader shows sooner that it is gone.
	seatWait = 10 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
)

// ReadSeat returns the record of the leader. Without a leader it is empty.
func ReadSeat(ctx context.Context, s rosemarysill.TransactionalStore) (Seat, error) {
	i, err := s.Get(ctx, LeaderKey)
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return Seat{}, nil
	}
	if err != nil {
		return Seat{}, err
	}
	return decodeSeat(i.Value)
}

func decodeSeat(value []byte) (Seat, error) {
	var seat Seat
	err := json.Unmarshal(value, &seat)
	return seat, errors.Wrap(err, "record of the leader")
}

// FollowLeader tells each new leader to seated until ctx ends, and each
// failure to failed.
func FollowLeader(ctx context.Context, s rosemarysill.TransactionalStore, seated func(Seat), failed func(error)) {
	for ctx.Err() == nil {
		items, revision, err := s.List(ctx, LeaderKey)
		for _, i := range items {
			seatOf(i, seated, failed)
		}
		for err == nil && ctx.Err() == nil {
			var changes []rosemarysill.Change
			changes, revision, err = s.Watch(ctx, LeaderKey, revision, seatWait)
			for _, c := range changes {
				if !c.Deleted {
					seatOf(c.Item, seated, failed)
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

func seatOf(i rosemarysill.Item, seated func(Seat), failed func(error)) {
	seat, err := decodeSeat(i.Value)
	if err != nil {
		failed(err)
		return
	}
	seated(seat)
}

// DecodeJob returns the job of a record.
func DecodeJob(value []byte) (*work.Job, error) {
	var j work.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, errors.Wrap(err, "job")
	}
	return &j, nil
}

// Lease times of the record of an entry.
const (
	entryTTL   = 10 * time.Second
	entryRenew = 3 * time.Second
)

// Attend keeps the record of an entry in the store until ctx ends, and removes
// it then.
func Attend(ctx context.Context, s rosemarysill.TransactionalStore, seat Seat, failed func(error)) {
	for ctx.Err() == nil {
		lease, err := enter(ctx, s, seat)
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
func enter(ctx context.Context, s rosemarysill.TransactionalStore, seat Seat) (rosemarysill.LeaseID, error) {
	lease, err := s.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	value, err := EncodeSeat(seat)
	if err != nil {
		return lease, err
	}
	_, _, err = s.Commit(ctx, rosemarysill.Commit{Writes: []rosemarysill.Write{{Key: EntryKey(seat.Name), Value: value, Lease: lease}}})
	return lease, err
}

func leave(s rosemarysill.TransactionalStore, lease rosemarysill.LeaseID, failed func(error)) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Revoke(ctx, lease); lease != 0 && err != nil {
		failed(err)
	}
}
