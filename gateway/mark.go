package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
)

const (
	// markTTL is the time to live of the leases of marks. The store removes the marks with
	// the lease, so that no process has to.
	markTTL = time.Minute
	// markLeaseUse is how long a lease is used for new marks. Each mark stays for at least
	// markTTL less this time, 30 s; a call without a reply may be executed seconds later.
	markLeaseUse = 30 * time.Second
)

// markLease is the lease of the latest marks of an entry. Marks share leases, because a
// lease for each would double the calls.
type markLease struct {
	mu        sync.Mutex
	lease     rosemarysill.LeaseID // 0 if there is none
	grantedAt time.Time
}

// get returns a lease for a new mark, which it grants if there is none that is new enough.
func (m *markLease) get(ctx context.Context, s rosemarysill.TransactionalStore) (rosemarysill.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if requested := uptime.Now(); m.lease == 0 || requested.Sub(m.grantedAt) > markLeaseUse {
		lease, err := s.Grant(ctx, markTTL)
		if err != nil {
			return 0, err
		}
		m.lease, m.grantedAt = lease, requested
	}
	return m.lease, nil
}

// drop discards a lease that has expired at the store.
func (m *markLease) drop(lease rosemarysill.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease == lease {
		m.lease = 0
	}
}

// mark makes writes of a job that were sent before, by any entry, fail. It returns true if
// the job is on record already. After an error, such a write may still take effect. A mark
// that is there already is replaced, because a write that replaces that one may be late. The
// version is that of the new mark.
func (g *Gateway) mark(ctx context.Context, c queue.Call, id string) (accepted bool, version uint64, err error) {
	for {
		accepted, version, err = g.tryMark(ctx, id, version)
		if err == nil || !errors.Is(err, rosemarysill.ErrVersion) && !g.waitRetry(ctx, c) || ctx.Err() != nil {
			return accepted, version, err
		}
	}
}

// tryMark makes one attempt to replace the mark of the given version and returns that of the
// new mark, or after ErrVersion that of the present one.
func (g *Gateway) tryMark(ctx context.Context, id string, version uint64) (bool, uint64, error) {
	lease, err := g.marks.get(ctx, g.cfg.Store)
	if err != nil {
		return false, version, err
	}
	jobKey, markKey := jobstore.JobKey(id), jobstore.MarkKey(id)
	made, items, err := g.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobKey}, {Key: markKey, Version: version}},
		Writes: []rosemarysill.Write{{Key: markKey, Value: []byte("{}"), Lease: lease}},
	})
	if err == nil {
		return false, made, nil
	}
	if errors.Is(err, rosemarysill.ErrLeaseLapsed) {
		g.marks.drop(lease)
	}
	if errors.Is(err, rosemarysill.ErrVersion) {
		if rosemarysill.VersionOf(items, jobKey) != 0 {
			return true, 0, nil
		}
		version = rosemarysill.VersionOf(items, markKey)
	}
	return false, version, err
}

// refuseMarked returns the refusal of a job once no earlier write of it can take effect,
// nil if the job is on record, and OutcomeUnknown if neither is confirmed.
func (g *Gateway) refuseMarked(ctx context.Context, c queue.Call, id string, refusal error) error {
	accepted, version, err := g.mark(ctx, c, id)
	event.QueueMarked.Log(g.cfg.Log).Str("Job", id).Str("Code", rosemarysill.CodeOf(refusal).String()).Bool("Accepted", accepted).Uint64("MarkVersion", version).
		Uint64("KnownMark", c.MarkVersion).Bool("Repeated", c.Repeated).AnErr("Cause", err).Send()
	switch {
	case accepted:
		return nil
	case err != nil:
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "an earlier write of the job may have taken effect: %v", refusal)
	default:
		if c.Marked != nil {
			*c.Marked = true
		}
		setFoundMark(c, version)
		return refusal
	}
}
