package record

import (
	"context"
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
	Dropped int // records that were not put right because too many waited
}

// Registry keeps the records of calls in the store. It is safe for concurrent use.
type Registry struct {
	store   rosemarysill.Store
	limits  Limits
	memory  time.Duration
	opts    rosemarysill.Options
	limiter *rate.Limiter
	shares  *shares

	granting singleflight.Group

	mu         sync.Mutex
	lease      rosemarysill.LeaseID
	leaseUntil time.Time // when the next lease is made
	unsettled  []unsettled
	counts     Counts
}

// OwnedRecord is a record that this router created or took over. Only its holder
// forwards the call.
type OwnedRecord struct {
	key     string
	rec     Record
	version uint64
	lease   rosemarysill.LeaseID
}

// unsettled is a record whose last write may or may not have taken effect.
// Only a record that still has the WriteID mine is changed to want.
type unsettled struct {
	key      string
	mine     uuid.UUID
	want     Record
	lease    rosemarysill.LeaseID
	attempts int
}

// Claim is the result of a claim: the owned record, or else the answer.
// FromRecord tells that the answer rests on the record, so that a refusal holds
// for all sendings of the identifier.
type Claim struct {
	Owned      *OwnedRecord
	Answer     rosemarysill.Answer
	FromRecord bool
}

// NewRegistry returns a registry that uses the Store, Timings, Now and Log of opts.
func NewRegistry(limits Limits, opts rosemarysill.Options) *Registry {
	return &Registry{
		store:   opts.Store,
		limits:  limits,
		memory:  opts.Timings.RequestMemory,
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.WritesPerSecond),
		shares:  newShares(limits.Claims, limits.WritesPerSecond),
	}
}

// writesPerCall is what a call costs when the store answers: the creation of
// its record and its outcome.
const writesPerCall = 2

// claimTries bounds the exchanges for one claim.
const claimTries = 3

// Claim creates the record of the call, or takes over one that is proved not
// run. Nothing was forwarded by this router when no record is held.
func (k *Registry) Claim(ctx context.Context, c rosemarysill.Call) Claim {
	now := k.opts.Now()
	if !k.shares.begin(c.Account, writesPerCall, k.limiter.TokensAt(now), now) {
		return refused(c, rosemarysill.Overloaded, "the account's share of the records is used")
	}
	defer k.shares.end(c.Account)
	if !k.limiter.AllowN(now, writesPerCall) {
		return refused(c, rosemarysill.Overloaded, "the limit of store writes is reached")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTries*k.limits.StoreTimeout)
	defer cancel()
	rec := Record{ID: c.ID, Hash: contentHash(c), State: Started, WriteID: uuid.New()}
	h := &OwnedRecord{key: Key(c), rec: rec}
	exists := false // a record that may not be ours
	for try := range claimTries {
		if try > 0 {
			k.limiter.ReserveN(k.opts.Now(), 1)
		}
		lease, err := k.currentLease(ctx)
		if err != nil {
			// The record is untouched unless an earlier try left it open.
			return k.unresolved(c, h, try, exists, err)
		}
		h.lease = lease
		version := h.version
		written, err := k.swap(ctx, h.key, rec, version, lease)
		switch {
		case err == nil:
			h.version = written
			return Claim{Owned: h}
		case errors.Is(err, rosemarysill.ErrRateLimited) && try == 0:
			return refused(c, rosemarysill.Overloaded, "the store limits its rate")
		case errors.Is(err, rosemarysill.ErrLeaseLapsed):
			k.dropLease(lease)
			continue
		}
		exists = exists || errors.Is(err, rosemarysill.ErrVersion)
		item, gerr := k.get(ctx, h.key)
		if errors.Is(gerr, rosemarysill.ErrNotFound) {
			if version == 0 && !errors.Is(err, rosemarysill.ErrVersion) {
				continue // the write had no effect so far; a late one and the next try exclude each other
			}
			return Claim{FromRecord: true, Answer: answer(c, rosemarysill.OutcomeUnknown, "the record of the identifier has lapsed")}
		}
		if gerr != nil {
			return k.unresolved(c, h, try+1, exists, gerr)
		}
		found, perr := parse(item.Value)
		if perr != nil {
			return Claim{FromRecord: true, Answer: answer(c, rosemarysill.OutcomeUnknown, perr.Error())}
		}
		if found.WriteID == rec.WriteID {
			h.version = item.Version
			return Claim{Owned: h}
		}
		a, v := found.judge(c)
		if v == answered {
			return Claim{FromRecord: true, Answer: a}
		}
		h.version = item.Version
	}
	return k.unresolved(c, h, claimTries, exists, errors.New("the record changed or was not written several times"))
}

