// Package cmd implements the subcommands of bergamotrun, one per file.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// errUsage reports incorrect usage. The command has already printed what is wrong.
var errUsage = errors.New("wrong usage")

// command is a subcommand.
type command struct {
	name    string
	summary string
	// usage is printed by -h before the flags.
	usage string
	run   func(ctx context.Context, c *invocation) error
}

// invocation is one execution of a command, with its arguments and output streams.
type invocation struct {
	command *command
	args    []string
	flags   *flag.FlagSet
	stdout  io.Writer
	stderr  io.Writer
}

func commands() []*command {
	return []*command{
		entryCommand(), agentCommand(), relayCommand(), deliverCommand(), contractCommand(), keyCommand(), callCommand(), loadCommand(), devCommand(), soakCommand(),
		configCommand(), versionCommand(),
	}
}

// Main runs the command named by args[0] and returns the exit code: 0 for success, 1 for failure, 2 for incorrect usage.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printCommands(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printCommands(stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.execute(args[1:], stdout, stderr)
		}
	}
	_, _ = fmt.Fprintf(stderr, "bergamotrun: unknown command %q\n", args[0])
	printCommands(stderr)
	return exitUsage
}

func printCommands(w io.Writer) {
	_, _ = fmt.Fprint(w, "bergamotrun is a layer-4 load balancer.\n\nUsage: bergamotrun COMMAND [flags] [arguments]\n\n")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprint(w, "\nRun \"bergamotrun COMMAND -h\" for help on a command. Exit codes: 0 success, 1 failure, 2 incorrect usage.\n")
}

// execute runs the command and returns the exit code. The first signal stops it gracefully, the second kills it.
func (c *command) execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // Restores the default action for the next signal.
	inv := &invocation{command: c, args: args, stdout: stdout, stderr: stderr}
	inv.flags = flag.NewFlagSet(c.name, flag.ContinueOnError)
	inv.flags.SetOutput(stderr)
	inv.flags.Usage = inv.printUsage
	err := c.run(ctx, inv)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	_, _ = fmt.Fprintf(stderr, "bergamotrun %s: %v\n", c.name, err)
	return exitError
}

func (i *invocation) printUsage() {
	_, _ = fmt.Fprint(i.flags.Output(), i.command.usage)
	i.flags.PrintDefaults()
}

// parse parses the flags and checks that minArgs to maxArgs arguments follow them.
func (i *invocation) parse(minArgs, maxArgs int) error {
	for _, arg := range i.args {
		if arg == "-h" || arg == "-help" || arg == "--help" {
			i.flags.SetOutput(i.stdout)
		}
	}
	if err := i.flags.Parse(i.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if n := i.flags.NArg(); n < minArgs || n > maxArgs {
		_, _ = fmt.Fprintf(i.stderr, "bergamotrun %s: wrong number of arguments\n", i.command.name)
		i.printUsage()
		return errUsage
	}
	return nil
}

// printf writes to stdout.
func (i *invocation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(i.stdout, format, args...)
}
