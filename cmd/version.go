package cmd

import (
	"context"
	"runtime/debug"
)

func versionCommand() *command {
	return &command{
		name:    "version",
		summary: "print the version",
		usage:   "Usage: bergamotrun version\n\nPrints the version of bergamotrun and of the Go toolchain that built it.\n\nExample: bergamotrun version\n",
		run:     runVersion,
	}
}

func runVersion(_ context.Context, inv *invocation) error {
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	version, revision := "development", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		inv.printf("bergamotrun %s\n", version)
		return nil
	}
	if info.Main.Version != "" {
		version = info.Main.Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	inv.printf("bergamotrun %s (revision %s, %s)\n", version, revision, info.GoVersion)
	return nil
}