// unresolved answers a call whose record may or may not have been written.
// Nothing was forwarded for it, so StoreUnavailable, not run, is true of this
// sending, unless there is a record that another sending may have made. The
// record is put right later, so that a retry can take it over.
func (k *Registry) unresolved(c rosemarysill.Call, h *OwnedRecord, tries int, exists bool, cause error) Claim {
	if tries > 0 {
		event.RecordUnresolved.Log(k.opts.Log).Str("Key", h.key).Err(cause).Send()
		k.settleLater(h, h.rec.outcome(rosemarysill.Answer{Code: rosemarysill.StoreUnavailable}, 0))
	}
	if exists {
		return Claim{FromRecord: true, Answer: answer(c, rosemarysill.OutcomeUnknown, "the record of the identifier could not be read: "+cause.Error())}
	}
	return refused(c, rosemarysill.StoreUnavailable, "the call was not recorded: "+cause.Error())
}

func refused(c rosemarysill.Call, code rosemarysill.Code, detail string) Claim {
	return Claim{Answer: answer(c, code, detail)}
}

// Finish records the outcome with one write. If its fate is unknown when ctx
// ends, the record says Started, which is true, until it is put right later.
func (k *Registry) Finish(ctx context.Context, h *OwnedRecord, a rosemarysill.Answer) {
	rec := h.rec.outcome(a, k.limits.StoredBytes)
	rec.WriteID = uuid.New()
	if _, err := k.swap(ctx, h.key, rec, h.version, h.lease); err != nil && !errors.Is(err, rosemarysill.ErrVersion) {
		event.RecordUnresolved.Log(k.opts.Log).Str("Key", h.key).Err(err).Send()
		k.settleLater(h, rec)
	}
}

func (k *Registry) settleLater(h *OwnedRecord, want Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unsettled) >= k.limits.Unsettled {
		k.counts.Dropped++
		return
	}
	k.unsettled = append(k.unsettled, unsettled{key: h.key, mine: h.rec.WriteID, want: want, lease: h.lease})
}

// Settle tries each unsettled record once more, one after the other, until the
// store fails.
func (k *Registry) Settle(ctx context.Context) {
	k.mu.Lock()
	work := k.unsettled
	k.unsettled = nil
	k.mu.Unlock()
	for len(work) > 0 {
		u := work[0]
		settled, err := k.settleOne(ctx, u)
		if err != nil && !errors.Is(err, rosemarysill.ErrNotFound) {
			break
		}
		work = work[1:]
		// A late write may still create a key that is not found.
		if u.attempts++; !settled && u.attempts < k.limits.SettleAttempts {
			defer k.keep(u)
		}
	}
	k.keep(work...)
}

func (k *Registry) keep(us ...unsettled) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unsettled = append(k.unsettled, us...)
}

// settleOne reports whether the record needs nothing more.
func (k *Registry) settleOne(ctx context.Context, u unsettled) (bool, error) {
	item, err := k.get(ctx, u.key)
	if err != nil {
		return false, err
	}
	rec, err := parse(item.Value)
	if err != nil || rec.WriteID != u.mine {
		return true, nil // the write took effect, or another request took the record over
	}
	k.limiter.ReserveN(k.opts.Now(), 1)
	u.want.WriteID = uuid.New()
	if _, err = k.swap(ctx, u.key, u.want, item.Version, u.lease); err != nil {
		return false, err
	}
	event.RecordSettled.Log(k.opts.Log).Str("Key", u.key).Str("State", string(u.want.State)).Send()
	return true, nil
}

// currentLease returns the lease for records created now. Records of about a
// minute share one, since a lease for each would be a third write per call.
func (k *Registry) currentLease(ctx context.Context) (rosemarysill.LeaseID, error) {
	if lease, ok := k.knownLease(); ok {
		return lease, nil
	}
	// One request for all that wait: in an outage they must not time out one
	// after the other.
	_, err, _ := k.granting.Do("", func() (any, error) {
		if _, ok := k.knownLease(); ok {
			return nil, nil
		}
		asked := k.opts.Now()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.limits.StoreTimeout)
		defer cancel()
		k.count(func(c *Counts) { c.Grants++ })
		lease, err := k.store.Grant(ctx, k.memory+k.limits.LeaseShare+k.limits.IdentifierSlack)
		if err != nil {
			return nil, errors.Wrap(err, "lease for records")
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.lease, k.leaseUntil = lease, asked.Add(k.limits.LeaseShare)
		return nil, nil
	})
	if err != nil {
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, nil
}

func (k *Registry) knownLease() (rosemarysill.LeaseID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.lease != 0 && k.opts.Now().Before(k.leaseUntil)
}

func (k *Registry) dropLease(lease rosemarysill.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.leaseUntil = time.Time{}
	}
}

func (k *Registry) swap(ctx context.Context, key string, rec Record, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.limits.StoreTimeout)
	defer cancel()
	k.count(func(c *Counts) { c.Writes++ })
	return k.store.Swap(ctx, key, rec.encode(), version, lease)
}

func (k *Registry) get(ctx context.Context, key string) (rosemarysill.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, k.limits.StoreTimeout)
	defer cancel()
	k.count(func(c *Counts) { c.Reads++ })
	return k.store.Get(ctx, key)
}

func (k *Registry) count(add func(*Counts)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	add(&k.counts)
}

// Counts returns totals since the start.
func (k *Registry) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func answer(c rosemarysill.Call, code rosemarysill.Code, detail string) rosemarysill.Answer {
	return rosemarysill.Answer{ID: c.ID, Code: code, Detail: detail}
}
