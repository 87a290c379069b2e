package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/logbook"
	"github.com/rosemarysill/rosemarysill/node"
	"github.com/rosemarysill/rosemarysill/platform"
)

const nodeCommandName = "node"

func nodeCommands() []command {
	return []command{
		{name: nodeCommandName, short: "Run an entry or an agent on the hosting platform", data: &nodeCommand{},
			long: "Runs an entry or an agent according to the settings file whose path is in the environment variable " + platform.SettingsPathVariable + ". SIGTERM starts a graceful shutdown, SIGHUP checks the settings file again."},
	}
}

type nodeCommand struct {
	Metrics uint16 `long:"metrics-port" default:"9464" description:"Port of the metrics endpoint, /metrics"`
	Level   string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Minimum log level"`
}

// Execute runs the process until a signal arrives.
func (c *nodeCommand) Execute([]string) error {
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "--log-level: %v", err)
	}
	log := logbook.New(os.Stdout, level)
	defer func() { _ = log.Close() }() // an error of the log itself cannot be logged
	path := os.Getenv(platform.SettingsPathVariable)
	n, err := platform.ReadNode(path)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidSettings, "read settings file %q: %v", path, err)
	}
	intake.LimitMemory(n.MemoryMB << 20)
	n.MetricsPort = c.Metrics
	ctx := shutdownContext()
	go checkOnHangup(ctx, path, log.Logger)
	if n.Entry {
		return node.Entry(ctx, n, log.Logger)
	}
	return node.Agent(ctx, n, log.Logger)
}

// checkOnHangup reads the settings file at each SIGHUP and logs whether it is valid.
// It applies no settings, because the addresses of a running process never change.
func checkOnHangup(ctx context.Context, path string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			_, err := platform.ReadNode(path)
			event.QueueReload.Log(log).AnErr("Cause", err).Send()
		}
	}
}
