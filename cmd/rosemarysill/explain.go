package main

import (
	"fmt"
	"os"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/history"
)

func explainCommands() []command {
	return []command{
		{name: "explain", short: "Print the history of a job from logs", data: &explainCommand{},
			long: "Reads logs of entries and agents and prints the lines about one job in order of time. docs/OPERATIONS.md explains the output."},
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
