package main

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/demo"
)

func demoCommands() []command {
	return []command{
		{name: "demo", short: "Run a demonstration with simulated workers and upstreams", data: &demoCommand{},
			long: "Starts entries, agents and a simulated platform in this process, runs calls and gangs of several client accounts, takes a failure domain out and brings it back, and prints the events and a summary. It takes a few seconds and needs no other services."},
	}
}

type demoCommand struct {
	Verbose bool `long:"verbose" description:"Log the events of all processes to standard error"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	level := zerolog.Disabled
	if c.Verbose {
		level = zerolog.InfoLevel
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return demo.Run(ctx, os.Stdout, rosemarysill.WithLog(newLogger(level)))
}
