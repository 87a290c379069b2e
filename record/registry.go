package record

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

// Counts are totals since the start of a registry.
type Counts struct {
	Writes  int // of records
	Reads   int // of records
	Grants  int // of leases for records
	Dropped int // unresolved writes that were dropped because the queue was full
}

// Registry manages the records of calls in the store. It is safe for concurrent use.
type Registry struct {
	store     rosemarysill.Store
	limits    Limits
	retention time.Duration // of a record
	opts      rosemarysill.Options
	limiter   *rate.Limiter
	accounts  *accountLimiter

	grantGroup singleflight.Group

	mu               sync.Mutex
	lease            rosemarysill.LeaseID
	leaseReusedUntil time.Time // from then on, new records get a new lease
	unresolvedWrites []unresolvedWrite
	counts           Counts
}

// OwnedRecord is a record that this entry created or took over. Only the owner
// of the record forwards the call.
type OwnedRecord struct {
	key     string
	rec     Record
	version uint64
	lease   rosemarysill.LeaseID
}

// unresolvedWrite is a write that may or may not have taken effect. The desired
// record is written only if the stored one still has the expected WriteID.
type unresolvedWrite struct {
	key             string
	expectedWriteID uuid.UUID
	desired         Record
	lease           rosemarysill.LeaseID
	attempts        int
}

// Claim is the result of a claim: the owned record, or the answer if Owned is nil.
// FromRecord reports that the answer was derived from the record, so that it
// applies to every request with the identifier.
type Claim struct {
	Owned      *OwnedRecord
	Answer     rosemarysill.Answer
	FromRecord bool
}

// NewRegistry returns a registry that uses the Store, Timings, Now and Log of opts.
func NewRegistry(limits Limits, opts rosemarysill.Options) *Registry {
	return &Registry{
		store:     opts.Store,
		limits:    limits,
		retention: opts.Timings.RequestMemory,
		opts:      opts,
		limiter:   rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.WritesPerSecond),
		accounts:  newAccountLimiter(limits.Claims, limits.WritesPerSecond),
	}
}

// writesPerCall is the number of store writes for a call without store errors:
// one creates the record and one stores the outcome.
const writesPerCall = 2

// claimAttempts is the maximum number of attempts to write the record of a claim.
const claimAttempts = 3

