// Package relay forwards the calls of an entry that cannot reach the store to
// other entries. All calls about jobs are idempotent, so a call whose answer was
// lost can safely be sent to another entry.
package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/work"
)

// Operation names a method of queue.Jobs.
type Operation string

// Operations.
const (
	Submit Operation = "Submit"
	Status Operation = "State"
	Cancel Operation = "Cancel"
)

// pending is a question about a queue from an entry of a version that has decided itself
// what the question is about.
const pending Operation = "Pending"

// Request is a relayed call.
type Request struct {
	Operation Operation
	Call      queue.Call
	Remaining time.Duration `json:"Left"` // time that the receiver has for the call
	Job       *work.Job     // set for Submit only
}

// Answer is the answer to a relayed call.
type Answer struct {
	Code    rosemarysill.Code
	Detail  string
	OfQueue bool `json:",omitempty"`
	State   work.State
	Pending int
	Config  queue.ConfigID // configuration that has decided the call
	// StoreAway reports that the entry that has answered is not in contact with the store.
	// Entries of earlier versions do not say so.
	StoreAway bool `json:",omitempty"`
	// RetryAfter is that of the error, 0 if there is none.
	RetryAfter time.Duration `json:",omitempty"`

	// Marked reports that a submission is refused and no earlier write of its job can take
	// effect any more.
	Marked bool `json:",omitempty"`
	// MarkVersion is the MarkVersion for a repetition of the call, 0 if that is unchanged.
	MarkVersion uint64 `json:",omitempty"`

	lost bool // the entry has not answered
}

// relayServer is the service that grpc registers.
type relayServer interface {
	serve(ctx context.Context, r Request) Answer
}

const (
	serviceName = "rosemarysill.Relay"
	methodName  = "Call"
)

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*relayServer)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: methodName,
		Handler: func(srv any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
			var r Request
			if err := decode(&r); err != nil {
				return nil, err
			}
			handle := func(ctx context.Context, _ any) (any, error) {
				a := srv.(relayServer).serve(ctx, r)
				return &a, nil
			}
			if interceptor == nil {
				return handle(ctx, &r)
			}
			return interceptor(ctx, &r, &grpc.UnaryServerInfo{Server: srv, FullMethod: "/" + serviceName + "/" + methodName}, handle)
		},
	}},
}

// Register adds the service for relayed calls, which the local entry answers, to a
// server. The slots limit the calls in progress.
func Register(s *grpc.Server, local Local, slots *intake.Slots) {
	s.RegisterService(&serviceDesc, localServer{local, slots})
}

// localServer serves relayed calls at this entry. It does not relay them again.
type localServer struct {
	local Local
	slots *intake.Slots
}

func (l localServer) serve(ctx context.Context, r Request) Answer {
	// The clocks of two entries may differ, so the deadline is derived from the
	// remaining time.
	r.Call.Deadline = time.Now().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, r.Call.Deadline)
	defer cancel()
	var decidedBy queue.ConfigID
	var marked bool
	var foundMark uint64
	r.Call.DecidedBy, r.Call.Marked, r.Call.FoundMark = &decidedBy, &marked, &foundMark
	// Half of the time is left for the call, or for the answer that refuses it.
	waitCtx, stopWaiting := context.WithTimeout(ctx, r.Remaining/2)
	defer stopWaiting()
	if !l.slots.Enter(waitCtx) {
		return Answer{Code: rosemarysill.Overloaded, Detail: "too many relayed calls in progress"}
	}
	defer l.slots.Leave()
	a := execute(ctx, l.local, r)
	a.Marked, a.MarkVersion = marked, foundMark
	a.Config, a.StoreAway = decidedBy, !l.local.StoreReachable()
	return a
}

// execute calls the method of jobs that the request names.
func execute(ctx context.Context, jobs queue.Jobs, r Request) Answer {
	var a Answer
	var err error
	switch r.Operation {
	case Submit:
		err = jobs.Submit(ctx, r.Call, func() (*work.Job, error) { return r.Job, nil })
	case Status, pending:
		var s queue.Status
		s, err = jobs.Status(ctx, r.Call)
		a.OfQueue, a.State, a.Pending = s.OfQueue, s.State, s.Pending
	case Cancel:
		err = jobs.Cancel(ctx, r.Call)
	default:
		err = rosemarysill.NewError(rosemarysill.InvalidRequest, "unknown operation %q in a relayed call", r.Operation)
	}
	a.Code, a.Detail, a.RetryAfter = rosemarysill.CodeOf(err), rosemarysill.DetailOf(err), rosemarysill.RetryAfterOf(err)
	return a
}

func (a Answer) err() error {
	if a.Code == rosemarysill.Done {
		return nil
	}
	return rosemarysill.NewRefusal(a.Code, a.RetryAfter, "%s", a.Detail)
}
