// Package record keeps the records of calls that must run at most once. A call
// is forwarded only by the entry that holds its record.
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

// State is what a record says about its call.
type State string

// The states of a record. Done, Failed and Unknown are final. A record stays
// Started when its entry was lost.
const (
	Started State = "Started" // may have been forwarded
	NotRun  State = "NotRun"  // proved not run; a retry may take it over
	Done    State = "Done"
	Failed  State = "Failed"
	Unknown State = "Unknown"
)

// Record is what the store keeps of a call that runs at most once, under the
// key "call/<account>/<id>". Body is the answer when Stored is set.
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

// Key returns the store's key of the call's record.
func Key(c rosemarysill.Call) string { return "call/" + c.Account + "/" + c.ID.String() }

// contentHash returns a hash of what makes two calls the same request. The
// deadline differs between retries and is left out.
func contentHash(c rosemarysill.Call) string {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.Account), []byte(c.Class), c.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func parse(value []byte) (Record, error) {
	var rec Record
	err := json.Unmarshal(value, &rec)
	return rec, errors.Wrap(err, "decode record of a call")
}

func (rec Record) encode() []byte {
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err) // no field can fail to encode
	}
	return value
}

// verdict is what an existing record means for a call that finds it.
type verdict int

const (
	answered verdict = iota // the answer is known
	takeOver                // proved not run
)

// judge compares a call with the record that it found under its identifier.
func (rec Record) judge(c rosemarysill.Call) (rosemarysill.Answer, verdict) {
	a := rosemarysill.Answer{ID: c.ID, Code: rec.Code, Detail: rec.Detail, Upstream: rec.Upstream}
	switch {
	case rec.Hash != contentHash(c):
		return rosemarysill.Answer{ID: c.ID, Code: rosemarysill.IdentifierReused, Detail: "another request has this identifier"}, answered
	case rec.State == NotRun:
		return rosemarysill.Answer{}, takeOver
	case rec.State == Done && rec.Stored:
		a.Body = rec.Body
		return a, answered
	case rec.State == Done:
		a.Code, a.Detail = rosemarysill.AnswerTooLarge, "the call ran; its answer was too large to be kept for a retry"
		return a, answered
	case rec.State == Failed && rec.Code.Truth() == rosemarysill.TruthFailed:
		return a, answered
	default:
		return rosemarysill.Answer{
			ID: c.ID, Code: rosemarysill.OutcomeUnknown, Detail: "an earlier request with this identifier may have run", Upstream: rec.Upstream,
		}, answered
	}
}

// outcome returns the record after the call has ended with the answer.
func (rec Record) outcome(a rosemarysill.Answer, stored int) Record {
	rec.Code, rec.Detail, rec.Upstream = a.Code, a.Detail, a.Upstream
	switch a.Code.Truth() {
	case rosemarysill.TruthDone:
		rec.State = Done
		if len(a.Body) <= stored {
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

// IdentifierFault returns why the identifier cannot be honoured, or "". Its
// timestamp is compared with the entry's clock, and the record of the
// identifier outlives the range.
func IdentifierFault(id uuid.UUID, now time.Time, memory time.Duration) string {
	if id.Version() != 7 {
		return "the identifier is not a UUID of version 7"
	}
	made := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if age := now.Sub(made); age > memory/2 || age < -memory/2 {
		return fmt.Sprintf("the identifier was made at %s, more than %s from the entry's clock", made.UTC().Format(time.RFC3339), memory/2)
	}
	return ""
}
