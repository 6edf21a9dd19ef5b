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

// platformNames matches names from the platform's protocols that have no meaning in the product. Only the adapter in
// platform/ translates them.
var platformNames = regexp.MustCompile(`datagramAddr|maxConcurrency|coldRemainingMs|heartbeatUrl|trafficSplit|idleTimeoutMs|` +
	`machineClass|forwardingMode|configApplyMs|/api/kv-|/api/instances|/api/readyz|op/config|BERGAMOTRUN_BOOT|hasMore|kv_|` +
	`\b(echo|BOUNCED)\b`)

// TestPlatformNamesStayInTheAdapter fails if Go code outside platform/ and deploy/ contains a name from the platform's
// protocols.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	is := is.New(t)
	root := ".."
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			switch rel {
			case ".git", "platform", "deploy", "journal", "target", "docs":
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || rel == filepath.Join("tests", "names_test.go") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := platformNames.FindString(string(content)); found != "" {
			t.Errorf("%s contains the platform's name %q", rel, found)
		}
		return nil
	})
	is.NoErr(err)
}

// TestAdapterIsSmall limits platform/, without tests and fakes, to less than 1,200 lines, as it should only translate between
// the platform's protocols and the product.
func TestAdapterIsSmall(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../platform/*.go")
	is.NoErr(err)
	lines := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		content, err := os.ReadFile(file)
		is.NoErr(err)
		lines += strings.Count(string(content), "\n")
	}
	t.Logf("platform/ has %d lines", lines)
	is.True(lines < 1200)
}

// TestTemplatesNameKnownKeys fails if a settings template in deploy/ sets a key that the sample settings in conf/ lack.
func TestTemplatesNameKnownKeys(t *testing.T) {
	is := is.New(t)
	keyPattern := regexp.MustCompile(`(?m)(?:^|\}\})([a-z]+) = `)
	for _, role := range []string{"relay", "deliver"} {
		template, err := os.ReadFile("../deploy/" + role + ".toml")
		is.NoErr(err)
		sample, err := os.ReadFile("../conf/" + role + ".toml")
		is.NoErr(err)
		for _, match := range keyPattern.FindAllStringSubmatch(string(template), -1) {
			if !regexp.MustCompile(`(?m)^(# )?` + match[1] + ` = `).Match(sample) {
				t.Errorf("deploy/%s.toml sets key %s, which conf/%s.toml doesn't contain", role, match[1], role)
			}
		}
	}
}
