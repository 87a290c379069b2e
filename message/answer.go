package message

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/intake"
)

// Headers of an answer. They let the receiver prove that the answer is whole,
// also when something between changes the transfer coding.
const (
	IDHeader     = "Rosemarysill-ID"     // of a request, so that an answer can name it before the body is read
	LengthHeader = "Rosemarysill-Length" // bytes of the body, decimal
	HashHeader   = "Rosemarysill-Xxhash" // xxhash64 of the body, 16 hex digits
)

// Reply is the part that every answer has. ID is the identifier of the request,
// zero when it could not be read.
type Reply struct {
	Code   rosemarysill.Code
	Name   string
	Truth  rosemarysill.Truth
	Detail string
	ID     uuid.UUID
	Faults Faults `json:",omitempty"`
}

// NewReply returns the reply for a code.
func NewReply(id uuid.UUID, code rosemarysill.Code, detail string) Reply {
	return Reply{Code: code, Name: code.String(), Truth: code.Truth(), Detail: detail, ID: id}
}

// ReplyTo returns the reply for a finished request; err may be nil.
func ReplyTo(id uuid.UUID, err error) Reply {
	return NewReply(id, rosemarysill.CodeOf(err), rosemarysill.DetailOf(err))
}

// Invalid returns the reply to a request with faults.
func Invalid(id uuid.UUID, faults Faults) Reply {
	r := ReplyTo(id, faults.Err())
	r.Faults = faults
	return r
}

// Err returns the reply as an error, nil for Done.
func (r Reply) Err() error {
	if r.Code == rosemarysill.Done {
		return nil
	}
	return &rosemarysill.Error{Code: r.Code, Detail: r.Detail}
}

// Head returns the reply itself; answers that embed Reply inherit it.
func (r *Reply) Head() *Reply { return r }

// Status returns the HTTP status for a code. It depends on the truth alone;
// docs/CODES.md has the table.
func Status(code rosemarysill.Code) int {
	switch code.Truth() {
	case rosemarysill.TruthDone:
		return http.StatusOK
	case rosemarysill.TruthNotRun:
		return http.StatusUnprocessableEntity
	case rosemarysill.TruthFailed:
		return http.StatusBadGateway
	case rosemarysill.TruthUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusConflict
	}
}

// RequestID returns the identifier from the header, zero when there is none.
func RequestID(r *http.Request) (uuid.UUID, Faults) {
	var faults Faults
	text := r.Header.Get(IDHeader)
	if text == "" {
		return uuid.Nil, nil
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(id.String()) {
		faults.Add(IDHeader, "is not a UUID")
		return uuid.Nil, faults
	}
	return id, nil
}

// Read reads a request's body of at most limit bytes until the deadline, and
// waits until the request may be executed. Server limits the memory of bodies.
func Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	return intake.Read(w, r, limit, deadline)
}

// Write sends v with the status of the code and the headers that prove it
// whole. The client must take it by the deadline.
func Write(w http.ResponseWriter, code rosemarysill.Code, v any, deadline time.Time) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // not supported by test recorders
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(LengthHeader, strconv.Itoa(len(data)))
	h.Set(HashHeader, fmt.Sprintf("%016x", xxhash.Sum64(data)))
	w.WriteHeader(Status(code))
	_, err = w.Write(data)
	return errors.Wrap(err, "send answer")
}
