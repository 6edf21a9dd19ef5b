package tests

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// platformNames are names of the platform's protocols that mean nothing in the product.
var platformNames = regexp.MustCompile(`datagramAddr|maxConcurrency|coldRemainingMs|heartbeatUrl|trafficSplit|idleTimeoutMs|` +
	`machineClass|forwardingMode|configApplyMs|/api/kv-|/api/instances|/api/readyz|op/config|BERGAMOTRUN_BOOT|hasMore|kv_|` +
	`\b(echo|BOUNCED)\b`)

// TestPlatformNamesStayInTheAdapter fails when a name of the platform's protocols stands outside platform/ and deploy/.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	is := is.New(t)
	root := ".."
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			switch rel {
			case ".git", "platform", "deploy", "journal", "target", "docs":
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || rel == filepath.Join("tests", "names_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := platformNames.FindString(string(text)); found != "" {
			t.Errorf("%s has the platform's name %q", rel, found)
		}
		return nil
	})
	is.NoErr(err)
}

// TestAdapterIsSmall keeps the adapter to translation: fewer than 1,200 lines without tests and stand-ins.
func TestAdapterIsSmall(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../platform/*.go")
	is.NoErr(err)
	lines := 0
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		is.NoErr(err)
		lines += strings.Count(string(text), "\n")
	}
	t.Logf("platform/ has %d lines", lines)
	is.True(lines < 1200)
}

// TestTemplatesNameKnownKeys fails when a template of the deployment writes a key that the settings don't have.
func TestTemplatesNameKnownKeys(t *testing.T) {
	is := is.New(t)
	key := regexp.MustCompile(`(?m)(?:^|\}\})([a-z]+) = `)
	for _, role := range []string{"relay", "deliver"} {
		template, err := os.ReadFile("../deploy/" + role + ".toml")
		is.NoErr(err)
		sample, err := os.ReadFile("../conf/" + role + ".toml")
		is.NoErr(err)
		for _, m := range key.FindAllStringSubmatch(string(template), -1) {
			if !regexp.MustCompile(`(?m)^(# )?` + m[1] + ` = `).Match(sample) {
				t.Errorf("deploy/%s.toml writes %s, which conf/%s.toml doesn't show", role, m[1], role)
			}
		}
	}
}