// Claim creates the record of the call, or takes over a record whose call did not
// run. If it returns no owned record, this entry has not forwarded the call.
func (r *Registry) Claim(ctx context.Context, c rosemarysill.Call) Claim {
	now := r.opts.Now()
	if !r.accounts.acquire(c.Account, writesPerCall, r.limiter.TokensAt(now), now) {
		return refusedClaim(c, rosemarysill.Overloaded, fmt.Sprintf("the claim exceeds the entry's limits, %d concurrent claims and %d record writes per second, which accounts share equally", r.limits.Claims, r.limits.WritesPerSecond))
	}
	defer r.accounts.release(c.Account)
	if !r.limiter.AllowN(now, writesPerCall) {
		return refusedClaim(c, rosemarysill.Overloaded, fmt.Sprintf("the entry's limit of %d record writes per second is reached", r.limits.WritesPerSecond))
	}
	ctx, cancel := context.WithTimeout(ctx, claimAttempts*r.limits.StoreTimeout)
	defer cancel()
	rec := Record{ID: c.ID, Hash: contentHash(c), State: Started, WriteID: uuid.New()}
	owned := &OwnedRecord{key: Key(c), rec: rec}
	versionConflict := false // a record exists that another request may have written
	for attempt := range claimAttempts {
		if attempt > 0 {
			r.limiter.ReserveN(r.opts.Now(), 1)
		}
		lease, err := r.currentLease(ctx)
		if err != nil {
			// Without an earlier attempt, no write can have taken effect.
			return r.claimUnresolved(c, owned, attempt, versionConflict, err)
		}
		owned.lease = lease
		version := owned.version
		newVersion, err := r.swap(ctx, owned.key, rec, version, lease)
		switch {
		case err == nil:
			owned.version = newVersion
			return Claim{Owned: owned}
		case errors.Is(err, rosemarysill.ErrRateLimited) && attempt == 0:
			return refusedClaim(c, rosemarysill.Overloaded, "the store refused the record write because of its rate limit")
		case errors.Is(err, rosemarysill.ErrLeaseLapsed):
			r.invalidateLease(lease)
			continue
		}
		versionConflict = versionConflict || errors.Is(err, rosemarysill.ErrVersion)
		item, getErr := r.get(ctx, owned.key)
		if errors.Is(getErr, rosemarysill.ErrNotFound) {
			if version == 0 && !errors.Is(err, rosemarysill.ErrVersion) {
				continue // only one of a late effect of this write and the next attempt can succeed
			}
			return Claim{FromRecord: true, Answer: newAnswer(c, rosemarysill.OutcomeUnknown, "the record of the identifier has expired")}
		}
		if getErr != nil {
			return r.claimUnresolved(c, owned, attempt+1, versionConflict, getErr)
		}
		found, decodeErr := decodeRecord(item.Value)
		if decodeErr != nil {
			return Claim{FromRecord: true, Answer: newAnswer(c, rosemarysill.OutcomeUnknown, decodeErr.Error())}
		}
		if found.WriteID == rec.WriteID {
			owned.version = item.Version
			return Claim{Owned: owned}
		}
		a, action := found.match(c)
		if action == replyFromRecord {
			return Claim{FromRecord: true, Answer: a}
		}
		owned.version = item.Version
	}
	return r.claimUnresolved(c, owned, claimAttempts, versionConflict, errors.Newf("the record could not be written in %d attempts", claimAttempts))
}

// claimUnresolved answers a call whose record may or may not have been written.
// This request was not forwarded, so it gets StoreUnavailable, which means not
// run, unless a record exists that another request with the identifier may have
// written. The write is queued for Settle, so that a retry can take over the
// record.
func (r *Registry) claimUnresolved(c rosemarysill.Call, owned *OwnedRecord, attempts int, versionConflict bool, cause error) Claim {
	if attempts > 0 {
		event.RecordUnresolved.Log(r.opts.Log).Str("Key", owned.key).Err(cause).Send()
		r.queueUnresolved(owned, owned.rec.withOutcome(rosemarysill.Answer{Code: rosemarysill.StoreUnavailable}, 0))
	}
	if versionConflict {
		return Claim{FromRecord: true, Answer: newAnswer(c, rosemarysill.OutcomeUnknown, "the record of the identifier could not be read: "+cause.Error())}
	}
	return refusedClaim(c, rosemarysill.StoreUnavailable, "the record of the call could not be written: "+cause.Error())
}

func refusedClaim(c rosemarysill.Call, code rosemarysill.Code, detail string) Claim {
	return Claim{Answer: newAnswer(c, code, detail)}
}

// Finish records the outcome with one write. If the write fails or its result is
// unknown, it is queued for Settle, unless another write has changed the record.
// The record may be Started until then, which is correct because the call may
// have been forwarded.
func (r *Registry) Finish(ctx context.Context, owned *OwnedRecord, a rosemarysill.Answer) {
	rec := owned.rec.withOutcome(a, r.limits.StoredBytes)
	rec.WriteID = uuid.New()
	if _, err := r.swap(ctx, owned.key, rec, owned.version, owned.lease); err != nil && !errors.Is(err, rosemarysill.ErrVersion) {
		event.RecordUnresolved.Log(r.opts.Log).Str("Key", owned.key).Err(err).Send()
		r.queueUnresolved(owned, rec)
	}
}

func (r *Registry) queueUnresolved(owned *OwnedRecord, desired Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unresolvedWrites) >= r.limits.Unsettled {
		r.counts.Dropped++
		return
	}
	r.unresolvedWrites = append(r.unresolvedWrites, unresolvedWrite{key: owned.key, expectedWriteID: owned.rec.WriteID, desired: desired, lease: owned.lease})
}

