// Command documenter generates the reference page of the settings. CI runs it and
// fails if the committed page differs.
package main

import (
	"bytes"
	"fmt"
	"os"

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

// Paths are relative to the folder in which go generate runs the command, one
// level below the module's root.
const (
	root         = ".."
	page         = root + "/docs/SETTINGS.md"
	pageFileMode = 0o600
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "documenter:", err)
		os.Exit(1)
	}
}

func run() error {
	text := &bytes.Buffer{}
	text.WriteString(introduction)

	writer := documenter.NewDocumenter(root)
	if err := writer.Write(text, "limpetrail entry", loader.DefaultEntry()); err != nil {
		return errors.Trace(err)
	}

	if err := writer.Write(text, "limpetrail sidecar", loader.DefaultSidecar()); err != nil {
		return errors.Trace(err)
	}

	if err := writer.Write(text, "limpetrail gateway", loader.DefaultGateway()); err != nil {
		return errors.Trace(err)
	}

	if err := writer.Write(text, "limpetrail holder", loader.DefaultHolder()); err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(os.WriteFile(page, text.Bytes(), pageFileMode))
}
