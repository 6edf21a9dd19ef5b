// Package sett reads settings from TOML files and checks them as a whole.
package sett

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Fault is one bad setting.
type Fault struct {
	File   string
	Line   int
	Key    string
	Value  string
	Reason string
}

// Error names the file, line, key and value, and what is wrong.
func (f Fault) Error() string {
	text := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Key)
	if f.Value != "" {
		text += " = " + f.Value
	}
	return text + ": " + f.Reason
}

// Faults lists every bad setting of a file.
type Faults []Fault

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Decode reads TOML text of a file into settings, which hold the defaults. Keys that settings lacks,
// wrong types and values that don't decode are returned as Faults.
func Decode(file string, text []byte, settings any) error {
	var faults Faults
	text = blankFaulty(file, text, settings, &faults)
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(settings)
	var strict *toml.StrictMissingError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			faults = append(faults, fault(file, text, &strict.Errors[i], "unknown key"))
		}
	default:
		faults = append(faults, decodeFault(file, text, err))
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// maxFaulty bounds the values of a wrong type that are reported of one file.
const maxFaulty = 64

// blankFaulty finds the values that don't decode one after the other, by blanking the line of each that
// is found, and returns the text without them.
func blankFaulty(file string, text []byte, settings any, faults *Faults) []byte {
	for range maxFaulty {
		err := toml.Unmarshal(text, clone(settings))
		var bad *toml.DecodeError
		if err == nil || !errors.As(err, &bad) {
			return text
		}
		row, _ := bad.Position()
		f := fault(file, text, bad, bad.Error())
		*faults = append(*faults, f)
		lines := bytes.Split(text, []byte("\n"))
		if row < 1 || row > len(lines) {
			return text
		}
		lines[row-1] = nil
		text = bytes.Join(lines, []byte("\n"))
	}
	return text
}

func decodeFault(file string, text []byte, err error) Fault {
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		return fault(file, text, bad, bad.Error())
	}
	return Fault{File: file, Reason: err.Error()}
}

func fault(file string, text []byte, bad *toml.DecodeError, reason string) Fault {
	row, _ := bad.Position()
	key, value := keyAndValue(text, row)
	if full := strings.Join(bad.Key(), "."); full != "" {
		key = full
	}
	return Fault{File: file, Line: row, Key: key, Value: value, Reason: strings.TrimPrefix(reason, "toml: ")}
}

// keyAndValue returns what stands on a line of the text. The values of secrets are left out.
func keyAndValue(text []byte, row int) (key, value string) {
	lines := strings.Split(string(text), "\n")
	if row < 1 || row > len(lines) {
		return "", ""
	}
	key, value, _ = strings.Cut(lines[row-1], "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	return key, hideSecret(key, value)
}

// secretKeys are the keys whose values are never shown.
var secretKeys = []string{"secret", "token"}

func hideSecret(key, value string) string {
	for _, k := range secretKeys {
		if strings.HasSuffix(key, k) && value != "" {
			return "[secret]"
		}
	}
	return value
}

// Locate returns the line of a key in TOML text, such as "store.url", or 0 where it isn't set.
func Locate(text []byte, key string) (line int, value string) {
	section, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		section, name = key[:i], key[i+1:]
	}
	current := ""
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(l, "[] ")
			continue
		}
		k, v, ok := strings.Cut(l, "=")
		if ok && current == section && strings.TrimSpace(k) == name {
			return i + 1, hideSecret(name, strings.TrimSpace(v))
		}
	}
	return 0, ""
}
