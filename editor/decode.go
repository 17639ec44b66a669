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

const maxFaultValueBytes = 120

// DecodeDocument parses a document that an operator wrote. It returns a fault for
// each unknown field and each value of the wrong type. Field names are case
// sensitive.
func DecodeDocument(encoded []byte) (*Document, []classifier.Fault) {
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

// CheckFields returns a fault for each field of the JSON text that the type of
// target does not have and for each value of the wrong type.
func CheckFields(encoded []byte, target any) []classifier.Fault {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()

	var value any
	if err := decoder.Decode(&value); err != nil {
		return []classifier.Fault{{Field: "(document)", Value: truncate(string(encoded)), Remedy: "give a JSON object: " + err.Error()}}
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

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (checker *fieldChecker) check(value any, wanted reflect.Type, path string) {
	if value == nil && wanted.Kind() == reflect.Slice {
		return
	}

	if reflect.PointerTo(wanted).Implements(textUnmarshalerType) {
		checker.checkText(value, wanted, path)

		return
	}

	switch wanted.Kind() {
	case reflect.Struct:
		checker.checkObject(value, wanted, path)
	case reflect.Slice:
		list, valid := value.([]any)
		if !valid {
			checker.addFault(path, value, "give a list")

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
		checker.addFault(path, value, "give an object")

		return
	}

	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(wanted) {
		if !field.Anonymous {
			fields[field.Name] = field.Type
		}
	}

	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")

		if fieldType, known := fields[name]; known {
			checker.check(object[name], fieldType, fieldPath)
		} else {
			checker.addFault(fieldPath, object[name], "remove the unknown field; known: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		}
	}
}

func (checker *fieldChecker) checkText(value any, wanted reflect.Type, path string) {
	text, valid := value.(string)
	if !valid {
		checker.addFault(path, value, "give a text such as \"1.4s\"")

		return
	}

	parsed, _ := reflect.New(wanted).Interface().(encoding.TextUnmarshaler)
	if err := parsed.UnmarshalText([]byte(text)); err != nil {
		checker.addFault(path, value, "give a duration such as \"1.4s\" or \"300ms\"")
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
		checker.addFault(path, value, remedies[wanted.Kind()])
	}
}

func (checker *fieldChecker) addFault(path string, value any, remedy string) {
	if path == "" {
		path = "(document)"
	}

	checker.faults = append(checker.faults, classifier.Fault{Field: path, Value: truncate(string(encodeJSON(value))), Remedy: remedy})
}

func truncate(text string) string {
	if len(text) <= maxFaultValueBytes {
		return text
	}

	return strings.ToValidUTF8(text[:maxFaultValueBytes], "") + "…"
}
