// Package gateway serves callers at an entry: it accepts and cancels jobs and
// reports their state. A job is accepted only after its record has been
// committed, on the condition that the configuration that allows it is still the
// latest one.
package gateway

import (
	"cmp"
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// jobIDLen is the length of a job's identifier in hexadecimal digits.
	jobIDLen = 16
	// answerReserve is the part of a caller's time that is kept for the answer.
	answerReserve = 50 * time.Millisecond
	// retryDelay is the pause before a failed call to the store is retried.
	retryDelay = 40 * time.Millisecond
	// configDelay is how long the copy of the configuration may lag behind a change that
	// a conflict of a commit has shown.
	configDelay = 100 * time.Millisecond
	// progressReadTimeout bounds a read of a job's progress from the store, which
	// takes 4 ms, or 240 ms when the store is 60 times slower.
	progressReadTimeout = 300 * time.Millisecond
	// defaultMaxBodyBytes bounds request bodies unless the configuration has a limit.
	defaultMaxBodyBytes = 256 << 10
	// maxConfigAgeShare is the share of Config.KeyRevocationDelay after which an
	// entry that has lost contact with the store refuses all requests. The users do
	// not require requests to be served beyond that age.
	maxConfigAgeShare = 0.6
)

// DefaultMaxJobs is six times the number of jobs per day at the target size. Their
// records take about 60 MB of memory.
const DefaultMaxJobs = 10_000

// Declarations provides the configuration that operators declare.
type Declarations interface {
	// Configuration returns the latest known configuration, or nil.
	Configuration() *queue.Configuration
	// FreshAsOf returns the latest time, by package uptime, as of which the
	// configuration is known to be the latest one.
	FreshAsOf() time.Time
	// RepliedAt returns the time, by package uptime, of the latest reply of the store.
	RepliedAt() time.Time
	// Expect tells that the store has a change of the configuration with the given
	// revision, which the copy should have by the given time, by package uptime.
	Expect(revision uint64, by time.Time)
}

// Config configures a Gateway.
type Config struct {
	Store              rosemarysill.TransactionalStore
	Cache              *jobstore.Cache
	Declarations       Declarations
	KeyRevocationDelay time.Duration // time within which a revoked key must stop working
	// MaxJobs bounds the number of jobs on record; 0 means DefaultMaxJobs.
	MaxJobs int
	// MemoryMB is the memory of the machine; 0 means defaultMemoryMB. The records of jobs may
	// take a part of it.
	MemoryMB int64
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Gateway implements queue.Jobs on the store.
type Gateway struct {
	cfg Config
	// minRevision is the revision of the newest configuration by which other entries have
	// answered callers of this one. Those callers may not be answered by an older one.
	minRevision atomic.Uint64
	marks       markLease
	records     recordLimit
}

var _ queue.Jobs = (*Gateway)(nil)

// New returns a gateway.
func New(cfg Config) *Gateway {
	cfg.MaxJobs, cfg.MemoryMB = cmp.Or(cfg.MaxJobs, DefaultMaxJobs), cmp.Or(cfg.MemoryMB, defaultMemoryMB)
	return &Gateway{cfg: cfg, records: recordLimit{unseen: make(map[string]unseenJob)}}
}

// MaxBody implements queue.Jobs.
func (g *Gateway) MaxBody() int64 {
	if cfg := g.cfg.Declarations.Configuration(); cfg != nil && cfg.Limits.BodyBytes > 0 {
		return cfg.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// Ready reports whether this entry can serve callers.
func (g *Gateway) Ready() bool {
	return g.cfg.Declarations.Configuration() != nil && g.configFresh() && g.cfg.Cache.HasSynced()
}

// storeContactTimeout is the time since the latest reply to a watch after which the store
// counts as unreachable. A watch is answered within 1 s, or up to 300 ms later by a slow
// store.
const storeContactTimeout = 1800 * time.Millisecond

// StoreReachable reports whether this entry is in contact with the store.
func (g *Gateway) StoreReachable() bool {
	return g.cfg.Declarations.Configuration() != nil && g.StoreContactAge() < storeContactTimeout
}

// StoreContactAge returns the time since the last contact with the store.
func (g *Gateway) StoreContactAge() time.Duration {
	return uptime.Now().Sub(g.cfg.Declarations.RepliedAt())
}

// ConfigID identifies the latest configuration that this entry has.
func (g *Gateway) ConfigID() queue.ConfigID { return g.cfg.Declarations.Configuration().ID() }

// MinRevision returns the least revision of the configuration that may decide calls of
// this entry's callers: that of its own copy, or of a newer one by which another entry has
// answered them.
func (g *Gateway) MinRevision() uint64 { return max(g.minRevision.Load(), g.ConfigID().Revision) }

// RaiseMinRevision records that another entry has answered a caller of this one by the
// configuration with the given revision.
func (g *Gateway) RaiseMinRevision(revision uint64) {
	for {
		current := g.minRevision.Load()
		if revision <= current || g.minRevision.CompareAndSwap(current, revision) {
			return
		}
	}
}

// RecordState records the state of a job that another entry has reported to a caller of
// this one.
func (g *Gateway) RecordState(c queue.Call, s work.State) {
	g.cfg.Cache.RecordEnd(c.LastSegment(), s)
}

// FinalState returns the state of a job and true if this entry knows it to be final.
func (g *Gateway) FinalState(c queue.Call) (work.State, bool) {
	rec, ok := g.cfg.Cache.Job(c.LastSegment())
	return rec.State(), ok && rec.State().Final()
}

// maxConfigAge is the age from which on the configuration is too old to check
// keys against.
func (g *Gateway) maxConfigAge() time.Duration {
	return time.Duration(float64(g.cfg.KeyRevocationDelay) * maxConfigAgeShare)
}

// configFresh reports whether the configuration is recent enough to check keys
// against.
func (g *Gateway) configFresh() bool {
	return uptime.Now().Sub(g.cfg.Declarations.FreshAsOf()) < g.maxConfigAge()
}

// admit checks the key of a call. It returns the configuration, the queue and the
// client account that apply, and the part of the path behind the queue's prefix.
func (g *Gateway) admit(c queue.Call) (*queue.Configuration, *queue.Queue, string, string, error) {
	cfg := g.cfg.Declarations.Configuration()
	if cfg == nil {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.StaleConfiguration, "no configuration has been read from the store")
	}
	if c.DecidedBy != nil {
		*c.DecidedBy = cfg.ID()
	}
	if !g.configFresh() {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.StaleConfiguration, "configuration version %d has not been confirmed by the store within the last %s", cfg.Version, g.maxConfigAge())
	}
	if least := max(c.MinRevision, g.minRevision.Load()); cfg.Revision < least {
		g.cfg.Declarations.Expect(least, uptime.Now().Add(configDelay))
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.StaleConfiguration, "configuration version %d has revision %d, and callers have been answered by revision %d", cfg.Version, cfg.Revision, least)
	}
	q, suffix := cfg.Find(c.Host, c.Path)
	if q == nil {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.UnknownQueue, "no queue for host %q and path %q", c.Host, c.Path)
	}
	account, ok := cfg.Account(c.Key)
	if !ok && !q.Public {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.UnknownAccount, "unknown key")
	}
	return cfg, q, account, suffix, nil
}

