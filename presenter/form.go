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

// input is one field of a form.
type input struct {
	// Name is the name of the control, with the path inside the item.
	Name  string
	Label string
	Value string
	// Control is text, area, check or select.
	Control string
	Choices []string
	// Faults are shown beside the control.
	Faults []classifier.Fault
}

// rows is a list of items inside a form.
type rows struct {
	Label  string
	Groups [][]input
}

// form shows one item of the document.
type form struct {
	Inputs []input
	Rows   []rows
}

// newForm returns the form of an item, a pointer to a struct, with the faults
// beside the controls they concern. prefix is the item's path in faults.
func newForm(item any, choices map[string][]string, prefix string, faults []classifier.Fault) form {
	filled := form{}
	value := reflect.ValueOf(item).Elem()

	for index := range value.NumField() {
		field := value.Type().Field(index)

		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			filled.Rows = append(filled.Rows, newRows(field.Name, value.Field(index), choices, prefix, faults))

			continue
		}

		filled.Inputs = append(filled.Inputs, newInput(field.Name, field.Name, value.Field(index), choices, faultsOf(faults, prefix+"."+field.Name)))
	}

	return filled
}

func newRows(name string, list reflect.Value, choices map[string][]string, prefix string, faults []classifier.Fault) rows {
	filled := rows{Label: name}

	for index := range list.Len() + blankRows {
		item := reflect.New(list.Type().Elem()).Elem()
		if index < list.Len() {
			item = list.Index(index)
		}

		group := []input{}

		for inner := range item.NumField() {
			field := item.Type().Field(inner).Name
			path := fmt.Sprintf("%s.%s[%s].%s", prefix, name, item.FieldByName("Name").String(), field)
			found := faultsOf(faults, path)

			if index < list.Len() {
				found = append(found, faultsOf(faults, fmt.Sprintf("%s.%s[%d].%s", prefix, name, index, field))...)
			}

			group = append(group, newInput(fmt.Sprintf("%s.%d.%s", name, index, field), field, item.Field(inner), choices, found))
		}

		filled.Groups = append(filled.Groups, group)
	}

	return filled
}

// keep shows what was typed into the controls with faults, which the item
// itself cannot hold when it was not even readable. Rows hold only texts.
func (form *form) keep(values url.Values) {
	for index := range form.Inputs {
		control := &form.Inputs[index]
		if len(control.Faults) > 0 && control.Control == "text" {
			control.Value = values.Get(control.Name)
		}
	}
}

// faultsOf returns the faults of a field and of the entries below it.
func faultsOf(faults []classifier.Fault, path string) []classifier.Fault {
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

	if text, written := value.Interface().(encoding.TextMarshaler); written {
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

// fill reads the posted values into an item and lists those it cannot read.
func fill(item any, values url.Values, prefix string) []classifier.Fault {
	reader := &formReader{values: values}
	value := reflect.ValueOf(item).Elem()

	for index := range value.NumField() {
		name := value.Type().Field(index).Name
		reader.field(value.Field(index), name, prefix+"."+name)
	}

	return reader.faults
}

type formReader struct {
	values url.Values
	faults []classifier.Fault
}

func (reader *formReader) field(target reflect.Value, name, path string) {
	text := strings.TrimSpace(reader.values.Get(name))

	if parser, written := target.Addr().Interface().(encoding.TextUnmarshaler); written {
		reader.check(parser.UnmarshalText([]byte(text)), path, text, "give a duration such as 1.4s or 300ms")

		return
	}

	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		target.SetBool(text != "")
	case reflect.Int:
		number, err := strconv.Atoi(text)
		reader.check(err, path, text, "give a whole number")
		target.SetInt(int64(number))
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		reader.check(err, path, text, "give a number")
		target.SetFloat(number)
	case reflect.Slice:
		reader.list(target, name, path)
	default:
		panic("presenter: form of an unknown kind: " + target.Kind().String())
	}
}

func (reader *formReader) check(err error, path, text, remedy string) {
	if err != nil {
		reader.faults = append(reader.faults, classifier.Fault{Field: path, Value: text, Remedy: remedy})
	}
}

// list reads a list of texts, one a line, or rows of items; rows without a
// name are left out.
func (reader *formReader) list(target reflect.Value, name, path string) {
	if target.Type().Elem().Kind() == reflect.String {
		target.Set(reflect.ValueOf(strings.Fields(reader.values.Get(name))))

		return
	}

	target.SetZero()

	for index := 0; reader.values.Has(fmt.Sprintf("%s.%d.Name", name, index)); index++ {
		item := reflect.New(target.Type().Elem()).Elem()

		for inner := range item.NumField() {
			field := item.Type().Field(inner).Name
			reader.field(item.Field(inner), fmt.Sprintf("%s.%d.%s", name, index, field), fmt.Sprintf("%s[%d].%s", path, index, field))
		}

		if !item.IsZero() {
			target.Set(reflect.Append(target, item))
		}
	}
}

// choices lists what the fields that refer to other items may say.
func choices(document *editor.Document) map[string][]string {
	found := map[string][]string{"Kind": {string(editor.ServiceKindModel), string(editor.ServiceKindPlain)}, "Firm": {""}, "Model": {""}, "Policy": {""}}

	for _, firm := range document.Firms {
		found["Firm"] = append(found["Firm"], firm.Name)
	}

	for _, model := range document.Models {
		found["Model"] = append(found["Model"], model.Name)
	}

	for _, policy := range document.Policies {
		found["Policy"] = append(found["Policy"], policy.Name)
	}

	return found
}
