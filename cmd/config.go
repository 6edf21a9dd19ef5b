package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/sett"
)

func configCommand() *command {
	return &command{
		name:    "config",
		summary: "check a settings file",
		usage: "Usage: bergamotrun config check FILE\n\nChecks the settings file of an entry or an agent and lists every error with its line.\n\n" +
			"Example: bergamotrun config check conf/entry.toml\n",
		run: runConfig,
	}
}

func runConfig(_ context.Context, inv *invocation) error {
	if err := inv.parse(2, 2); err != nil {
		return err
	}
	if inv.flags.Arg(0) != "check" {
		_, _ = fmt.Fprintf(inv.stderr, "bergamotrun config: unknown action %q\n", inv.flags.Arg(0))
		inv.printUsage()
		return errUsage
	}
	file := inv.flags.Arg(1)
	role, err := parseSettings(file)
	if err != nil {
		return err
	}
	inv.printf("%s: settings of an %s, no fault\n", file, role)
	return nil
}

// parseSettings validates a settings file and returns the role that it configures.
func parseSettings(file string) (role string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	switch { // Each prefix is that of a line which only the settings of some roles have.
	case hasLineWithPrefix(text, "[agent]"):
		_, err = sett.ParseAgent(file, text)
		return "agent", err
	case hasLineWithPrefix(text, "outbound ="):
		_, err = sett.ParseDeliver(file, text)
		return "agent for opaque flows", err
	case hasLineWithPrefix(text, "hops ="):
		_, err = sett.ParseRelay(file, text)
		return "entry for opaque flows", err
	}
	_, err = sett.ParseEntry(file, text)
	return "entry", err
}

// hasLineWithPrefix reports whether a line of text begins with prefix, after leading white space.
func hasLineWithPrefix(text []byte, prefix string) bool {
	for _, line := range bytes.Split(text, []byte("\n")) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(prefix)) {
			return true
		}
	}
	return false
}