func validJobID(id string) bool {
	return len(id) == jobIDLen && strings.Trim(strings.ToLower(id), "0123456789abcdef") == ""
}

// waitRetry waits before a retry. It returns false if the caller's remaining time
// does not allow one.
func (g *Gateway) waitRetry(ctx context.Context, c queue.Call) bool {
	if time.Until(c.Deadline) < answerReserve+retryDelay {
		return false
	}
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Status implements queue.Jobs.
func (g *Gateway) Status(ctx context.Context, c queue.Call) (queue.Status, error) {
	start := time.Now()
	c = withDecision(c)
	status, err := g.status(ctx, c)
	operation := "State"
	if status.OfQueue {
		operation = "Pending"
	}
	g.cfg.Meter.ObserveAnswer(operation, rosemarysill.CodeOf(err), time.Since(start))
	g.logOutcome(event.QueueAnswered, operation, c, err).Str("Path", c.Path).Str("State", string(status.State)).Int("Pending", status.Pending).Send()
	return status, err
}

// status returns a status with OfQueue set, also if it fails, when the question is about a
// queue.
func (g *Gateway) status(ctx context.Context, c queue.Call) (queue.Status, error) {
	_, q, _, id, err := g.admit(c)
	status := queue.Status{OfQueue: err == nil && id == ""}
	switch {
	case err != nil:
	case status.OfQueue:
		status.Pending, err = g.pending(q)
	default:
		status.State, err = g.state(ctx, c, id)
	}
	return status, err
}

func (g *Gateway) state(ctx context.Context, c queue.Call, id string) (work.State, error) {
	rec, known := g.cfg.Cache.Job(id)
	if !known {
		rec, err := g.findJob(ctx, c, id)
		if err != nil {
			return "", err
		}
		return rec.State(), nil
	}
	// The cache may lag behind the store by a second. If the store cannot be read,
	// the cached state is the latest known one. It is told at once while
	// there is no contact, because the caller would wait for a call that gets no reply.
	if !rec.State().Final() && g.StoreReachable() {
		readCtx, cancel := context.WithTimeout(ctx, progressReadTimeout)
		defer cancel()
		if err := rec.ReadProgress(readCtx, g.cfg.Store); err != nil {
			g.cfg.Log.Debug().Err(err).Str("Job", id).Msg("cannot read the progress of the job from the store; answering from the cache")
		}
		g.cfg.Cache.RecordEnd(id, rec.State())
	}
	return rec.State(), nil
}

// findJob returns a job from the cache, or from the store if the cache does not
// have it.
func (g *Gateway) findJob(ctx context.Context, c queue.Call, id string) (jobstore.JobRecord, error) {
	if !validJobID(id) {
		return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.UnknownJob, "no job %q: an identifier has 16 hexadecimal digits", id)
	}
	for {
		if rec, ok := g.cfg.Cache.Job(id); ok {
			return rec, nil
		}
		rec, err := jobstore.ReadJobRecord(ctx, g.cfg.Store, id)
		switch {
		case errors.Is(err, rosemarysill.ErrNotFound):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.UnknownJob, "no job %q on record", id)
		case errors.Is(err, jobstore.ErrUndecodable):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.InternalError, "decode the record of job %s: %v", id, err)
		case err == nil:
			return rec, nil
		case !g.waitRetry(ctx, c):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.StoreUnavailable, "read job %s from the store: %v", id, err)
		}
	}
}

