package loader

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"limpetrail/classifier"
)

// Load reads the INI file over the defaults in settings, a pointer to a struct
// of sections. Unknown sections and keys, bad values and missing ones are all
// reported at once as a FaultsError. Settings come from the file alone: there are no
// environment overrides.
func Load[T any](path string, settings *T) error {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, IgnoreInlineComment: true}, path)
	if err != nil {
		return errors.Annotatef(err, "reading settings %s", path)
	}

	faults := newReading(file).read(reflect.ValueOf(settings).Elem())
	if len(faults) > 0 {
		return FaultsError{Path: path, Faults: faults}
	}

	return nil
}

// reading is one pass over a file.
type reading struct {
	file   *ini.File
	faults []classifier.Fault
}

func newReading(file *ini.File) *reading {
	return &reading{file: file}
}

func (reading *reading) read(settings reflect.Value) []classifier.Fault {
	reading.unknownSections(settings.Type())

	for index := range settings.NumField() {
		name := settings.Type().Field(index).Name
		reading.section(name, settings.Field(index))
	}

	return reading.faults
}

func (reading *reading) unknownSections(settings reflect.Type) {
	known := fieldNames(settings)

	for _, section := range reading.file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}

		if !slices.Contains(known, section.Name()) {
			reading.fault("["+section.Name()+"]", "", "no such section; use one of "+strings.Join(known, ", "))
		}
	}
}

func (reading *reading) section(name string, target reflect.Value) {
	section := reading.file.Section(name)
	known := fieldNames(target.Type())

	for _, key := range section.Keys() {
		if !slices.Contains(known, key.Name()) {
			reading.fault(fieldPath(name, key.Name()), key.Value(), "no such key; use one of "+strings.Join(known, ", "))
		}
	}

	for index := range target.NumField() {
		field := target.Type().Field(index)
		if section.HasKey(field.Name) {
			reading.set(name, field, target.Field(index), section.Key(field.Name).Value())
		}

		reading.check(name, field, target.Field(index))
	}
}

// set parses the text of a key into its field.
func (reading *reading) set(section string, field reflect.StructField, target reflect.Value, text string) {
	var err error

	remedy := ""

	switch value := target.Addr().Interface().(type) {
	case *time.Duration:
		remedy = "write a positive duration such as 1.5s"
		*value, err = time.ParseDuration(text)
	case *int:
		remedy = "write a whole number above 0"
		*value, err = strconv.Atoi(text)
	case *int64:
		remedy = "write a whole number above 0"
		*value, err = strconv.ParseInt(text, 10, 64)
	case *float64:
		remedy = "write a number above 0"
		*value, err = strconv.ParseFloat(text, 64)
	case *string:
		*value = text
	default:
		panic("loader: settings field of an unknown type: " + field.Name)
	}

	if err != nil {
		reading.fault(fieldPath(section, field.Name), text, remedy)
	}
}

// check holds a field against its tags, whether it was set or is the default.
func (reading *reading) check(section string, field reflect.StructField, target reflect.Value) {
	text := fmt.Sprint(target.Interface())
	path := fieldPath(section, field.Name)

	if field.Tag.Get("required") != "" && target.IsZero() {
		reading.fault(path, text, "give a value")
	}

	if allowed := field.Tag.Get("allowed"); allowed != "" && !slices.Contains(strings.Split(allowed, ","), text) {
		reading.fault(path, text, "use one of "+strings.ReplaceAll(allowed, ",", ", "))
	}

	if target.CanInt() && target.Int() < 0 || target.CanFloat() && target.Float() < 0 {
		reading.fault(path, text, "give a value that is not negative")
	}
}

func (reading *reading) fault(field, value, remedy string) {
	reading.faults = append(reading.faults, classifier.Fault{Field: field, Value: value, Remedy: remedy})
}

func fieldNames(settings reflect.Type) []string {
	names := []string{}
	for index := range settings.NumField() {
		names = append(names, settings.Field(index).Name)
	}

	return names
}

func fieldPath(section, key string) string {
	return "[" + section + "] " + key
}
