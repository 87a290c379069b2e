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
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/station"
)

func nodeCommands() []command {
	return []command{
		{name: "node", short: "Run a process on the users' platform", data: &nodeCommand{},
			long: "Runs an entry or an agent, as the settings file says that the variable " + platform.BootVariable + " names. SIGTERM begins a graceful shutdown, SIGHUP reads the settings file again."},
	}
}

type nodeCommand struct {
	Level string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level that is logged"`
}

// Execute runs the process until a signal arrives.
func (c *nodeCommand) Execute([]string) error {
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" // lines of several processes are put in order
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Logger()
	path := os.Getenv(platform.BootVariable)
	n, err := platform.ReadNode(path)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidSettings, "%s: %v", path, err)
	}
	limitMemory(n)
	ctx := untilSignal()
	go reload(ctx, path, log)
	if n.Entry {
		return station.Entry(ctx, n, log)
	}
	return station.Agent(ctx, n, log)
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
