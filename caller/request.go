// Package caller serves callers over HTTP and is the client that callers use.
package caller

import (
	"time"
	"unicode"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// Bounds of the fields of a request.
const (
	maxAccountBytes  = 64
	maxMembers       = 4096
	maxPerMember     = 1 << 20      // accelerators, processors or MB
	maxRunSeconds    = 366 * 86_400 // of a job, as declared
	maxJobBodyBytes  = 256 << 10    // the job's record in the store is at most 1 MB
	maxCallBodyBytes = 1 << 20
	maxAnswerBytes   = 16 << 20 // of a call
)

// CallRequest is the body of POST /v1/calls. RemainingMS is the time in which
// the caller needs the answer, counted from the receipt of the request, because
// the clocks of two hosts are not compared.
type CallRequest struct {
	ID          uuid.UUID
	Account     string
	Class       rosemarysill.Class
	Idempotent  bool
	Resent      bool
	RemainingMS int64
	Body        []byte
}

// CallAnswer is the answer to a call.
type CallAnswer struct {
	message.Reply
	Upstream string
	Body     []byte
}

// JobAnswer is the answer to a request about a job. Code is the result of the
// request itself; the result of the job is in Job.
type JobAnswer struct {
	message.Reply
	Job *rosemarysill.Job `json:",omitempty"`
}

// check returns the call with its deadline, or all faults.
func (q *CallRequest) check(faults message.Faults, received time.Time, longest time.Duration) (rosemarysill.Call, message.Faults) {
	checkCommon(&faults, q.ID, q.Account, q.Class)
	if q.RemainingMS <= 0 || q.RemainingMS > longest.Milliseconds() {
		faults.Add("RemainingMS", "is not between 1 and %d", longest.Milliseconds())
	}
	if len(q.Body) > maxCallBodyBytes {
		faults.Add("Body", "exceeds %d bytes", maxCallBodyBytes)
	}
	if q.Resent && q.Idempotent {
		faults.Add("Resent", "is only for calls that are not idempotent")
	}
	if len(faults) > 0 {
		return rosemarysill.Call{}, faults
	}
	return rosemarysill.Call{
		ID:         q.ID,
		Account:    q.Account,
		Class:      q.Class,
		Idempotent: q.Idempotent,
		Resent:     q.Resent,
		Deadline:   received.Add(time.Duration(q.RemainingMS) * time.Millisecond),
		Body:       q.Body,
	}, nil
}

// checkSpec adds the faults of a job's spec.
func checkSpec(faults *message.Faults, spec *rosemarysill.JobSpec) {
	checkCommon(faults, spec.ID, spec.Account, spec.Class)
	faults.Between("Shape.Members", spec.Shape.Members, 1, maxMembers)
	faults.Between("Shape.Accelerators", spec.Shape.Accelerators, 0, maxPerMember)
	faults.Between("Shape.Processors", spec.Shape.Processors, 0, maxPerMember)
	faults.Between("Shape.MemoryMB", spec.Shape.MemoryMB, 0, maxPerMember)
	faults.Between("DeclaredSeconds", spec.DeclaredSeconds, 0, maxRunSeconds)
	if len(spec.Body) > maxJobBodyBytes {
		faults.Add("Body", "exceeds %d bytes", maxJobBodyBytes)
	}
}

func checkCommon(faults *message.Faults, id uuid.UUID, account string, class rosemarysill.Class) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		faults.Add("ID", "is not a UUID of version 7")
	}
	switch {
	case account == "":
		faults.Add("Account", "is missing")
	case len(account) > maxAccountBytes:
		faults.Add("Account", "exceeds %d bytes", maxAccountBytes)
	}
	for _, r := range account {
		if unicode.IsControl(r) || r == '/' {
			faults.Add("Account", "has a control character or a slash")
			break
		}
	}
	if class.Rank() >= len(rosemarysill.Classes()) {
		faults.Add("Class", "is not one of Urgent, Normal, Batch")
	}
}
