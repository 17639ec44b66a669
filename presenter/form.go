package presenter

import (
	"encoding"
	"fmt"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"limpetrail/classifier"
	"limpetrail/editor"
)

// blankRows is how many empty rows a form offers for a list of items.
const blankRows = 2

// input is one control of a form.
type input struct {
	// Name is the control's name, which is the field's path inside the item.
	Name  string
	Label string
	Value string
	// Control is text, area, check or select.
	Control string
	Choices []string
	// Faults are shown beside the control.
	Faults []classifier.Fault
}

// itemRows is a list of items inside a form.
type itemRows struct {
	Label  string
	Groups [][]input
}

// form shows one item of the document.
type form struct {
	Inputs []input
	Rows   []itemRows
}

// newForm returns the form of an item, which is a pointer to a struct. Each fault is put
// beside its control; prefix is the item's path in the faults' fields.
func newForm(item any, choices map[string][]string, prefix string, faults []classifier.Fault) form {
	filled := form{}
	value := reflect.ValueOf(item).Elem()

	for index := range value.NumField() {
		field := value.Type().Field(index)

		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			filled.Rows = append(filled.Rows, newRows(field.Name, value.Field(index), choices, prefix, faults))

			continue
		}

		filled.Inputs = append(filled.Inputs, newInput(field.Name, field.Name, value.Field(index), choices, faultsAt(faults, prefix+"."+field.Name)))
	}

	return filled
}

func newRows(name string, list reflect.Value, choices map[string][]string, prefix string, faults []classifier.Fault) itemRows {
	filled := itemRows{Label: name}

	for index := range list.Len() + blankRows {
		item := reflect.New(list.Type().Elem()).Elem()
		if index < list.Len() {
			item = list.Index(index)
		}

		row := []input{}

		for column := range item.NumField() {
			field := item.Type().Field(column).Name
			path := fmt.Sprintf("%s.%s[%s].%s", prefix, name, item.FieldByName("Name").String(), field)
			fieldFaults := faultsAt(faults, path)

			if index < list.Len() {
				fieldFaults = append(fieldFaults, faultsAt(faults, fmt.Sprintf("%s.%s[%d].%s", prefix, name, index, field))...)
			}

			row = append(row, newInput(fmt.Sprintf("%s.%d.%s", name, index, field), field, item.Field(column), choices, fieldFaults))
		}

		filled.Groups = append(filled.Groups, row)
	}

	return filled
}

// restoreTypedText shows the text as typed in the controls with faults, as the item cannot
// hold text that could not be parsed. Rows need none of this: they have only text fields.
func (form *form) restoreTypedText(values url.Values) {
	for index := range form.Inputs {
		control := &form.Inputs[index]
		if len(control.Faults) > 0 && control.Control == "text" {
			control.Value = values.Get(control.Name)
		}
	}
}

// faultsAt returns the faults of a field and of the elements of its list.
func faultsAt(faults []classifier.Fault, path string) []classifier.Fault {
	found := []classifier.Fault{}

	for _, fault := range faults {
		if fault.Field == path || strings.HasPrefix(fault.Field, path+"[") && !strings.Contains(strings.TrimPrefix(fault.Field, path), ".") {
			found = append(found, fault)
		}
	}

	return found
}

func newInput(name, label string, value reflect.Value, choices map[string][]string, faults []classifier.Fault) input {
	filled := input{Name: name, Label: label, Control: "text", Value: fmt.Sprint(value.Interface()), Faults: faults}

	if text, supported := value.Interface().(encoding.TextMarshaler); supported {
		encoded, err := text.MarshalText()
		if err == nil {
			filled.Value = string(encoded)
		}
	}

	switch {
	case value.Kind() == reflect.Bool:
		filled.Control = "check"
	case value.Kind() == reflect.Slice:
		lines, _ := value.Interface().([]string)
		filled.Control = "area"
		filled.Value = strings.Join(lines, "\n")
	case len(choices[label]) > 0:
		filled.Control = "select"
		filled.Choices = choices[label]
	}

	return filled
}

// decodeForm sets an item's fields from the posted values and returns the faults of values
// that cannot be parsed.
func decodeForm(item any, values url.Values, prefix string) []classifier.Fault {
	reader := &formReader{values: values}
	value := reflect.ValueOf(item).Elem()

	for index := range value.NumField() {
		name := value.Type().Field(index).Name
		reader.readField(value.Field(index), name, prefix+"."+name)
	}

	return reader.faults
}

// formReader parses form values and collects the faults.
type formReader struct {
	values url.Values
	faults []classifier.Fault
}

func (reader *formReader) readField(target reflect.Value, name, path string) {
	text := strings.TrimSpace(reader.values.Get(name))

	if parser, supported := target.Addr().Interface().(encoding.TextUnmarshaler); supported {
		reader.recordFault(parser.UnmarshalText([]byte(text)), path, text, "give a duration such as 1.4s or 300ms")

		return
	}

	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		target.SetBool(text != "")
	case reflect.Int:
		number, err := strconv.Atoi(text)
		reader.recordFault(err, path, text, "give a whole number")
		target.SetInt(int64(number))
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		reader.recordFault(err, path, text, "give a number")
		target.SetFloat(number)
	case reflect.Slice:
		reader.readList(target, name, path)
	default:
		panic("presenter: form field of an unsupported kind: " + target.Kind().String())
	}
}

// recordFault adds a fault if there is an error.
func (reader *formReader) recordFault(err error, path, text, remedy string) {
	if err != nil {
		reader.faults = append(reader.faults, classifier.Fault{Field: path, Value: text, Remedy: remedy})
	}
}

// readList reads a list of words separated by white space, or rows of items; rows whose
// fields are all empty are left out.
func (reader *formReader) readList(target reflect.Value, name, path string) {
	if target.Type().Elem().Kind() == reflect.String {
		target.Set(reflect.ValueOf(strings.Fields(reader.values.Get(name))))

		return
	}

	target.SetZero()

	for index := 0; reader.values.Has(fmt.Sprintf("%s.%d.Name", name, index)); index++ {
		item := reflect.New(target.Type().Elem()).Elem()

		for column := range item.NumField() {
			field := item.Type().Field(column).Name
			reader.readField(item.Field(column), fmt.Sprintf("%s.%d.%s", name, index, field), fmt.Sprintf("%s[%d].%s", path, index, field))
		}

		if !item.IsZero() {
			target.Set(reflect.Append(target, item))
		}
	}
}

// fieldChoices returns the allowed values, by field name, of the kind and of fields that
// refer to other items.
func fieldChoices(document *editor.Document) map[string][]string {
	choices := map[string][]string{"Kind": {string(editor.ServiceKindModel), string(editor.ServiceKindPlain)}, "Firm": {""}, "Model": {""}, "Policy": {""}}

	for _, firm := range document.Firms {
		choices["Firm"] = append(choices["Firm"], firm.Name)
	}

	for _, model := range document.Models {
		choices["Model"] = append(choices["Model"], model.Name)
	}

	for _, policy := range document.Policies {
		choices["Policy"] = append(choices["Policy"], policy.Name)
	}

	return choices
}
