package cmd

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

func TestLogWritesOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log, err := newLog(&output, "info")
	is.NoErr(err)
	log.Debug("not shown")
	log.With(zap.String("role", "entry")).Warn("it failed", zap.Error(errors.Wrap(errors.New("cause\nof two lines"), "step")),
		zap.Any("secret", fleet.Secret{1}))
	line := regexp.MustCompile(`^time=\S+ `).ReplaceAllString(output.String(), "")
	is.Equal(line, `level=warn event="it failed" role=entry error="step: cause\nof two lines" secret=[secret]`+"\n")
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	for want, calls := range map[int][][]string{
		exitOK: {{"-h"}, {"help"}, {"version"}, {"entry", "-h"}, {"agent", "-h"}, {"contract", "-h"}, {"key", "-h"}, {"call", "-h"},
			{"load", "-h"}, {"dev", "-h"}, {"config", "-h"}, {"config", "check", "../conf/entry.toml"}, {"config", "check", "../conf/agent.toml"}},
		exitError: {{"config", "check", "no such file"}, {"entry", "-config", "no such file"}, {"dev", "-deployment", "x"}, {"call", "ftp://x"}},
		exitUsage: {{}, {"x"}, {"version", "x"}, {"entry", "-x"}, {"contract"}, {"contract", "x"}, {"key", "x"}, {"config", "x", "y"}, {"call"}, {"load"}},
	} {
		for _, args := range calls {
			var stdout, stderr bytes.Buffer
			is.Equal(Main(args, &stdout, &stderr), want)
			is.True(stdout.Len()+stderr.Len() > 0) // Every call prints something.
		}
	}
}
