// Package record manages the stored records of calls that must run at most once.
// Only the entry that owns the record of a call forwards the call.
package record

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// State is the state of the call of a record.
type State string

// States of a record. Done, Failed and Unknown are final. A record stays Started
// if its entry crashes before it writes the outcome.
const (
	Started State = "Started" // the call may have been forwarded
	NotRun  State = "NotRun"  // the call did not run; a retry may take over the record
	Done    State = "Done"
	Failed  State = "Failed"
	Unknown State = "Unknown"
)

// Record is the stored state of a call that runs at most once. Its key is
// "call/<account>/<id>". Body holds the answer if Stored is set.
type Record struct {
	ID       uuid.UUID
	Hash     string // of the content of the call
	State    State
	Code     rosemarysill.Code
	Detail   string
	Upstream string
	Stored   bool
	Body     []byte
	WriteID  uuid.UUID
}

// Key returns the store key of the call's record.
func Key(c rosemarysill.Call) string { return "call/" + c.Account + "/" + c.ID.String() }

// contentHash returns a hash of the account, class and body of a call. The
// deadline differs between retries and is therefore not included.
func contentHash(c rosemarysill.Call) string {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.Account), []byte(c.Class), c.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func decodeRecord(value []byte) (Record, error) {
	var rec Record
	err := json.Unmarshal(value, &rec)
	return rec, errors.Wrap(err, "decode call record")
}

func (rec Record) encode() []byte {
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err) // every field type can be encoded
	}
	return value
}

// matchAction is how a call proceeds when its identifier already has a record.
type matchAction int

const (
	replyFromRecord matchAction = iota // reply without running the call
	takeOverRecord                     // the recorded call did not run
)

// match compares a call with the existing record of its identifier. It returns
// the answer if the action is replyFromRecord.
func (rec Record) match(c rosemarysill.Call) (rosemarysill.Answer, matchAction) {
	a := rosemarysill.Answer{ID: c.ID, Code: rec.Code, Detail: rec.Detail, Upstream: rec.Upstream}
	switch {
	case rec.Hash != contentHash(c):
		return rosemarysill.Answer{ID: c.ID, Code: rosemarysill.IdentifierReused, Detail: "the identifier was already used for a call with different content"}, replyFromRecord
	case rec.State == NotRun:
		return rosemarysill.Answer{}, takeOverRecord
	case rec.State == Done && rec.Stored:
		a.Body = rec.Body
		return a, replyFromRecord
	case rec.State == Done:
		a.Code, a.Detail = rosemarysill.AnswerTooLarge, "the call ran, but its answer exceeded the size limit for stored answers"
		return a, replyFromRecord
	case rec.State == Failed && rec.Code.Truth() == rosemarysill.TruthFailed:
		return a, replyFromRecord
	default:
		return rosemarysill.Answer{
			ID: c.ID, Code: rosemarysill.OutcomeUnknown, Detail: "an earlier request with this identifier may have run", Upstream: rec.Upstream,
		}, replyFromRecord
	}
}

// withOutcome returns a copy of the record with the outcome of the call. The
// body of the answer is stored if it has at most maxBodyBytes.
func (rec Record) withOutcome(a rosemarysill.Answer, maxBodyBytes int) Record {
	rec.Code, rec.Detail, rec.Upstream = a.Code, a.Detail, a.Upstream
	switch a.Code.Truth() {
	case rosemarysill.TruthDone:
		rec.State = Done
		if len(a.Body) <= maxBodyBytes {
			rec.Stored, rec.Body = true, a.Body
		}
	case rosemarysill.TruthNotRun:
		rec.State = NotRun
	case rosemarysill.TruthFailed:
		rec.State = Failed
	default:
		rec.State = Unknown
	}
	return rec
}

// IdentifierFault returns why the identifier cannot be accepted, or "". The
// timestamp of the identifier must be within half the retention of the entry's
// clock, so that the record exists for as long as the identifier is accepted.
func IdentifierFault(id uuid.UUID, now time.Time, retention time.Duration) string {
	if id.Version() != 7 {
		return fmt.Sprintf("the identifier is a UUID of version %d; version 7 is required", id.Version())
	}
	createdAt := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if age := now.Sub(createdAt); age > retention/2 || age < -retention/2 {
		return fmt.Sprintf("the identifier was created at %s, which differs by %s from the entry's clock; the limit is %s", createdAt.UTC().Format(time.RFC3339), age.Abs().Round(time.Millisecond), retention/2)
	}
	return ""
}
