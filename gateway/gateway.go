// Package gateway serves callers at an entry: it accepts, shows and cancels
// jobs. A job is recorded before it is accepted, under the condition that the
// configuration that allows it is still the newest.
package gateway

import (
	"cmp"
	"context"
	"strings"
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
	// identifierLen is the length of a job's identifier in hexadecimal digits.
	identifierLen = 16
	// answerReserve is the part of a call's time that is left for the answer.
	answerReserve = 50 * time.Millisecond
	// retryPause is the pause before a call to the store is repeated.
	retryPause = 40 * time.Millisecond
	// readFor is the time in which the store is asked for the state of a job. It
	// answers in 4 ms, or 60 times as slowly.
	readFor = 300 * time.Millisecond
	// defaultBody bounds bodies until a configuration says otherwise.
	defaultBody = 256 << 10
	// revokeShare is the part of the time in which a revoked key must end to be
	// valid after which an entry that does not hear from the store serves no
	// keys. The users count no request as owed from there on.
	revokeShare = 0.6
)

// DefaultMaxJobs is six times the jobs of a day at the target size. In memory
// they take about 60 MB.
const DefaultMaxJobs = 10_000

// Declarations are the operators' documents.
type Declarations interface {
	Configuration() *queue.Configuration
	FreshAsOf() time.Time
}

// Config is what a gateway is told.
type Config struct {
	Store              rosemarysill.TransactionalStore
	Cache              *jobstore.Cache
	Declarations       Declarations
	KeyRevocationDelay time.Duration // in which a revoked key ends to be valid
	// MaxJobs bounds the jobs on record; 0 is DefaultMaxJobs.
	MaxJobs int
	Meter   *meter.Meter
	Log     zerolog.Logger
}

// Gateway is a queue.Jobs.
type Gateway struct{ cfg Config }

var _ queue.Jobs = (*Gateway)(nil)

// New returns a gateway.
func New(cfg Config) *Gateway {
	cfg.MaxJobs = cmp.Or(cfg.MaxJobs, DefaultMaxJobs)
	return &Gateway{cfg}
}

// MaxBody implements queue.Jobs.
func (g *Gateway) MaxBody() int64 {
	if cfg := g.cfg.Declarations.Configuration(); cfg != nil && cfg.Limits.BodyBytes > 0 {
		return cfg.Limits.BodyBytes
	}
	return defaultBody
}

// IsQueue implements queue.Jobs.
func (g *Gateway) IsQueue(c queue.Call) bool {
	cfg := g.cfg.Declarations.Configuration()
	if cfg == nil {
		return false
	}
	_, rest := cfg.Find(c.Host, c.Path)
	return rest == ""
}

// Ready reports whether this entry can serve callers.
func (g *Gateway) Ready() bool {
	return g.cfg.Declarations.Configuration() != nil && g.fresh() && g.cfg.Cache.HasSynced()
}

// soundWithin is the age of the latest news of the store beyond which this
// entry is taken not to reach it. A watch returns once a second.
const soundWithin = 1800 * time.Millisecond

// StoreReachable reports whether this entry hears from the store.
func (g *Gateway) StoreReachable() bool {
	return g.cfg.Declarations.Configuration() != nil && uptime.Now().Sub(g.cfg.Declarations.FreshAsOf()) < soundWithin
}

// fresh reports whether the configuration is recent enough to honour keys.
func (g *Gateway) fresh() bool {
	limit := time.Duration(float64(g.cfg.KeyRevocationDelay) * revokeShare)
	return uptime.Now().Sub(g.cfg.Declarations.FreshAsOf()) < limit
}

// admit finds the queue and the client account of a call.
func (g *Gateway) admit(c queue.Call) (*queue.Configuration, *queue.Queue, string, string, error) {
	cfg := g.cfg.Declarations.Configuration()
	if cfg == nil {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.StaleConfiguration, "no configuration yet")
	}
	if !g.fresh() {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.StaleConfiguration, "the configuration of version %d is not known to be the newest", cfg.Version)
	}
	q, rest := cfg.Find(c.Host, c.Path)
	if q == nil {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.UnknownQueue, "no such queue")
	}
	account, ok := cfg.Account(c.Key)
	if !ok && !q.Public {
		return nil, nil, "", "", rosemarysill.NewError(rosemarysill.UnknownAccount, "unknown key")
	}
	return cfg, q, account, rest, nil
}

func validID(id string) bool {
	return len(id) == identifierLen && strings.Trim(strings.ToLower(id), "0123456789abcdef") == ""
}

