package kvstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// Effect states whether a write took effect, as far as the writer knows.
type Effect string

// The effects of a write.
const (
	TookEffect Effect = "TookEffect"
	NoEffect   Effect = "NoEffect"   // the write did not take effect and cannot do so later
	Unresolved Effect = "Unresolved" // the write may have taken effect, or may do so later
)

// WriteResult is the result of WriteDocument. Version is the version of the key
// after the write if it took effect.
type WriteResult struct {
	Effect  Effect
	Version uint64
	Err     error // why the write had no effect or is unresolved
}

// Write is a document to be written with compare-and-swap. Document is encoded
// as a JSON object whose field WriteID must equal the WriteID here. Each write
// needs a new WriteID.
type Write struct {
	Key      string
	Document any
	WriteID  uuid.UUID
	Version  uint64 // 0: the key does not exist
	Lease    rosemarysill.LeaseID
}

// Limits of the resolution of a lost reply. The pause doubles after each attempt,
// so five attempts take about 0.3 s if the store replies at once. This is a tenth
// of the shortest deadline of the protocol (StoreFresh).
const (
	resolveAttempts     = 5
	initialResolvePause = 20 * time.Millisecond
)

// WriteDocument writes a document. If the reply is lost, it reads the key and
// recognises its own write by the WriteID. An unchanged key proves nothing,
// because the first request may still be in transit. WriteDocument then sends the
// same write again; the version ensures that only one of the two takes effect.
// The result is Unresolved if ctx ends or all attempts fail. A caller that may
// write only until a certain time sets this time as the deadline of ctx.
func WriteDocument(ctx context.Context, s rosemarysill.Store, w Write) WriteResult {
	value, err := json.Marshal(w.Document)
	if err != nil {
		return WriteResult{Effect: NoEffect, Err: errors.Wrapf(err, "encode the document for %s", w.Key)}
	}
	if writeIDOf(value) != w.WriteID || w.WriteID == uuid.Nil {
		return WriteResult{Effect: NoEffect, Err: errors.Newf("document for %s has the WriteID %s, want %s, which must not be nil", w.Key, writeIDOf(value), w.WriteID)}
	}
	if err := ctx.Err(); err != nil {
		return WriteResult{Effect: NoEffect, Err: errors.Wrapf(err, "write of %s not sent", w.Key)}
	}
	version, err := s.Swap(ctx, w.Key, value, w.Version, w.Lease)
	switch {
	case err == nil:
		return WriteResult{Effect: TookEffect, Version: version}
	case provesNoEffect(err):
		return WriteResult{Effect: NoEffect, Err: err}
	}
	return resolve(ctx, s, w, value, err)
}

// provesNoEffect reports whether an error of Swap proves that the write did not
// take effect and cannot do so later.
func provesNoEffect(err error) bool {
	for _, target := range []error{rosemarysill.ErrVersion, rosemarysill.ErrLeaseLapsed, rosemarysill.ErrRateLimited} {
		if errors.Is(err, target) {
			return true
		}
	}
	return rosemarysill.CodeOf(err).Truth() == rosemarysill.TruthNotRun
}

// resolve determines the effect of a write whose reply was lost because of cause.
func resolve(ctx context.Context, s rosemarysill.Store, w Write, value []byte, cause error) WriteResult {
	unresolved := WriteResult{Effect: Unresolved, Err: errors.Wrapf(cause, "write %s at version %d: reply lost", w.Key, w.Version)}
	pause := initialResolvePause
	for attempt := range resolveAttempts {
		if attempt > 0 && !sleep(ctx, pause) {
			return unresolved
		}
		pause *= 2
		it, err := s.Get(ctx, w.Key)
		if errors.Is(err, rosemarysill.ErrNotFound) {
			it, err = rosemarysill.Item{Key: w.Key}, nil
		}
		if err != nil {
			continue
		}
		if it.Version != 0 && writeIDOf(it.Value) == w.WriteID {
			return WriteResult{Effect: TookEffect, Version: it.Version}
		}
		if it.Version != w.Version {
			// Another write or a deletion changed the key. The key does not show
			// whether this happened after our write or made our write fail.
			unresolved.Err = errors.Wrapf(cause, "write %s at version %d: reply lost, and the key now has version %d", w.Key, w.Version, it.Version)
			return unresolved
		}
		version, err := s.Swap(ctx, w.Key, value, w.Version, w.Lease)
		switch {
		case err == nil:
			return WriteResult{Effect: TookEffect, Version: version}
		case errors.Is(err, rosemarysill.ErrLeaseLapsed):
			// The store checks the lease after the version, so the key was
			// unchanged, and the first write fails too if it arrives later. If
			// the key did not exist before, the first write may have taken
			// effect and been deleted with the expired lease.
			if w.Version == 0 {
				return unresolved
			}
			return WriteResult{Effect: NoEffect, Err: err}
		}
	}
	return unresolved
}

// writeIDOf returns the WriteID of a JSON document, or uuid.Nil if it has none.
func writeIDOf(value []byte) uuid.UUID {
	var d struct{ WriteID uuid.UUID }
	if err := json.Unmarshal(value, &d); err != nil {
		return uuid.Nil
	}
	return d.WriteID
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
