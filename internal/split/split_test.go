package split

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// deep is an array nested deeper than package encoding/json decodes.
var deep = strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)

func TestObject(t *testing.T) {
	is := is.New(t)
	members, err := Object([]byte(` {"a" : 1, "b\"}":{"c":[1,{}]} ,"a":"x,]" , "deep":` + deep + `,"odd":nope 1e} `))
	is.NoErr(err)
	is.Equal(len(members), 4)
	is.Equal(string(members["a"]), `"x,]"`)
	is.Equal(string(members[`b"}`]), `{"c":[1,{}]}`)
	is.Equal(string(members["deep"]), deep)
	is.Equal(string(members["odd"]), `nope 1e`)
}

// Guards against good elements that are lost with a bad one between them.
func TestArray(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{deep, `1e400`, `nope`, "\"\x01\"", `{"a"}`, `[{}]`, `-`, `"\u12"`, `"\"]"`} {
		elements, err := Array([]byte(`[{"key":"a"}, ` + bad + `,{"key":"b"}]`))
		is.NoErr(err)
		is.Equal(len(elements), 3)
		is.Equal(string(elements[0]), `{"key":"a"}`)
		is.Equal(string(elements[1]), bad)
		is.Equal(string(elements[2]), `{"key":"b"}`)
	}
	elements, err := Array([]byte(` [ ] `))
	is.NoErr(err)
	is.Equal(len(elements), 0)
}

func TestEach(t *testing.T) {
	is := is.New(t)
	parse := func(raw json.RawMessage) (n int, err error) {
		err = json.Unmarshal(raw, &n)
		return n, err
	}
	values, invalid, err := Each([]byte(`[1, "x", 1e400, 4]`), parse)
	is.NoErr(err)
	is.Equal(values, []int{1, 4})
	is.Equal(len(invalid), 2)
	for _, none := range []string{"", "null", "[]"} {
		values, invalid, err = Each([]byte(none), parse)
		is.NoErr(err)
		is.Equal(len(values)+len(invalid), 0)
	}
	_, _, err = Each([]byte(`{}`), parse)
	is.True(errors.Is(err, ErrSyntax))
}

// Guards against the beginning of a document that passes for a whole one.
func TestIncompleteDocumentsAreRefused(t *testing.T) {
	const whole = `{"items":[{"key":"a","value":"]}"},{"key":"b"}],"more":false}`
	for n := range len(whole) {
		is := is.New(t)
		_, err := Object([]byte(whole[:n]))
		is.True(err != nil)
	}
	for _, text := range []string{`[1,]`, `[1]]`, `[1}`, `{"a":1]`, `{"a"}`, `{1:2}`, `1`, `null`, ``, `"`, `[],`, `{"a":1}{`} {
		is := is.New(t)
		_, arrayErr := Array([]byte(text))
		_, objectErr := Object([]byte(text))
		is.True(arrayErr != nil)
		is.True(objectErr != nil)
		is.True(errors.Is(arrayErr, ErrSyntax) || errors.Is(arrayErr, ErrTruncated))
		is.True(errors.Is(objectErr, ErrSyntax) || errors.Is(objectErr, ErrTruncated))
	}
}

// A document that encoding/json accepts must be split into the same parts.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":[1,"]",{}],"b":{}}`, `[1,[2,"\\"],{"c":3}]`, `[[[}`, `{"a":`, `{"\u0061":1,"a":2}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, arrayErr := Array(data)
		members, objectErr := Object(data)
		var array []json.RawMessage
		if err := json.Unmarshal(data, &array); err == nil && array != nil {
			if arrayErr != nil || len(elements) != len(array) {
				t.Fatalf("%d elements, error %v; want %d", len(elements), arrayErr, len(array))
			}
			for i := range array {
				if string(array[i]) != string(elements[i]) {
					t.Fatalf("element %d is %s; want %s", i, elements[i], array[i])
				}
			}
		}
		var object map[string]json.RawMessage
		if err := json.Unmarshal(data, &object); err == nil && object != nil {
			if objectErr != nil || len(members) != len(object) {
				t.Fatalf("%d members, error %v; want %d", len(members), objectErr, len(object))
			}
			for name, value := range object {
				if string(value) != string(members[name]) {
					t.Fatalf("member %q is %s; want %s", name, members[name], value)
				}
			}
		}
	})
}
