package queue

import (
	"context"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Call identifies a request of a caller.
type Call struct {
	Host     string
	Path     string
	Key      string // API key of a client account
	Deadline time.Time
	// RelayedBy is the name of the entry that has forwarded the call. It is empty at the
	// entry that the caller has sent the request to.
	RelayedBy string `json:",omitempty"`
	// MinRevision is the least revision of the configuration that may decide the call.
	// A relaying entry sets it.
	MinRevision uint64 `json:",omitempty"`
	// Repeated reports that another entry has tried the call before. The relaying entry sets
	// it. Such a call replaces no mark of a refusal but that of MarkVersion, because the
	// refusal may be later than the call.
	Repeated bool `json:",omitempty"`
	// MarkVersion is the version of the mark that the call may replace, 0 if there is none.
	// An earlier attempt of the call, at another entry, has found or left it.
	MarkVersion uint64 `json:",omitempty"`
	// DecidedBy is set to the configuration that has decided the call, if it is not nil.
	DecidedBy *ConfigID `json:"-"`
	// Marked is set to true, if it is not nil, when a submission is refused and no earlier
	// write of its job, by any entry, can take effect any more.
	Marked *bool `json:"-"`
	// FoundMark is set, if it is not nil, to the MarkVersion for a repetition of the call.
	FoundMark *uint64 `json:"-"`
}

// LastSegment returns the part of the path behind the last slash. This is the identifier
// of the job if the call names one.
func (c Call) LastSegment() string { return c.Path[strings.LastIndexByte(c.Path, '/')+1:] }

// Status is the answer to a question.
type Status struct {
	OfQueue bool       // the question is about a queue
	Pending int        // number of jobs of the queue that have not started
	State   work.State // of the job
}

// Jobs serves the calls about jobs. Errors carry a rosemarysill.Code; a code
// between 10 and 39 means that the call had no effect.
type Jobs interface {
	// Submit accepts a job. It calls decode, which reads the body, only after it
	// has checked the queue and the key.
	Submit(ctx context.Context, c Call, decode func() (*work.Job, error)) error
	// Status answers a question about a job, or about a queue if the path of the call is
	// the prefix of one.
	Status(ctx context.Context, c Call) (Status, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, c Call) error
	// MaxBody returns the size limit of request bodies in bytes.
	MaxBody() int64
}
