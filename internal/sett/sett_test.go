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

// update rewrites the golden files.
var update = flag.Bool("update", false, "rewrite the golden files")

func golden(t *testing.T, name, got string) {
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

func TestFaultsAreAllNamed(t *testing.T) {
	is := is.New(t)
	for name, parse := range map[string]func(string, []byte) error{
		"bad-entry": func(f string, b []byte) error { _, err := ParseEntry(f, b); return err },
		"bad-agent": func(f string, b []byte) error { _, err := ParseAgent(f, b); return err },
	} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		is.NoErr(err)
		err = parse(name+".toml", text)
		is.True(err != nil)
		golden(t, name, err.Error()+"\n")
		is.True(!strings.Contains(err.Error(), "the store's token")) // A secret never shows.
		is.True(!strings.Contains(err.Error(), `"short"`))
	}
}

func TestSamplesAreGood(t *testing.T) {
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

// keysOf returns the keys of a settings type, such as "store.url".
func keysOf(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		switch {
		case f.Anonymous:
			out = append(out, keysOf(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath():
			out = append(out, keysOf(f.Type, prefix+name+".")...)
		default:
			out = append(out, prefix+name)
		}
	}
	return out
}

var pageKey = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")

func TestPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	listed := map[string]bool{}
	for _, m := range pageKey.FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	known := map[string]bool{}
	for _, settings := range []any{EntryFile{}, AgentFile{}, RelayFile{}, DeliverFile{}} {
		for _, key := range keysOf(reflect.TypeOf(settings), "") {
			known[key] = true
		}
	}
	is.Equal(listed, known)
}

func TestSamplesNameEveryKey(t *testing.T) {
	is := is.New(t)
	for file, settings := range map[string]any{
		"entry": EntryFile{}, "agent": AgentFile{}, "relay": RelayFile{}, "deliver": DeliverFile{},
	} {
		text, err := os.ReadFile("../../conf/" + file + ".toml")
		is.NoErr(err)
		plain := strings.ReplaceAll(string(text), "\n# ", "\n")
		for _, key := range keysOf(reflect.TypeOf(settings), "") {
			line, _ := FindKey([]byte(plain), key)
			if line == 0 {
				t.Errorf("conf/%s.toml doesn't show %s", file, key)
			}
		}
	}
}

// Bad settings of the processes for opaque flows are all named, each with its key and value.
func TestBadOpaqueSettings(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/bad-deliver.toml")
	is.NoErr(err)
	_, err = ParseDeliver("bad-deliver.toml", text)
	is.True(err != nil)
	want, rerr := os.ReadFile("testdata/bad-deliver.golden")
	is.NoErr(rerr)
	is.Equal(err.Error()+"\n", string(want))
}

func TestSamplesOfOpaqueSettingsAreGood(t *testing.T) {
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
