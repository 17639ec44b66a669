package loader

import (
	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// Load reads the INI file over the defaults.
func Load[T any](path string, settings *T) error {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return errors.Annotatef(err, "reading settings %s", path)
	}

	return errors.Annotatef(file.StrictMapTo(settings), "settings %s", path)
}
