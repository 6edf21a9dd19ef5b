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
	switch {
	case hasLine(text, "[agent]"):
		_, err = sett.ParseAgent(file, text)
		return "agent", err
	case hasLine(text, "outbound ="):
		_, err = sett.ParseDeliver(file, text)
		return "agent for opaque flows", err
	case hasLine(text, "hops ="):
		_, err = sett.ParseRelay(file, text)
		return "entry for opaque flows", err
	}
	_, err = sett.ParseEntry(file, text)
	return "entry", err
}

// hasLine reports whether a line begins with a text that only the settings of one role have.
func hasLine(text []byte, start string) bool {
	for _, line := range bytes.Split(text, []byte("\n")) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(start)) {
			return true
		}
	}
	return false
}