// Cancel implements queue.Jobs.
func (g *Gateway) Cancel(ctx context.Context, c queue.Call) error {
	start := time.Now()
	c = withDecision(c)
	_, _, _, id, err := g.admit(c)
	if err == nil {
		err = g.cancel(ctx, c, id)
	}
	g.cfg.Meter.ObserveAnswer("Cancel", rosemarysill.CodeOf(err), time.Since(start))
	g.logOutcome(event.QueueCancelled, "Cancel", c, err).Send()
	return err
}

func (g *Gateway) cancel(ctx context.Context, c queue.Call, id string) error {
	uncertain := false
	for {
		rec, err := g.findJob(ctx, c, id)
		if rosemarysill.CodeOf(err) == rosemarysill.UnknownJob && validJobID(id) {
			// A write that would accept the job may still be executed late.
			recorded, _, markErr := g.mark(ctx, c, id)
			if recorded {
				continue
			}
			if markErr != nil {
				return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "no job %q on record, and a late write may still record it: %v", id, markErr)
			}
		}
		if err != nil && uncertain {
			return commitError(err, uncertain) // an earlier commit of the cancellation may have taken effect
		}
		if err != nil {
			return err
		}
		if rec.Cancelled || rec.State().Final() {
			return nil
		}
		key := jobstore.CancelKey(id)
		_, items, err := g.cfg.Store.Commit(ctx, rosemarysill.Commit{
			Guards: []rosemarysill.Guard{{Key: jobstore.JobKey(id), Version: rec.JobVersion}, {Key: key}},
			Writes: []rosemarysill.Write{{Key: key, Value: []byte("{}")}},
		})
		if errors.Is(err, rosemarysill.ErrVersion) {
			for _, i := range items {
				if i.Key == key && i.Version != 0 {
					return nil
				}
			}
		}
		uncertain = uncertain || errors.Is(err, rosemarysill.ErrStoreUnavailable)
		if err == nil || !g.waitRetry(ctx, c) {
			return commitError(err, uncertain)
		}
	}
}

func (g *Gateway) pending(q *queue.Queue) (int, error) {
	if !g.cfg.Cache.HasSynced() {
		return 0, rosemarysill.NewError(rosemarysill.StaleConfiguration, "the job records have not been read from the store yet")
	}
	return g.cfg.Cache.Pending(q.Name), nil
}

// withDecision returns the call with DecidedBy set.
func withDecision(c queue.Call) queue.Call {
	if c.DecidedBy == nil {
		c.DecidedBy = new(queue.ConfigID)
	}
	return c
}

// logOutcome returns a log line with the outcome of a call, which is the event success
// if the call was carried out. withDecision has prepared the call.
func (g *Gateway) logOutcome(success event.Event, operation string, c queue.Call, err error) *zerolog.Event {
	outcome := success
	switch rosemarysill.CodeOf(err).Truth() {
	case rosemarysill.TruthDone:
	case rosemarysill.TruthUnknown:
		outcome = event.QueueUnknown
	default:
		outcome = event.QueueRefused
	}
	line := outcome.Log(g.cfg.Log).Str("Job", c.LastSegment()).Str("Operation", operation).Str("Code", rosemarysill.CodeOf(err).String()).
		Int64("Version", c.DecidedBy.Version).Dur("ConfigurationAge", uptime.Now().Sub(g.cfg.Declarations.FreshAsOf()))
	if c.RelayedBy != "" {
		line = line.Str("RelayedBy", c.RelayedBy)
	}
	return line.Str("Detail", rosemarysill.DetailOf(err))
}
