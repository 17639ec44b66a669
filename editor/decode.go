package editor

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"limpetrail/classifier"
)

const maxFaultValue = 120

// Decode reads a document that an operator wrote and lists every unknown
// field and every value of a wrong kind. Field names are matched exactly.
func Decode(encoded []byte) (*Document, []classifier.Fault) {
	document := &Document{}
	faults := CheckFields(encoded, document)

	if len(faults) > 0 {
		return document, faults
	}

	if err := json.Unmarshal(encoded, document); err != nil {
		return document, []classifier.Fault{{Field: "(document)", Remedy: "give a JSON object: " + err.Error()}}
	}

	return document, nil
}

// CheckFields lists what in the JSON text the type of target has no field
// for, or a field of another kind.
func CheckFields(encoded []byte, target any) []classifier.Fault {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()

	var value any
	if err := decoder.Decode(&value); err != nil {
		return []classifier.Fault{{Field: "(document)", Value: shorten(string(encoded)), Remedy: "give a JSON object: " + err.Error()}}
	}

	if decoder.More() {
		return []classifier.Fault{{Field: "(document)", Remedy: "remove what follows the JSON object"}}
	}

	checker := &fieldChecker{}
	checker.check(value, reflect.TypeOf(target).Elem(), "")

	return checker.faults
}

type fieldChecker struct {
	faults []classifier.Fault
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (checker *fieldChecker) check(value any, wanted reflect.Type, path string) {
	if value == nil && wanted.Kind() == reflect.Slice {
		return
	}

	if reflect.PointerTo(wanted).Implements(textType) {
		checker.checkText(value, wanted, path)

		return
	}

	switch wanted.Kind() {
	case reflect.Struct:
		checker.checkObject(value, wanted, path)
	case reflect.Slice:
		list, valid := value.([]any)
		if !valid {
			checker.refuse(path, value, "give a list")

			return
		}

		for index, entry := range list {
			checker.check(entry, wanted.Elem(), fmt.Sprintf("%s[%d]", path, index))
		}
	default:
		checker.checkScalar(value, wanted, path)
	}
}

func (checker *fieldChecker) checkObject(value any, wanted reflect.Type, path string) {
	object, valid := value.(map[string]any)
	if !valid {
		checker.refuse(path, value, "give an object")

		return
	}

	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(wanted) {
		if !field.Anonymous {
			fields[field.Name] = field.Type
		}
	}

	for _, name := range slices.Sorted(maps.Keys(object)) {
		inner := strings.TrimPrefix(path+"."+name, ".")

		if kind, known := fields[name]; known {
			checker.check(object[name], kind, inner)
		} else {
			checker.refuse(inner, object[name], "remove the unknown field; known: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		}
	}
}

func (checker *fieldChecker) checkText(value any, wanted reflect.Type, path string) {
	text, valid := value.(string)
	if !valid {
		checker.refuse(path, value, "give a text such as \"1.4s\"")

		return
	}

	parsed, _ := reflect.New(wanted).Interface().(encoding.TextUnmarshaler)
	if err := parsed.UnmarshalText([]byte(text)); err != nil {
		checker.refuse(path, value, "give a duration such as \"1.4s\" or \"300ms\"")
	}
}

func (checker *fieldChecker) checkScalar(value any, wanted reflect.Type, path string) {
	if err := json.Unmarshal(encodeJSON(value), reflect.New(wanted).Interface()); err != nil || value == nil {
		remedies := map[reflect.Kind]string{
			reflect.String:  "give a text",
			reflect.Bool:    "give true or false",
			reflect.Int:     "give a whole number",
			reflect.Uint64:  "give a whole number that is not negative",
			reflect.Float64: "give a number",
		}
		checker.refuse(path, value, remedies[wanted.Kind()])
	}
}

func (checker *fieldChecker) refuse(path string, value any, remedy string) {
	if path == "" {
		path = "(document)"
	}

	checker.faults = append(checker.faults, classifier.Fault{Field: path, Value: shorten(string(encodeJSON(value))), Remedy: remedy})
}

func shorten(text string) string {
	if len(text) <= maxFaultValue {
		return text
	}

	return strings.ToValidUTF8(text[:maxFaultValue], "") + "…"
}