// again waits before a repetition, unless the caller's time is over.
func (g *Gateway) again(ctx context.Context, c queue.Call, _ error) bool {
	if time.Until(c.Deadline) < answerReserve+retryPause {
		return false
	}
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// State implements queue.Jobs.
func (g *Gateway) State(ctx context.Context, c queue.Call) (work.State, error) {
	began := time.Now()
	state, err := g.state(ctx, c)
	g.cfg.Meter.ObserveAnswer("State", rosemarysill.CodeOf(err), time.Since(began))
	return state, err
}

func (g *Gateway) state(ctx context.Context, c queue.Call) (work.State, error) {
	_, _, _, id, err := g.admit(c)
	if err != nil {
		return "", err
	}
	e, known := g.cfg.Cache.Job(id)
	if !known {
		if e, err = g.find(ctx, c, id); err != nil {
			return "", err
		}
		return e.State(), nil
	}
	// The cache may be a second behind. Without the store it is the latest that is
	// known, and no state that it shows is taken back later.
	if !e.State().Final() {
		readCtx, cancel := context.WithTimeout(ctx, readFor)
		defer cancel()
		if err := e.ReadProgress(readCtx, g.cfg.Store); err != nil {
			g.cfg.Log.Debug().Err(err).Str("Job", id).Msg("the state is that of the copy")
		}
	}
	return e.State(), nil
}

// find returns a job from the cache, or from the store if the cache has not got
// it.
func (g *Gateway) find(ctx context.Context, c queue.Call, id string) (jobstore.JobRecord, error) {
	if !validID(id) {
		return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.UnknownJob, "no such job")
	}
	for {
		if e, ok := g.cfg.Cache.Job(id); ok {
			return e, nil
		}
		e, err := jobstore.ReadJobRecord(ctx, g.cfg.Store, id)
		switch {
		case errors.Is(err, rosemarysill.ErrNotFound):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.UnknownJob, "no such job")
		case errors.Is(err, jobstore.ErrBadRecord):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.InternalError, "%v", err)
		case err == nil:
			return e, nil
		case !g.again(ctx, c, err):
			return jobstore.JobRecord{}, rosemarysill.NewError(rosemarysill.StoreUnavailable, "%v", err)
		}
	}
}

// Cancel implements queue.Jobs.
func (g *Gateway) Cancel(ctx context.Context, c queue.Call) error {
	began := time.Now()
	_, _, _, id, err := g.admit(c)
	if err == nil {
		err = g.cancel(ctx, c, id)
	}
	g.cfg.Meter.ObserveAnswer("Cancel", rosemarysill.CodeOf(err), time.Since(began))
	g.log(event.QueueCancelled, lastPart(c.Path), err)
	return err
}

func (g *Gateway) cancel(ctx context.Context, c queue.Call, id string) error {
	uncertain := false
	for {
		e, err := g.find(ctx, c, id)
		if err != nil {
			return err
		}
		if e.Cancelled || e.State().Final() {
			return nil
		}
		key := jobstore.CancelKey(id)
		_, items, err := g.cfg.Store.Commit(ctx, rosemarysill.Commit{
			Guards: []rosemarysill.Guard{{Key: jobstore.JobKey(id), Version: e.JobVersion}, {Key: key}},
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
		if err == nil || !g.again(ctx, c, err) {
			return submitError(err, uncertain)
		}
	}
}

// Pending implements queue.Jobs.
func (g *Gateway) Pending(_ context.Context, c queue.Call) (int, error) {
	_, q, _, _, err := g.admit(c)
	if err != nil {
		return 0, err
	}
	if !g.cfg.Cache.HasSynced() {
		return 0, rosemarysill.NewError(rosemarysill.StaleConfiguration, "the jobs on record have not been read yet")
	}
	return g.cfg.Cache.Pending(q.Name), nil
}

// log notes the outcome of a request.
func (g *Gateway) log(done event.Event, id string, err error) {
	var version int64
	if cfg := g.cfg.Declarations.Configuration(); cfg != nil {
		version = cfg.Version
	}
	e := done
	switch rosemarysill.CodeOf(err).Truth() {
	case rosemarysill.TruthDone:
	case rosemarysill.TruthUnknown:
		e = event.QueueUnknown
	default:
		e = event.QueueRefused
	}
	e.Log(g.cfg.Log).Str("Job", id).Str("Code", rosemarysill.CodeOf(err).String()).Int64("Version", version).
		Dur("ConfigurationAge", uptime.Now().Sub(g.cfg.Declarations.FreshAsOf())).Str("Detail", rosemarysill.DetailOf(err)).Send()
}

func lastPart(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
