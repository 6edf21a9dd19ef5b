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
		summary: "check settings",
		usage: "Usage: bergamotrun config check FILE\n\nChecks the settings of an entry or an agent, and lists every fault with its line.\n\n" +
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
	role, err := checkSettings(file)
	if err != nil {
		return err
	}
	inv.printf("%s: settings of an %s, no fault\n", file, role)
	return nil
}

// checkSettings reads a file and returns the role that it is for.
func checkSettings(file string) (role string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	if isAgent(text) {
		_, err = sett.ParseAgent(file, text)
		return "agent", err
	}
	_, err = sett.ParseEntry(file, text)
	return "entry", err
}

// isAgent reports whether settings are those of an agent: they have its section.
func isAgent(text []byte) bool {
	for _, line := range bytes.Split(text, []byte("\n")) {
		if string(bytes.TrimSpace(line)) == "[agent]" {
			return true
		}
	}
	return false
}
