package main

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/node"
)

func explainCommands() []command {
	return []command{
		{name: "explain", short: "Print the history of a job from logs", data: &explainCommand{},
			long: "Reads logs of entries and agents and prints the lines about one job in order of time. docs/OPERATIONS.md explains the output."},
		{name: "explain-placement", short: "Print where a job would be placed now, and why", data: &explainPlacementCommand{},
			long: "Asks the leader what it would do with a job now, without submitting it. FILE has the body of a submission on the hosting platform. Name several entries to find the one that leads; the answer of another one names it."},
	}
}

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"Identifier of the job"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"Log files"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the history of the job.
func (c *explainCommand) Execute([]string) error {
	r := history.Reader{ID: c.Args.ID}
	if err := r.ReadFiles(c.Args.Files); err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	if r.Bad > 0 {
		fmt.Fprintf(os.Stderr, "%d malformed lines were skipped\n", r.Bad)
	}
	if len(r.Lines) == 0 {
		return rosemarysill.NewError(rosemarysill.UnknownJob, "the log files have no line about job %s", c.Args.ID)
	}
	return r.Print(os.Stdout)
}

type explainPlacementCommand struct {
	Entries []string `long:"metrics-address" required:"true" value-name:"IP:PORT" description:"Address of the metrics of an entry; repeat it to name several"`
	Host    string   `long:"host" required:"true" value-name:"NAME" description:"Host of the queue"`
	Path    string   `long:"path" required:"true" value-name:"PREFIX" description:"Path prefix of the queue"`
	Account string   `long:"account" value-name:"NAME" description:"Client account; may be absent if the queue is public"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"File with the body of a submission"`
	} `positional-args:"true" required:"true"`
}

// Execute asks the entries in turn until one of them leads, and prints its answer.
func (c *explainPlacementCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Args.File)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	ctx, cancel := interruptContext()
	defer cancel()
	var e explanation.Explanation
	var notLeading error // names the leader, which an entry that is not reached does not
	for _, entry := range c.Entries {
		address, parseErr := netip.ParseAddrPort(entry)
		if parseErr != nil {
			return rosemarysill.NewError(rosemarysill.InvalidArguments, "--metrics-address %q is not an address such as 10.0.0.1:9464: %v", entry, parseErr)
		}
		e, err = node.ExplainPlacement(ctx, address, node.ExplanationRequest{Host: c.Host, Path: c.Path, Account: c.Account, Body: body})
		switch rosemarysill.CodeOf(err) {
		case rosemarysill.NotAuthoritative:
			notLeading = err
		case rosemarysill.Unreachable:
		case rosemarysill.Done:
			return printResult(e, func() { fmt.Print(e.Text()) })
		default:
			return err
		}
	}
	return cmp.Or(notLeading, err)
}