// Settle attempts to resolve each queued write once, in order. It stops when the
// store fails, and keeps the remaining writes in the queue.
func (r *Registry) Settle(ctx context.Context) {
	r.mu.Lock()
	pending := r.unresolvedWrites
	r.unresolvedWrites = nil
	r.mu.Unlock()
	for len(pending) > 0 {
		w := pending[0]
		resolved, err := r.resolve(ctx, w)
		if err != nil && !errors.Is(err, rosemarysill.ErrNotFound) {
			break
		}
		pending = pending[1:]
		// A late write may still create the missing key.
		if w.attempts++; !resolved && w.attempts < r.limits.SettleAttempts {
			defer r.requeue(w)
		}
	}
	r.requeue(pending...)
}

func (r *Registry) requeue(writes ...unresolvedWrite) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolvedWrites = append(r.unresolvedWrites, writes...)
}

// resolve writes the desired record if the stored one still has the expected
// WriteID. It reports whether the write needs no further attempt.
func (r *Registry) resolve(ctx context.Context, w unresolvedWrite) (bool, error) {
	item, err := r.get(ctx, w.key)
	if err != nil {
		return false, err
	}
	rec, err := decodeRecord(item.Value)
	if err != nil || rec.WriteID != w.expectedWriteID {
		return true, nil // the write took effect, or another request took the record over
	}
	r.limiter.ReserveN(r.opts.Now(), 1)
	w.desired.WriteID = uuid.New()
	if _, err = r.swap(ctx, w.key, w.desired, item.Version, w.lease); err != nil {
		return false, err
	}
	event.RecordSettled.Log(r.opts.Log).Str("Key", w.key).Str("State", string(w.desired.State)).Send()
	return true, nil
}

// currentLease returns the lease for records that are created now. Records share
// a lease for the time LeaseShare, because one lease per record would be a third
// store write per call.
func (r *Registry) currentLease(ctx context.Context) (rosemarysill.LeaseID, error) {
	if lease, ok := r.cachedLease(); ok {
		return lease, nil
	}
	// Waiting calls share one request, so that they do not time out one after
	// the other in an outage.
	_, err, _ := r.grantGroup.Do("", func() (any, error) {
		if _, ok := r.cachedLease(); ok {
			return nil, nil
		}
		requestedAt := r.opts.Now()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.limits.StoreTimeout)
		defer cancel()
		r.count(func(c *Counts) { c.Grants++ })
		lease, err := r.store.Grant(ctx, r.retention+r.limits.LeaseShare+r.limits.IdentifierSlack)
		if err != nil {
			return nil, errors.Wrap(err, "grant lease for call records")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lease, r.leaseReusedUntil = lease, requestedAt.Add(r.limits.LeaseShare)
		return nil, nil
	})
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, nil
}

func (r *Registry) cachedLease() (rosemarysill.LeaseID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease != 0 && r.opts.Now().Before(r.leaseReusedUntil)
}

func (r *Registry) invalidateLease(lease rosemarysill.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.leaseReusedUntil = time.Time{}
	}
}

func (r *Registry) swap(ctx context.Context, key string, rec Record, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.limits.StoreTimeout)
	defer cancel()
	r.count(func(c *Counts) { c.Writes++ })
	return r.store.Swap(ctx, key, rec.encode(), version, lease)
}

func (r *Registry) get(ctx context.Context, key string) (rosemarysill.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, r.limits.StoreTimeout)
	defer cancel()
	r.count(func(c *Counts) { c.Reads++ })
	return r.store.Get(ctx, key)
}

func (r *Registry) count(update func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.counts)
}

// Counts returns totals since the start.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func newAnswer(c rosemarysill.Call, code rosemarysill.Code, detail string) rosemarysill.Answer {
	return rosemarysill.Answer{ID: c.ID, Code: code, Detail: detail}
}
