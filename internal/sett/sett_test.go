package sett

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// update makes tests rewrite the golden files.
var update = flag.Bool("update", false, "rewrite the golden files")

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// All invalid settings of a file must be reported at once, and no message may reveal a secret.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	is := is.New(t)
	for name, parse := range map[string]func(string, []byte) error{
		"bad-entry": func(f string, b []byte) error { _, err := ParseEntry(f, b); return err },
		"bad-agent": func(f string, b []byte) error { _, err := ParseAgent(f, b); return err },
	} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		is.NoErr(err)
		err = parse(name+".toml", text)
		is.True(err != nil)
		compareGolden(t, name, err.Error()+"\n")
		is.True(!strings.Contains(err.Error(), "the store's token")) // Secrets are masked.
		is.True(!strings.Contains(err.Error(), `"short"`))
	}
}

func TestSampleSettingsAreValid(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../conf/entry.toml")
	is.NoErr(err)
	entry, err := ParseEntry("entry.toml", text)
	is.NoErr(err)
	is.Equal(entry.Entry.PathMTU, DefaultEntry().Entry.PathMTU)
	text, err = os.ReadFile("../../conf/agent.toml")
	is.NoErr(err)
	agent, err := ParseAgent("agent.toml", text)
	is.NoErr(err)
	is.Equal(agent.Agent.Service, "order-desk")
}

// settingKeys returns the TOML keys of a settings type, such as "store.url".
func settingKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		switch {
		case f.Anonymous:
			keys = append(keys, settingKeys(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath():
			keys = append(keys, settingKeys(f.Type, prefix+name+".")...)
		default:
			keys = append(keys, prefix+name)
		}
	}
	return keys
}

var tableKey = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")

func TestDocumentationListsEveryKey(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	documented := map[string]bool{}
	for _, m := range tableKey.FindAllStringSubmatch(string(document), -1) {
		documented[m[1]] = true
	}
	known := map[string]bool{}
	for _, settings := range []any{EntryFile{}, AgentFile{}, RelayFile{}, DeliverFile{}} {
		for _, key := range settingKeys(reflect.TypeOf(settings), "") {
			known[key] = true
		}
	}
	is.Equal(documented, known)
}

func TestSamplesContainEveryKey(t *testing.T) {
	is := is.New(t)
	for file, settings := range map[string]any{
		"entry": EntryFile{}, "agent": AgentFile{}, "relay": RelayFile{}, "deliver": DeliverFile{},
	} {
		text, err := os.ReadFile("../../conf/" + file + ".toml")
		is.NoErr(err)
		uncommented := strings.ReplaceAll(string(text), "\n# ", "\n")
		for _, key := range settingKeys(reflect.TypeOf(settings), "") {
			line, _ := FindKey([]byte(uncommented), key)
			if line == 0 {
				t.Errorf("conf/%s.toml doesn't show %s", file, key)
			}
		}
	}
}

// All invalid settings of a process for opaque flows must be reported, each with its key and value.
func TestInvalidOpaqueSettingsAreReported(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/bad-deliver.toml")
	is.NoErr(err)
	_, err = ParseDeliver("bad-deliver.toml", text)
	is.True(err != nil)
	want, rerr := os.ReadFile("testdata/bad-deliver.golden")
	is.NoErr(rerr)
	is.Equal(err.Error()+"\n", string(want))
}

func TestInvalidLinkRateIsReported(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../conf/relay.toml")
	is.NoErr(err)
	for _, value := range []string{"-1", "nan", "2000000.0"} {
		_, err := ParseRelay("relay.toml", append([]byte("link = "+value+"\n"), text...))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "link"))
		is.True(strings.Contains(err.Error(), value))
	}
}

func TestSampleOpaqueSettingsAreValid(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../conf/relay.toml")
	is.NoErr(err)
	relay, err := ParseRelay("relay.toml", text)
	is.NoErr(err)
	is.Equal(len(relay.SeedAddresses()), 1) // The other host is the instance itself.
	text, err = os.ReadFile("../../conf/deliver.toml")
	is.NoErr(err)
	_, err = ParseDeliver("deliver.toml", text)
	is.NoErr(err)
}
