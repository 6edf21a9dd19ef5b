package tests

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that receives SIGHUP before it has read its settings goes on. Guards against processes that end by themselves when
// their settings change while they start.
func TestHangupDuringStartIsNotFatal(t *testing.T) {
	recordTestRun(t)
	for _, command := range []string{"relay", "deliver"} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.toml")
			is.NoErr(syscall.Mkfifo(file, 0o600))
			cmd := exec.Command(binary, command, "-config", file)
			is.NoErr(cmd.Start())
			defer func() { _ = cmd.Process.Kill() }()
			var settings *os.File
			await(t, readyTimeout, "the process reads its settings", func() bool {
				var err error
				settings, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0) // Fails until the process has opened the file.
				return err == nil
			})
			is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
			_, _ = settings.WriteString("unknown = 1\n") // Fails if the process has ended.
			is.NoErr(settings.Close())
			_ = cmd.Wait()
			is.Equal(cmd.ProcessState.ExitCode(), 1) // Unknown settings; -1 if a signal ended the process.
		})
	}
}
