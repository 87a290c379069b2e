package main

import (
	"fmt"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/settings"
)

func checkCommands() []command {
	return []command{
		{name: "check", short: "Check settings or an operators' document", data: &checkCommand{},
			long: "Checks a file without applying it and prints all its faults with file, line and key. The exit code is 67 if there are any."},
	}
}

type checkCommand struct {
	Kind string `long:"kind" choice:"entry" choice:"agent" choice:"operators" required:"true" description:"Kind of the file: settings of an entry, settings of an agent, or an operators' document with accounts and failure domains"`
	settingsArgument
}

// checkers read and check a file, by its kind.
var checkers = map[string]func(file string) error{
	"entry":     func(f string) error { _, err := settings.ReadEntry(f); return err },
	"agent":     func(f string) error { _, err := settings.ReadAgent(f); return err },
	"operators": func(f string) error { _, err := settings.ReadOperators(f); return err },
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	if err := checkers[c.Kind](c.Args.File); err != nil {
		return err
	}
	return printResult(struct {
		File string
		Code rosemarysill.Code
	}{c.Args.File, rosemarysill.Done}, func() { fmt.Println(c.Args.File, "has no faults") })
}
