// Package split splits JSON objects and arrays into their members and elements without decoding these, so that one which can't be
// decoded costs only itself. Package encoding/json refuses a whole document for a syntax error or too deep nesting in any part.
//
// Strings must end, and brackets must be closed by those of the same kind. Nothing else is checked within members and elements. The
// package doesn't recurse, so that the nesting is limited by the size of the document only.
package split

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors that Object and Array return.
var (
	ErrTruncated = errors.New("split: document ends early")
	ErrSyntax    = errors.New("split: not an object or array with separated values")
)

// Object returns the members of a JSON object by name. The last one of several with the same name counts. Members whose name can't be
// decoded are left out.
func Object(data []byte) (map[string]json.RawMessage, error) {
	parts, err := elements(data, '{')
	if err != nil {
		return nil, err
	}
	members := make(map[string]json.RawMessage, len(parts))
	for _, part := range parts {
		end, err := stringEnd(part)
		if err != nil {
			return nil, err
		}
		value := bytes.TrimSpace(part[end:])
		if len(value) == 0 || value[0] != ':' {
			return nil, errors.Wrap(ErrSyntax, "member without a value")
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err == nil {
			members[name] = json.RawMessage(bytes.TrimSpace(value[1:]))
		}
	}
	return members, nil
}

// Array returns the elements of a JSON array.
func Array(data []byte) ([]json.RawMessage, error) { return elements(data, '[') }

// Each parses the elements of a JSON array one by one. It returns the values of those that are valid and an error for each other one; err
// is set if there is no array. A missing array, or null, has no elements.
func Each[T any](array json.RawMessage, parse func(json.RawMessage) (T, error)) (values []T, invalid []error, err error) {
	if IsNull(array) {
		return nil, nil, nil
	}
	elements, err := Array(array)
	if err != nil {
		return nil, nil, err
	}
	for _, raw := range elements {
		value, err := parse(raw)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		values = append(values, value)
	}
	return values, invalid, nil
}

// IsNull reports whether a member is missing or null.
func IsNull(member json.RawMessage) bool { return len(member) == 0 || string(member) == "null" }

// elements returns the parts of a document between an opening bracket and the closing one that are separated by commas.
func elements(data []byte, opening byte) ([]json.RawMessage, error) {
	data = bytes.TrimSpace(data)
	if len(data) > 0 && data[0] != opening {
		return nil, errors.Wrapf(ErrSyntax, "begins with %q", data[0])
	}
	var parts []json.RawMessage
	var open brackets
	start := 1
	for i := 0; i < len(data); i++ {
		c := data[i]
		if c == '"' {
			end, err := stringEnd(data[i:])
			if err != nil {
				return nil, err
			}
			i += end - 1
			continue
		}
		if err := open.update(c); err != nil {
			return nil, err
		}
		switch len(open) {
		case 0:
			if i != len(data)-1 {
				return nil, errors.Wrap(ErrSyntax, "text after the end")
			}
			return appendLast(parts, data[start:i])
		case 1:
			if c == ',' {
				parts = append(parts, bytes.TrimSpace(data[start:i]))
				start = i + 1
			}
		}
	}
	return nil, ErrTruncated
}

// brackets has the closing brackets that are awaited, the innermost last.
type brackets []byte

// update records a bracket; other characters don't matter.
func (b *brackets) update(c byte) error {
	switch c {
	case '[':
		*b = append(*b, ']')
	case '{':
		*b = append(*b, '}')
	case ']', '}':
		last := len(*b) - 1
		if last < 0 || (*b)[last] != c {
			return errors.Wrapf(ErrSyntax, "%q closes another bracket", c)
		}
		*b = (*b)[:last]
	}
	return nil
}

// appendLast appends the part before the closing bracket. It may be empty only if there is no other.
func appendLast(parts []json.RawMessage, last []byte) ([]json.RawMessage, error) {
	last = bytes.TrimSpace(last)
	if len(last) > 0 {
		parts = append(parts, last)
	} else if len(parts) > 0 {
		return nil, errors.Wrap(ErrSyntax, "comma before the end")
	}
	return parts, nil
}

// stringEnd returns the index after the string with which data begins.
func stringEnd(data []byte) (int, error) {
	if len(data) == 0 || data[0] != '"' {
		return 0, errors.Wrap(ErrSyntax, "string expected")
	}
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, ErrTruncated
}
