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

// entriesOption holds the entries to which a command may connect.
type entriesOption struct {
	Entries []string `long:"entry" env:"ROSEMARYSILL_ENTRIES" env-delim:"," required:"true" value-name:"IP:PORT" description:"HTTP address of an entry; repeat it to name several"`
}

func (o entriesOption) addresses() ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range o.Entries {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, rosemarysill.NewError(rosemarysill.InvalidArguments, "--entry %q is not an address such as 10.0.0.1:8080: %v", s, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// interruptContext returns a context that is cancelled on an interrupt.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// withCallerClient calls f with a client of the caller API.
func (o entriesOption) withCallerClient(f func(ctx context.Context, c *caller.Client) error) error {
	entries, err := o.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	c := caller.NewClient(entries)
	defer c.Close()
	return f(ctx, c)
}

func callerCommands() []command {
	return []command{
		{name: "call", short: "Send a call and print the answer", data: &callCommand{},
			long: "Sends a call to an upstream and prints the body of the answer. The body of the call is the value of --body or, with --body -, standard input. Exit code 50 means that it is unknown whether the call ran."},
		{name: "submit", short: "Submit a job", data: &submitCommand{},
			long: "Submits a job, which is a gang of tasks, and prints its identifier. A repeated submission with the same --id and options returns the job that was accepted before."},
		{name: "cancel", short: "Cancel a job", data: &cancelCommand{},
			long: "Cancels a job that has not started, or requests that a started job is stopped."},
		{name: "result", short: "Print the state or the result of a job", data: &resultCommand{},
			long: "Prints the result of a finished job. While the job is not finished, its state is printed and the exit code is 69. With --wait the command polls until the job is finished or the time has elapsed."},
	}
}

// requestOptions are the options common to calls and jobs.
type requestOptions struct {
	ID         string `long:"id" value-name:"UUID" description:"Identifier, a UUID of version 7; generated if absent. Use the same identifier to repeat a request without running it twice"`
	Account    string `long:"account" required:"true" value-name:"NAME" description:"Client account"`
	Class      string `long:"class" choice:"Urgent" choice:"Normal" choice:"Batch" default:"Normal" description:"Priority class"`
	Idempotent bool   `long:"idempotent" description:"The request may safely run more than once"`
	Body       string `long:"body" value-name:"TEXT" description:"Body of the request; - reads it from standard input"`
}

// readRequest returns the identifier of the request, generated if it is not given,
// and its body.
func (o requestOptions) readRequest() (id uuid.UUID, body []byte, err error) {
	if o.ID == "" {
		id, err = uuid.NewV7()
	} else {
		id, err = parseID(o.ID)
	}
	if err != nil || o.Body != "-" {
		return id, []byte(o.Body), err
	}
	if body, err = io.ReadAll(os.Stdin); err != nil {
		err = rosemarysill.NewError(rosemarysill.InvalidArguments, "read body from standard input: %v", err)
	}
	return id, body, err
}

func parseID(s string) (uuid.UUID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return uuid.Nil, rosemarysill.NewError(rosemarysill.InvalidArguments, "identifier %q is not a UUID: %v", s, err)
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
	id, body, err := c.readRequest()
	if err != nil {
		return err
	}
	return c.withCallerClient(func(ctx context.Context, client *caller.Client) error {
		a := client.Call(ctx, rosemarysill.Call{
			ID: id, Account: c.Account, Class: rosemarysill.Class(c.Class), Idempotent: c.Idempotent,
			Deadline: time.Now().Add(c.Within), Body: body,
		})
		if err := printResult(a, func() { _, _ = os.Stdout.Write(a.Body) }); err != nil {
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
	Members      int  `long:"members" default:"1" description:"Number of tasks in the gang"`
	Accelerators int  `long:"accelerators" default:"1" description:"Number of accelerators per task"`
	Processors   int  `long:"processors" default:"1" description:"Number of processors per task"`
	MemoryMB     int  `long:"memory-mb" default:"1024" description:"Memory per task in MB"`
	Adjacent     bool `long:"adjacent" description:"Place all tasks in one rack"`
	Seconds      int  `long:"seconds" default:"3600" description:"Estimated run time in seconds"`
}

// Execute submits the job.
func (c *submitCommand) Execute([]string) error {
	id, body, err := c.readRequest()
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
	return c.withCallerClient(func(ctx context.Context, client *caller.Client) error {
		job, err := client.Submit(ctx, spec)
		if err != nil {
			return err
		}
		return printResult(job, func() { fmt.Println(job.Spec.ID) })
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
	return c.withCallerClient(func(ctx context.Context, client *caller.Client) error {
		job, err := client.Cancel(ctx, id)
		if err != nil {
			return err
		}
		return printResult(job, func() { printJob(job) })
	})
}

type resultCommand struct {
	entriesOption
	jobArgument
	Wait time.Duration `long:"wait" description:"How long to poll while the job is not finished"`
}

// pollInterval is the polling interval of result --wait.
const pollInterval = 250 * time.Millisecond

// Execute prints the job's result.
func (c *resultCommand) Execute([]string) error {
	id, err := parseID(c.Args.ID)
	if err != nil {
		return err
	}
	waitUntil := time.Now().Add(c.Wait)
	return c.withCallerClient(func(ctx context.Context, client *caller.Client) error {
		for {
			job, err := client.Job(ctx, id)
			if err == nil && job.State.Final() {
				return c.printFinished(job)
			}
			if time.Now().Before(waitUntil) && ctx.Err() == nil && rosemarysill.CodeOf(err) != rosemarysill.UnknownJob {
				time.Sleep(pollInterval)
				continue
			}
			if err != nil {
				return err
			}
			if err := printResult(job, func() { printJob(job) }); err != nil {
				return err
			}
			return printedError{rosemarysill.NewError(rosemarysill.NotFinished, "job %s is %s", id, job.State)}
		}
	})
}

func (c *resultCommand) printFinished(job rosemarysill.Job) error {
	printText := func() {
		if job.Code == rosemarysill.Done {
			_, _ = os.Stdout.Write(job.Result)
			return
		}
		printJob(job)
	}
	if err := printResult(job, printText); err != nil {
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
