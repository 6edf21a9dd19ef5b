// Package cmd holds the subcommands of bergamotrun, one a file.
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

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage says that a command was called in a wrong way; it has told how.
var errUsage = errors.New("wrong usage")

// command is a subcommand.
type command struct {
	name    string
	summary string
	// usage is the text of -h: what the command does, with an example.
	usage string
	run   func(ctx context.Context, c *invocation) error
}

// invocation is one call of a command.
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

// Main runs the command that args name and returns the exit code: 0 done, 1 failed, 2 wrong usage.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printCommands(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printCommands(stdout)
		return exitDone
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.call(args[1:], stdout, stderr)
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
	_, _ = fmt.Fprint(w, "\nbergamotrun COMMAND -h tells more. Exit codes: 0 done, 1 failed, 2 wrong usage.\n")
}

// call runs the command and returns the exit code. The first signal stops it gracefully, a second one ends it.
func (c *command) call(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // The next signal then has its default effect.
	inv := &invocation{command: c, args: args, stdout: stdout, stderr: stderr}
	inv.flags = flag.NewFlagSet(c.name, flag.ContinueOnError)
	inv.flags.SetOutput(stderr)
	inv.flags.Usage = inv.printUsage
	err := c.run(ctx, inv)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, errUsage):
		return exitUsage
	}
	_, _ = fmt.Fprintf(stderr, "bergamotrun %s: %v\n", c.name, err)
	return exitFailed
}

func (i *invocation) printUsage() {
	_, _ = fmt.Fprint(i.flags.Output(), i.command.usage)
	i.flags.PrintDefaults()
}

// parse reads the flags, and checks that between lowest and highest arguments follow them.
func (i *invocation) parse(lowest, highest int) error {
	for _, a := range i.args {
		if a == "-h" || a == "-help" || a == "--help" {
			i.flags.SetOutput(i.stdout)
		}
	}
	if err := i.flags.Parse(i.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if n := i.flags.NArg(); n < lowest || n > highest {
		_, _ = fmt.Fprintf(i.stderr, "bergamotrun %s: wrong number of arguments\n", i.command.name)
		i.printUsage()
		return errUsage
	}
	return nil
}

// printf writes to the standard output.
func (i *invocation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(i.stdout, format, args...)
}
