// Command documenter writes the reference page of the settings. CI runs it and
// fails when the committed page differs.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"limpetrail/documenter"
	"limpetrail/loader"
)

const introduction = `# Settings

Each process reads one INI file, named by --settings. Sections and keys are
written as below; unknown ones, bad values and missing required ones are
refused, all at once, before anything starts: ` + "`limpetrail check`" + `. There are no
environment overrides. Durations are written as 1.5s or 250ms.

This page is generated from the comments and defaults in the source.
`

const pageMode = 0o600

func main() {
	root := os.Args[1]
	if err := run(root); err != nil {
		fmt.Fprintln(os.Stderr, "documenter:", err)
		os.Exit(1)
	}
}

func run(root string) error {
	page := &bytes.Buffer{}
	page.WriteString(introduction)

	writer := documenter.NewDocumenter(root)
	if err := writer.Write(page, "limpetrail entry", loader.DefaultEntry()); err != nil {
		return errors.Trace(err)
	}

	if err := writer.Write(page, "limpetrail sidecar", loader.DefaultSidecar()); err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(os.WriteFile(filepath.Join(root, "docs", "SETTINGS.md"), page.Bytes(), pageMode))
}
