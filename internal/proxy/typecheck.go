package proxy

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// typeChecker finds the values of a configuration file that do not have the type of their key, and the
// keys that do not exist.
type typeChecker struct{ problems, unknown []string }

// check compares the JSON value at path with the type of the value want.
func (c *typeChecker) check(path string, value, want any) { c.walk(path, value, reflect.TypeOf(want)) }

// walk is check for the type t.
func (c *typeChecker) walk(path string, value any, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	_, raw := reflect.New(t).Interface().(*json.RawMessage)
	switch {
	case value == nil || raw: // null counts as absent
	case t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(unmarshalerType):
		c.object(path, value, t)
	case t.Kind() == reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			c.addProblem(path, value, "a list")
		}
		for i, e := range list {
			c.walk(fmt.Sprintf("%s.%d", path, i), e, t.Elem())
		}
	default:
		text, err := json.Marshal(value)
		if err == nil {
			err = json.Unmarshal(text, reflect.New(t).Interface())
		}
		if err != nil {
			c.addProblem(path, value, kindNames[t.Kind()])
		}
	}
}

// object checks the keys and values of an object against the fields of the struct type t.
func (c *typeChecker) object(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		c.addProblem(path, value, "an object")
		return
	}
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		field, known := t.FieldByNameFunc(func(name string) bool {
			f, _ := t.FieldByName(name)
			return strings.EqualFold(f.Tag.Get("json"), key) // keys match without regard to case, as in encoding/json
		})
		if !known {
			c.unknown = append(c.unknown, keyPath+": unknown key; it is ignored")
			continue
		}
		c.walk(keyPath, object[key], field.Type)
	}
}

// addProblem records that the value at path is not of the type that want describes.
func (c *typeChecker) addProblem(path string, value any, want string) {
	text, _ := json.Marshal(value) // it can't fail: the value was decoded from JSON
	if len(text) > 40 {
		text = append(text[:40], "..."...)
	}
	c.problems = append(
		c.problems,
		strings.TrimPrefix(fmt.Sprintf("%s: want %s, have %s", path, want, text), ": "),
	)
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// kindNames describes the kinds of values in problems.
var kindNames = map[reflect.Kind]string{
	reflect.String:  "a string",
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number",
	reflect.Int64:   "a whole number",
	reflect.Float64: "a number",
	reflect.Struct:  "an object",
}
