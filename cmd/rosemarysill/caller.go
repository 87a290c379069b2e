package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/caller"
)

// entriesOption names the entries that a command may ask.
type entriesOption struct {
	Entries []string `long:"entry" env:"ROSEMARYSILL_ENTRIES" env-delim:"," required:"true" value-name:"IP:PORT" description:"HTTP address of an entry; repeat it to name several"`
}

func (o entriesOption) addresses() ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range o.Entries {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, rosemarysill.NewError(rosemarysill.InvalidArguments, "--entry %q: %v", s, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// interruptible returns a context that ends on an interrupt.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// withCaller runs f with a client for callers.
func (o entriesOption) withCaller(f func(ctx context.Context, c *caller.Client) error) error {
	entries, err := o.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	c := caller.NewClient(entries)
	defer c.Close()
	return f(ctx, c)
}

func callerCommands() []command {
	return []command{
		{name: "call", short: "Send a call and print the answer", data: &callCommand{},
			long: "Sends a short request to an upstream and prints the body of its answer. The request's body is read from --body or, with --body -, from standard input. Exit code 50 means that the call may have run."},
		{name: "submit", short: "Submit a job", data: &submitCommand{},
			long: "Submits a gang of tasks and prints its identifier. Submitting again with the same --id and the same options returns the accepted job."},
		{name: "cancel", short: "Cancel a job", data: &cancelCommand{},
			long: "Ends a job that waits, or asks for the end of one that has started."},
		{name: "result", short: "Print the state or the result of a job", data: &resultCommand{},
			long: "Prints the result of a finished job. While the job is not finished, the state is printed and the exit code is 69; with --wait the command asks again until the job is finished or the time is over."},
	}
}

// requestOptions are common to calls and jobs.
type requestOptions struct {
	ID         string `long:"id" value-name:"UUID" description:"Identifier, a UUID version 7; made here when absent. Repeat a request under its identifier to keep it from running twice"`
	Account    string `long:"account" required:"true" value-name:"NAME" description:"Client account"`
	Class      string `long:"class" choice:"Urgent" choice:"Normal" choice:"Batch" default:"Normal" description:"Urgency"`
	Idempotent bool   `long:"idempotent" description:"The request may run twice without harm"`
	Body       string `long:"body" value-name:"TEXT" description:"Body of the request; - reads standard input"`
}

// read returns the identifier and the body of the request.
func (o requestOptions) read() (id uuid.UUID, body []byte, err error) {
	if o.ID == "" {
		id, err = uuid.NewV7()
	} else {
		id, err = parseID(o.ID)
	}
	if err != nil || o.Body != "-" {
		return id, []byte(o.Body), err
	}
	if body, err = io.ReadAll(os.Stdin); err != nil {
		err = rosemarysill.NewError(rosemarysill.InvalidArguments, "read body: %v", err)
	}
	return id, body, err
}

func parseID(s string) (uuid.UUID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return uuid.Nil, rosemarysill.NewError(rosemarysill.InvalidArguments, "identifier %q: %v", s, err)
	}
	return id, nil
}

type callCommand struct {
	entriesOption
	requestOptions
	Within time.Duration `long:"within" default:"10s" description:"Time limit for the answer"`
}

// Execute sends the call.
func (c *callCommand) Execute([]string) error {
	id, body, err := c.read()
	if err != nil {
		return err
	}
	return c.withCaller(func(ctx context.Context, client *caller.Client) error {
		a := client.Call(ctx, rosemarysill.Call{
			ID: id, Account: c.Account, Class: rosemarysill.Class(c.Class), Idempotent: c.Idempotent,
			Deadline: time.Now().Add(c.Within), Body: body,
		})
		if err := show(a, func() { _, _ = os.Stdout.Write(a.Body) }); err != nil {
			return err
		}
		if a.Code != rosemarysill.Done {
			return rosemarysill.NewError(a.Code, "call %s: %s", a.ID, a.Detail)
		}
		return nil
	})
}

type submitCommand struct {
	entriesOption
	requestOptions
	Members      int  `long:"members" default:"1" description:"Tasks in the gang"`
	Accelerators int  `long:"accelerators" default:"1" description:"Accelerators of each task"`
	Processors   int  `long:"processors" default:"1" description:"Processors of each task"`
	MemoryMB     int  `long:"memory-mb" default:"1024" description:"Memory of each task in MB"`
	Adjacent     bool `long:"adjacent" description:"All tasks in one rack"`
	Seconds      int  `long:"seconds" default:"3600" description:"Estimate of the run time"`
}

// Execute submits the job.
func (c *submitCommand) Execute([]string) error {
	id, body, err := c.read()
	if err != nil {
		return err
	}
	spec := rosemarysill.JobSpec{
		ID: id, Account: c.Account, Class: rosemarysill.Class(c.Class), Idempotent: c.Idempotent,
		Shape: rosemarysill.Shape{
			Members: c.Members, Accelerators: c.Accelerators, Processors: c.Processors,
			MemoryMB: c.MemoryMB, Adjacent: c.Adjacent,
		},
		DeclaredSeconds: c.Seconds, Body: body,
	}
	return c.withCaller(func(ctx context.Context, client *caller.Client) error {
		job, err := client.Submit(ctx, spec)
		if err != nil {
			return err
		}
		return show(job, func() { fmt.Println(job.Spec.ID) })
	})
}

type jobArgument struct {
	Args struct {
		ID string `positional-arg-name:"JOB" required:"true" description:"Identifier of the job"`
	} `positional-args:"true" required:"true"`
}

type cancelCommand struct {
	entriesOption
	jobArgument
}

// Execute cancels the job.
func (c *cancelCommand) Execute([]string) error {
	id, err := parseID(c.Args.ID)
	if err != nil {
		return err
	}
	return c.withCaller(func(ctx context.Context, client *caller.Client) error {
		job, err := client.Cancel(ctx, id)
		if err != nil {
			return err
		}
		return show(job, func() { printJob(job) })
	})
}

type resultCommand struct {
	entriesOption
	jobArgument
	Wait time.Duration `long:"wait" description:"Ask again for this long while the job is not finished"`
}

// askAgain is the pause between questions of result --wait.
const askAgain = 250 * time.Millisecond

// Execute prints the job's result.
func (c *resultCommand) Execute([]string) error {
	id, err := parseID(c.Args.ID)
	if err != nil {
		return err
	}
	until := time.Now().Add(c.Wait)
	return c.withCaller(func(ctx context.Context, client *caller.Client) error {
		for {
			job, err := client.Job(ctx, id)
			if err == nil && job.State.Final() {
				return c.finished(job)
			}
			if time.Now().Before(until) && ctx.Err() == nil && rosemarysill.CodeOf(err) != rosemarysill.UnknownJob {
				time.Sleep(askAgain)
				continue
			}
			if err != nil {
				return err
			}
			if err := show(job, func() { printJob(job) }); err != nil {
				return err
			}
			return printedError{rosemarysill.NewError(rosemarysill.NotFinished, "job %s is %s", id, job.State)}
		}
	})
}

func (c *resultCommand) finished(job rosemarysill.Job) error {
	text := func() {
		if job.Code == rosemarysill.Done {
			_, _ = os.Stdout.Write(job.Result)
			return
		}
		printJob(job)
	}
	if err := show(job, text); err != nil {
		return err
	}
	if job.Code != rosemarysill.Done {
		return printedError{rosemarysill.NewError(job.Code, "%s", job.Detail)}
	}
	return nil
}

func printJob(job rosemarysill.Job) {
	fmt.Printf("job %s: %s, attempt %d", job.Spec.ID, job.State, job.Attempt)
	if job.State.Final() {
		fmt.Printf(", %s (%d, %s)", job.Code, int(job.Code), job.Code.Truth())
	}
	if job.Detail != "" {
		fmt.Printf(": %s", job.Detail)
	}
	fmt.Println()
}
