package cmd

import (
	"context"

	"github.com/pkg/errors"
)

func loadCommand() *command {
	return &command{name: "load", summary: "put load on a deployment and measure it", usage: "Usage: bergamotrun load\n\n", run: runLoad}
}

func runLoad(_ context.Context, _ *invocation) error { return errors.New("not there yet") }
