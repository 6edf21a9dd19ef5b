package tests

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// binary is the program under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bergamotrun-tests-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bergamotrun")
	build := exec.Command("go", "build", "-o", binary, "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "can't build the program:", err)
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

// ranTests are the tests of this package that have run.
var ranTests sync.Map

// recordTestRun notes that a test which the fault table names has run.
func recordTestRun(t *testing.T) {
	t.Helper()
	ranTests.Store(t.Name(), true)
}
