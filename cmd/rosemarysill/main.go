// Command rosemarysill schedules multi-accelerator jobs and calls for client
// accounts. Its subcommands run the processes of the system and provide the tools
// of callers and operators; `rosemarysill --help` lists them. The exit code is
// the result code of docs/CODES.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"github.com/rosemarysill/rosemarysill"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

// globalOptions are the options of all subcommands.
type globalOptions struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
}

var global globalOptions

func main() {
	if len(os.Args) > 1 && os.Args[1] == nodeCommandName {
		// SIGHUP terminates a process by default. It must not do so before the
		// handler is installed.
		signal.Ignore(syscall.SIGHUP)
	}
	os.Exit(int(run(os.Args[1:])))
}

// run executes the command line and returns the exit code.
func run(args []string) rosemarysill.Code {
	parser := flags.NewParser(&global, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "rosemarysill"
	parser.LongDescription = "Schedules multi-accelerator jobs and calls within the guarantees of client accounts. " +
		"The exit code is the result code of docs/CODES.md: 0 done, 10-39 not run, 40-49 ran and failed, 50-59 outcome unknown, 60-79 command errors."
	for _, c := range commands() {
		if err := c.add(parser); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return rosemarysill.InternalError
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err)
}

// report prints an error, unless it was printed before, and returns its code.
func report(err error) rosemarysill.Code {
	if err == nil {
		return rosemarysill.Done
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return rosemarysill.Done
		}
		fmt.Fprintln(os.Stderr, fe.Message)
		return rosemarysill.InvalidArguments
	}
	var printed printedError
	if !errors.As(err, &printed) {
		printError(err)
	}
	return rosemarysill.CodeOf(err)
}

// command is a subcommand with its help texts.
type command struct {
	name  string
	short string
	long  string
	data  any
	sub   []command
}

type commandAdder interface {
	AddCommand(command, shortDescription, longDescription string, data any) (*flags.Command, error)
}

// add adds the command and its own subcommands to a parser.
func (c command) add(parent commandAdder) error {
	cmd, err := parent.AddCommand(c.name, c.short, c.long, c.data)
	if err != nil {
		return errors.Wrapf(err, "add command %s", c.name)
	}
	for _, s := range c.sub {
		if err := s.add(cmd); err != nil {
			return err
		}
	}
	return nil
}

// commandGroup is a command that has only subcommands.
type commandGroup struct{}

// commands returns all subcommands.
func commands() []command {
	all := []command{
		{name: "version", short: "Print the version", long: "Prints the version of this program.", data: &versionCommand{}},
	}
	all = append(all, callerCommands()...)
	all = append(all, operatorCommands()...)
	all = append(all, processCommands()...)
	all = append(all, nodeCommands()...)
	all = append(all, explainCommands()...)
	all = append(all, checkCommands()...)
	all = append(all, demoCommands()...)
	return all
}

type versionCommand struct{}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	return printResult(struct{ Version string }{version}, func() { fmt.Println("rosemarysill", version) })
}
