package kvstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// Effect is what is known about a write.
type Effect string

// The effects of a write.
const (
	TookEffect Effect = "TookEffect"
	NoEffect   Effect = "NoEffect"   // proved: the write did not take effect and will not
	Unresolved Effect = "Unresolved" // the write may have taken effect, or may still do so
)

// WriteResult is the result of WriteDocument. Version is the version that the
// write made when it took effect.
type WriteResult struct {
	Effect  Effect
	Version uint64
	Err     error // why the write had no effect or is unresolved
}

// Write is a document to be written with compare-and-swap. Document is encoded
// as JSON and must be an object whose WriteID is the given one, new for each
// write.
type Write struct {
	Key      string
	Document any
	WriteID  uuid.UUID
	Version  uint64 // 0: the key does not exist
	Lease    rosemarysill.LeaseID
}

// Bounds of the resolution of a lost answer. Five rounds with pauses of 20 ms,
// doubled each time, last about 0.3 s at a store that answers at once, a tenth
// of the shortest deadline of the protocol (StoreFresh).
const (
	resolveRounds = 5
	resolvePause  = 20 * time.Millisecond
)

// WriteDocument writes a document and resolves a lost answer: it reads the key
// back and recognises its own write by the WriteID. An unchanged key proves
// nothing, because the lost write may still be on its way; the same write is
// sent again then, and the version lets only one of the two take effect. It
// gives up as Unresolved when ctx ends or the rounds are used up. A caller
// whose right to write ends at a time sets it as the deadline of ctx.
func WriteDocument(ctx context.Context, s rosemarysill.Store, w Write) WriteResult {
	value, err := json.Marshal(w.Document)
	if err != nil {
		return WriteResult{Effect: NoEffect, Err: errors.Wrapf(err, "encode %s", w.Key)}
	}
	if writeIDOf(value) != w.WriteID || w.WriteID == uuid.Nil {
		return WriteResult{Effect: NoEffect, Err: errors.Newf("document for %s does not carry the WriteID %s", w.Key, w.WriteID)}
	}
	if err := ctx.Err(); err != nil {
		return WriteResult{Effect: NoEffect, Err: errors.Wrapf(err, "write %s", w.Key)}
	}
	version, err := s.Swap(ctx, w.Key, value, w.Version, w.Lease)
	switch {
	case err == nil:
		return WriteResult{Effect: TookEffect, Version: version}
	case provedNoEffect(err):
		return WriteResult{Effect: NoEffect, Err: err}
	}
	return resolve(ctx, s, w, value, err)
}

// provedNoEffect reports whether an error of Swap proves that the write it
// answers did not take effect and will not.
func provedNoEffect(err error) bool {
	for _, proof := range []error{rosemarysill.ErrVersion, rosemarysill.ErrLeaseLapsed, rosemarysill.ErrRateLimited} {
		if errors.Is(err, proof) {
			return true
		}
	}
	return rosemarysill.CodeOf(err).Truth() == rosemarysill.TruthNotRun
}

// resolve finds out about a write whose answer was lost because of cause.
func resolve(ctx context.Context, s rosemarysill.Store, w Write, value []byte, cause error) WriteResult {
	unresolved := WriteResult{Effect: Unresolved, Err: errors.Wrapf(cause, "write %s: answer lost", w.Key)}
	pause := resolvePause
	for round := range resolveRounds {
		if round > 0 && !sleep(ctx, pause) {
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
			// Another write or a deletion followed. Whether it replaced our
			// write or made it fail cannot be told from the key.
			unresolved.Err = errors.Wrapf(cause, "write %s: answer lost, and the key has changed since", w.Key)
			return unresolved
		}
		version, err := s.Swap(ctx, w.Key, value, w.Version, w.Lease)
		switch {
		case err == nil:
			return WriteResult{Effect: TookEffect, Version: version}
		case errors.Is(err, rosemarysill.ErrLeaseLapsed):
			// The lease is checked after the version, so the key was unchanged
			// and a late first write finds no lease either. A first write that
			// took effect and was deleted with the lease looks the same when
			// the key did not exist before.
			if w.Version == 0 {
				return unresolved
			}
			return WriteResult{Effect: NoEffect, Err: err}
		}
	}
	return unresolved
}

// writeIDOf returns the WriteID of a JSON document, or the nil UUID.
func writeIDOf(value []byte) uuid.UUID {
	var d struct{ WriteID uuid.UUID }
	if err := json.Unmarshal(value, &d); err != nil {
		return uuid.Nil
	}
	return d.WriteID
}

// sleep waits for d and reports false when ctx ends first.
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
