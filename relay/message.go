// Package relay lets an entry that does not reach the store have another entry
// serve its callers. All calls about jobs may be repeated, so one whose answer
// was lost is safe to relay.
package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/work"
)

// Operation is a call about a job.
type Operation string

// Operations.
const (
	Submit  Operation = "Submit"
	State   Operation = "State"
	Cancel  Operation = "Cancel"
	Pending Operation = "Pending"
)

// Request is a relayed call.
type Request struct {
	Operation Operation
	Call      queue.Call
	Remaining time.Duration `json:"Left"` // time that the caller still waits
	Job       *work.Job     // what is submitted
}

// Answer is the answer to a relayed call.
type Answer struct {
	Code    rosemarysill.Code
	Detail  string
	State   work.State
	Pending int
}

// server answers relayed calls.
type server interface {
	serve(ctx context.Context, r Request) Answer
}

const (
	serviceName = "rosemarysill.Relay"
	methodName  = "Call"
)

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*server)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: methodName,
		Handler: func(srv any, ctx context.Context, decode func(any) error, around grpc.UnaryServerInterceptor) (any, error) {
			var r Request
			if err := decode(&r); err != nil {
				return nil, err
			}
			serve := func(ctx context.Context, _ any) (any, error) {
				a := srv.(server).serve(ctx, r)
				return &a, nil
			}
			if around == nil {
				return serve(ctx, &r)
			}
			return around(ctx, &r, &grpc.UnaryServerInfo{Server: srv, FullMethod: "/" + serviceName + "/" + methodName}, serve)
		},
	}},
}

// Register serves relayed calls from jobs.
func Register(s *grpc.Server, jobs queue.Jobs) { s.RegisterService(&description, local{jobs}) }

// local serves relayed calls at this entry, without relaying them again.
type local struct{ jobs queue.Jobs }

func (l local) serve(ctx context.Context, r Request) Answer {
	// The clocks of two entries may differ, so the deadline is set anew.
	r.Call.Deadline = time.Now().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, r.Call.Deadline)
	defer cancel()
	return perform(ctx, l.jobs, r)
}

// perform carries a request out at an entry.
func perform(ctx context.Context, jobs queue.Jobs, r Request) Answer {
	var a Answer
	var err error
	switch r.Operation {
	case Submit:
		err = jobs.Submit(ctx, r.Call, func() (*work.Job, error) { return r.Job, nil })
	case State:
		a.State, err = jobs.State(ctx, r.Call)
	case Cancel:
		err = jobs.Cancel(ctx, r.Call)
	case Pending:
		a.Pending, err = jobs.Pending(ctx, r.Call)
	default:
		err = rosemarysill.NewError(rosemarysill.InvalidRequest, "unknown operation %q", r.Operation)
	}
	a.Code, a.Detail = rosemarysill.CodeOf(err), rosemarysill.DetailOf(err)
	return a
}

func (a Answer) err() error {
	if a.Code == rosemarysill.Done {
		return nil
	}
	return rosemarysill.NewError(a.Code, "%s", a.Detail)
}
