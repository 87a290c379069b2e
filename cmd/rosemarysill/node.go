package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/logbook"
	"github.com/rosemarysill/rosemarysill/node"
	"github.com/rosemarysill/rosemarysill/platform"
)

const nodeCommandName = "node"

func nodeCommands() []command {
	return []command{
		{name: nodeCommandName, short: "Run a process on the users' platform", data: &nodeCommand{},
			long: "Runs an entry or an agent, as the settings file says that the variable " + platform.SettingsPathVariable + " names. SIGTERM begins a graceful shutdown, SIGHUP reads the settings file again."},
	}
}

type nodeCommand struct {
	Metrics uint16 `long:"metrics-port" default:"9464" description:"Port of the figures, under /metrics"`
	Level   string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level that is logged"`
}

// Execute runs the process until a signal arrives.
func (c *nodeCommand) Execute([]string) error {
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	log := logbook.New(os.Stdout, level)
	defer func() { _ = log.Close() }() // there is nowhere to report it
	path := os.Getenv(platform.SettingsPathVariable)
	n, err := platform.ReadNode(path)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidSettings, "%s: %v", path, err)
	}
	limitMemory(n)
	n.MetricsPort = c.Metrics
	ctx := untilSignal()
	go reload(ctx, path, log.Logger)
	if n.Entry {
		return node.Entry(ctx, n, log.Logger)
	}
	return node.Agent(ctx, n, log.Logger)
}

// memoryShare is the part of the machine's memory that the garbage collector
// aims to stay within.
const memoryShare = 0.6

func limitMemory(n platform.Node) {
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(n.MemoryMB<<20) * memoryShare))
	}
}

// reload checks the settings file at each SIGHUP. Addresses of this process
// never change while it runs, so a good file changes nothing.
func reload(ctx context.Context, path string, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			_, err := platform.ReadNode(path)
			event.QueueReload.Log(log).AnErr("Cause", err).Send()
		}
	}
}
