// Package sett reads settings from TOML files and reports all invalid settings of a file at once.
package sett

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// FieldError describes an invalid setting. Line is 0 if the setting isn't in the file.
type FieldError struct {
	File   string
	Line   int
	Key    string
	Value  string
	Reason string
}

// Error formats the error as "file:line: key = value: reason".
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

// FieldErrors lists all invalid settings of a file.
type FieldErrors []FieldError

// Error returns all errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes the TOML text of a file into settings, which hold the defaults. If the text has unknown keys, wrong types
// or invalid values, Decode returns FieldErrors that list all of them, and decodes the valid settings.
func Decode(file string, text []byte, settings any) error {
	err := decodeStrict(text, settings)
	if err == nil {
		return nil
	}
	statements := splitStatements(text)
	var errs FieldErrors
	var valid []statement
	for _, st := range statements {
		if fieldError, ok := st.decodeSeparately(file, settings); !ok {
			errs = append(errs, fieldError)
			continue
		}
		valid = append(valid, st)
	}
	if len(errs) == 0 {
		return FieldErrors{fileError(file, err)} // Statements that are only invalid in combination, such as duplicate keys.
	}
	if err := decodeStrict(joinStatements(valid), settings); err != nil {
		errs = append(errs, fileError(file, err))
	}
	return errs
}

func decodeStrict(text []byte, settings any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(settings)
}

// fileError converts a decoding error that can't be attributed to a single statement.
func fileError(file string, err error) FieldError {
	fieldError := FieldError{File: file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		fieldError.Line, _ = decodeErr.Position()
		fieldError.Key = strings.Join(decodeErr.Key(), ".")
	}
	return fieldError
}

// statement is a key/value pair of a TOML text with the header of its table.
type statement struct {
	line    int
	section string
	// table is the number of table headers before the statement. It distinguishes the tables of an array.
	table int
	text  string
}

// splitStatements splits a TOML text into statements. A value with open brackets continues on the following lines.
func splitStatements(text []byte) []statement {
	var statements []statement
	section, table := "", 0
	depth := 0
	for i, line := range strings.Split(string(text), "\n") {
		trimmed := strings.TrimSpace(line)
		switch {
		case depth > 0:
			statements[len(statements)-1].text += "\n" + line
			depth += openBrackets(line)
		case trimmed == "" || strings.HasPrefix(trimmed, "#"):
		case strings.HasPrefix(trimmed, "["):
			section = trimmed
			table++
		default:
			statements = append(statements, statement{line: i + 1, section: section, table: table, text: line})
			depth = openBrackets(line)
		}
	}
	return statements
}

// openBrackets returns the number of opening brackets in a line minus the number of closing ones.
func openBrackets(line string) int { return strings.Count(line, "[") - strings.Count(line, "]") }

// joinStatements returns the TOML text of statements.
func joinStatements(statements []statement) []byte {
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

// decodeSeparately decodes a statement on its own; ok is false if it is invalid.
func (st statement) decodeSeparately(file string, settings any) (fieldError FieldError, ok bool) {
	target := reflect.New(reflect.TypeOf(settings).Elem()).Interface()
	err := decodeStrict([]byte(st.section+"\n"+st.text+"\n"), target)
	if err == nil {
		return FieldError{}, true
	}
	key, value, _ := strings.Cut(st.text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	fieldError = FieldError{File: file, Line: st.line, Key: key, Value: maskSecret(key, value), Reason: decodeErrorReason(err)}
	if table := strings.Trim(st.section, "[] "); table != "" {
		fieldError.Key = table + "." + key
	}
	return fieldError, false
}

// decodeErrorReason returns the reason that is reported for the decoding error of a statement.
func decodeErrorReason(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return "unknown key"
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

// secretKeys are the suffixes of keys whose values must not appear in messages.
var secretKeys = []string{"secret", "token"}

func maskSecret(key, value string) string {
	for _, secretKey := range secretKeys {
		if strings.HasSuffix(key, secretKey) && value != "" {
			return "[secret]"
		}
	}
	return value
}

// FindKey returns the line number and the value of a key such as "store.url" in TOML text. Secrets are masked. The line
// number is 0 if the key isn't set.
func FindKey(text []byte, key string) (lineNumber int, value string) {
	section, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		section, name = key[:i], key[i+1:]
	}
	currentSection := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			currentSection = strings.Trim(line, "[] ")
			continue
		}
		k, v, ok := strings.Cut(line, "=")
		if ok && currentSection == section && strings.TrimSpace(k) == name {
			return i + 1, maskSecret(name, strings.TrimSpace(v))
		}
	}
	return 0, ""
}
