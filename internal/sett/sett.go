// Package sett reads settings from TOML files and checks them as a whole.
package sett

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// FieldError is one bad setting.
type FieldError struct {
	File   string
	Line   int
	Key    string
	Value  string
	Reason string
}

// Error names the file, line, key and value, and what is wrong.
func (f FieldError) Error() string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	text += ": " + f.Key
	if f.Value != "" {
		text += " = " + f.Value
	}
	return text + ": " + f.Reason
}

// FieldErrors lists every bad setting of a file.
type FieldErrors []FieldError

// Error returns all faults, one a line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Decode reads TOML text of a file into settings, which hold the defaults. Unknown keys, wrong types and
// values that don't decode are all returned as Faults; the other settings are decoded.
func Decode(file string, text []byte, settings any) error {
	err := decodeStrict(text, settings)
	if err == nil {
		return nil
	}
	statements := split(text)
	var faults FieldErrors
	var good []statement
	for _, st := range statements {
		if fault, ok := st.check(file, settings); !ok {
			faults = append(faults, fault)
			continue
		}
		good = append(good, st)
	}
	if len(faults) == 0 {
		return FieldErrors{whole(file, err)} // A fault between statements, such as a key that stands twice.
	}
	if err := decodeStrict(join(good), settings); err != nil {
		faults = append(faults, whole(file, err))
	}
	return faults
}

func decodeStrict(text []byte, settings any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(settings)
}

// whole returns the fault of a file that no single statement shows.
func whole(file string, err error) FieldError {
	f := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		f.Line, _ = bad.Position()
		f.Key = strings.Join(bad.Key(), ".")
	}
	return f
}

// statement is a key with its value, under the header of its table.
type statement struct {
	line    int
	section string
	// table counts the headers before the statement, which tells tables of one array apart.
	table int
	text  string
}

// split returns the statements of a TOML text.
func split(text []byte) []statement {
	var out []statement
	section, table := "", 0
	open := 0
	for i, l := range strings.Split(string(text), "\n") {
		trimmed := strings.TrimSpace(l)
		switch {
		case open > 0:
			out[len(out)-1].text += "\n" + l
			open += brackets(l)
		case trimmed == "" || strings.HasPrefix(trimmed, "#"):
		case strings.HasPrefix(trimmed, "["):
			section = trimmed
			table++
		default:
			out = append(out, statement{line: i + 1, section: section, table: table, text: l})
			open = brackets(l)
		}
	}
	return out
}

// brackets returns how many brackets a line opens more than it closes.
func brackets(l string) int { return strings.Count(l, "[") - strings.Count(l, "]") }

// join returns statements as one text.
func join(statements []statement) []byte {
	var b strings.Builder
	table := 0
	for _, st := range statements {
		if st.table != table {
			table = st.table
			b.WriteString(st.section + "\n")
		}
		b.WriteString(st.text + "\n")
	}
	return []byte(b.String())
}

// check decodes a statement on its own, and returns its fault.
func (st statement) check(file string, settings any) (fault FieldError, ok bool) {
	trial := reflect.New(reflect.TypeOf(settings).Elem()).Interface()
	err := decodeStrict([]byte(st.section+"\n"+st.text+"\n"), trial)
	if err == nil {
		return FieldError{}, true
	}
	key, value, _ := strings.Cut(st.text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	fault = FieldError{File: file, Line: st.line, Key: key, Value: hideSecret(key, value), Reason: reason(err)}
	if table := strings.Trim(st.section, "[] "); table != "" {
		fault.Key = table + "." + key
	}
	return fault, false
}

// reason returns what is wrong with a statement.
func reason(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return "unknown key"
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
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

// FindKey returns the line of a key in TOML text, such as "store.url", or 0 where it isn't set.
func FindKey(text []byte, key string) (line int, value string) {
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
