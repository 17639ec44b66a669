package documenter

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// Documenter writes the reference page of settings structs.
type Documenter struct {
	// Root is the root folder of the module's sources.
	Root string

	// comments holds the fields' comments, keyed by package path, type and field.
	comments map[string]string
}

// NewDocumenter returns a documenter that reads the sources below root.
func NewDocumenter(root string) *Documenter {
	return &Documenter{Root: root, comments: map[string]string{}}
}

// Write writes the settings of one role, with a table for each section.
func (documenter *Documenter) Write(out io.Writer, role string, defaults any) error {
	settings := reflect.ValueOf(defaults)
	fmt.Fprintf(out, "\n## %s\n", role)

	for index := range settings.NumField() {
		section := settings.Type().Field(index)

		if err := documenter.readComments(section.Type.PkgPath()); err != nil {
			return errors.Trace(err)
		}

		fmt.Fprintf(out, "\n### [%s]\n\n| Key | Default | Meaning |\n| --- | --- | --- |\n", section.Name)
		documenter.writeRows(out, settings.Field(index))
	}

	return nil
}

func (documenter *Documenter) writeRows(out io.Writer, section reflect.Value) {
	for index := range section.NumField() {
		field := section.Type().Field(index)
		description := documenter.comments[section.Type().PkgPath()+"."+section.Type().Name()+"."+field.Name]

		if allowed := field.Tag.Get("allowed"); allowed != "" {
			description += " One of " + strings.ReplaceAll(allowed, ",", ", ") + "."
		}

		fmt.Fprintf(out, "| %s | %s | %s |\n", field.Name, defaultText(field, section.Field(index)), description)
	}
}

func defaultText(field reflect.StructField, value reflect.Value) string {
	if value.IsZero() && field.Tag.Get("required") != "" {
		return "required"
	}

	return fmt.Sprintf("`%v`", value.Interface())
}

// readComments collects the field comments of one package of this module, given
// by its import path.
func (documenter *Documenter) readComments(path string) error {
	_, folder, _ := strings.Cut(path, "/")

	files, err := filepath.Glob(filepath.Join(documenter.Root, folder, "*.go"))
	if err != nil {
		return errors.Trace(err)
	}

	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return errors.Trace(err)
		}

		ast.Inspect(parsed, func(node ast.Node) bool {
			if spec, isType := node.(*ast.TypeSpec); isType {
				documenter.collectComments(path, spec)
			}

			return true
		})
	}

	return nil
}

func (documenter *Documenter) collectComments(path string, spec *ast.TypeSpec) {
	structure, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return
	}

	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			documenter.comments[path+"."+spec.Name.Name+"."+name.Name] = describe(name.Name, field.Doc.Text())
		}
	}
}

// describe turns a field's comment into a sentence for the table, without the
// field's name at its beginning.
func describe(name, comment string) string {
	text := strings.Join(strings.Fields(comment), " ")
	text = strings.TrimPrefix(text, name+" is ")
	text = strings.TrimPrefix(text, name+" ")

	if text == "" {
		return ""
	}

	return strings.ToUpper(text[:1]) + text[1:]
}
