package tests

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// binary is the path of the program under test. TestMain builds it once.
var binary string

// TestMain builds the program, runs the tests and fails if a test that the tables name did not run.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bergamotrun-tests-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bergamotrun")
	build := exec.Command("go", "build", "-o", binary, "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		os.Exit(1)
	}
	code := m.Run()
	if err := checkTableAgainstRuns(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// ranTests holds the names of the tests that called recordTestRun.
var ranTests sync.Map

// recordTestRun records that a test named in the fault table or the table of event kinds has run. checkTableAgainstRuns
// compares the records with the tables.
func recordTestRun(t *testing.T) {
	t.Helper()
	ranTests.Store(t.Name(), true)
}
