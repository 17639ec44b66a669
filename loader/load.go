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

// Load overwrites the defaults in settings, a pointer to a struct of sections, with
// the values of the INI file. All unknown sections and keys, invalid values and
// missing required values are returned together as a FaultsError. Environment
// variables cannot override the file.
func Load[T any](path string, settings *T) error {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, IgnoreInlineComment: true}, path)
	if err != nil {
		return errors.Annotatef(err, "reading settings %s", path)
	}

	faults := newFileReader(file).read(reflect.ValueOf(settings).Elem())
	if len(faults) > 0 {
		return FaultsError{Path: path, Faults: faults}
	}

	return nil
}

// fileReader reads one file into settings and collects its faults.
type fileReader struct {
	file   *ini.File
	faults []classifier.Fault
}

func newFileReader(file *ini.File) *fileReader {
	return &fileReader{file: file}
}

func (reader *fileReader) read(settings reflect.Value) []classifier.Fault {
	reader.checkSectionNames(settings.Type())

	for index := range settings.NumField() {
		name := settings.Type().Field(index).Name
		reader.readSection(name, settings.Field(index))
	}

	return reader.faults
}

func (reader *fileReader) checkSectionNames(settings reflect.Type) {
	known := fieldNames(settings)

	for _, section := range reader.file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}

		if !slices.Contains(known, section.Name()) {
			reader.addFault("["+section.Name()+"]", "", "no such section; use one of "+strings.Join(known, ", "))
		}
	}
}

func (reader *fileReader) readSection(name string, target reflect.Value) {
	section := reader.file.Section(name)
	known := fieldNames(target.Type())

	for _, key := range section.Keys() {
		if !slices.Contains(known, key.Name()) {
			reader.addFault(fieldPath(name, key.Name()), key.Value(), "no such key; use one of "+strings.Join(known, ", "))
		}
	}

	for index := range target.NumField() {
		field := target.Type().Field(index)
		if section.HasKey(field.Name) {
			reader.parseField(name, field, target.Field(index), section.Key(field.Name).Value())
		}

		reader.checkField(name, field, target.Field(index))
	}
}

// parseField parses the text of a key and stores the value in the field target.
func (reader *fileReader) parseField(section string, field reflect.StructField, target reflect.Value, text string) {
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
	case *bool:
		remedy = "write true or false"
		*value, err = strconv.ParseBool(text)
	case *string:
		*value = text
	default:
		panic("loader: settings field of an unsupported type: " + field.Name)
	}

	if err != nil {
		reader.addFault(fieldPath(section, field.Name), text, remedy)
	}
}

// checkField checks a value against the tags of its field, whether the file sets it
// or it is the default.
func (reader *fileReader) checkField(section string, field reflect.StructField, target reflect.Value) {
	text := fmt.Sprint(target.Interface())
	path := fieldPath(section, field.Name)

	if field.Tag.Get("required") != "" && target.IsZero() {
		reader.addFault(path, text, "give a value")
	}

	if allowed := field.Tag.Get("allowed"); allowed != "" && !slices.Contains(strings.Split(allowed, ","), text) {
		reader.addFault(path, text, "use one of "+strings.ReplaceAll(allowed, ",", ", "))
	}

	if target.CanInt() && target.Int() < 0 || target.CanFloat() && target.Float() < 0 {
		reader.addFault(path, text, "give a value that is not negative")
	}
}

func (reader *fileReader) addFault(field, value, remedy string) {
	reader.faults = append(reader.faults, classifier.Fault{Field: field, Value: value, Remedy: remedy})
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
