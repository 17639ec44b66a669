package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/loader"
)

// valid has the keys that have no default.
const valid = `
[Instance]
Name = entry-1
DataCentre = dc1
[KeyValue]
Address = 127.0.0.1:1
[Instances]
Address = 127.0.0.1:2
`

func load(t *testing.T, text string) (loader.Entry, error) {
	t.Helper()

	path := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	settings := loader.DefaultEntry()

	return settings, loader.Load(path, &settings)
}

func TestLoadReadsOverDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(path, []byte(valid+"[Dispatch]\nSilence = 7s\nAttempts = 5\n"), 0o600))

	settings := loader.DefaultEntry()
	require.NoError(t, loader.Load(path, &settings))
	require.Equal(t, "entry-1", settings.Instance.Name)
	require.Equal(t, 7*time.Second, settings.Dispatch.Silence)
	require.Equal(t, 5, settings.Dispatch.Attempts)
	require.Equal(t, loader.DefaultEntry().Dispatch.Reconnects, settings.Dispatch.Reconnects)
}

func TestLoadRefuses(t *testing.T) {
	for name, scenario := range map[string]struct {
		text  string
		wants []string
	}{
		"unknown section": {valid + "[Dispatcher]\n", []string{"[Dispatcher]", "no such section", "Dispatch"}},
		"unknown key":     {valid + "[Dispatch]\nSilense = 7s\n", []string{"[Dispatch] Silense", "no such key", "Silence"}},
		"key outside":     {"Name = x\n" + valid, []string{"[DEFAULT]", "no such section"}},
		"bad duration":    {valid + "[Dispatch]\nSilence = 7\n", []string{`[Dispatch] Silence = "7"`, "duration"}},
		"negative":        {valid + "[Dispatch]\nSilence = -7s\n", []string{`[Dispatch] Silence = "-7s"`, "not negative"}},
		"bad number":      {valid + "[Dispatch]\nAttempts = many\n", []string{`[Dispatch] Attempts = "many"`, "whole number"}},
		"not allowed":     {valid + "[Log]\nLevel = loud\n", []string{`[Log] Level = "loud"`, "debug, info, warn, error"}},
		"missing":         {"", []string{"[Instance] Name", "[Instance] DataCentre", "[KeyValue] Address", "give a value"}},
		"all at once":     {valid + "[Log]\nLevel = loud\n[Dispatch]\nSilence = x\n[X]\n", []string{"3 faults"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, scenario.text)
			require.Error(t, err)

			for _, want := range scenario.wants {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

// writeAll writes every key of the settings with the value it has.
func writeAll(settings any) string {
	text := ""
	value := reflect.ValueOf(settings)

	for section := range value.NumField() {
		text += "[" + value.Type().Field(section).Name + "]\n"

		for key := range value.Field(section).NumField() {
			shown := fmt.Sprint(value.Field(section).Field(key).Interface())
			if shown == "" {
				shown = "x"
			}

			text += value.Field(section).Type().Field(key).Name + " = " + shown + "\n"
		}
	}

	return text
}

func TestEveryKeyCanBeSet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")

	entry := loader.DefaultEntry()
	require.NoError(t, os.WriteFile(path, []byte(writeAll(entry)), 0o600))
	require.NoError(t, loader.Load(path, &entry))
	require.Equal(t, "x", entry.Instance.Name)

	sidecar := loader.DefaultSidecar()
	require.NoError(t, os.WriteFile(path, []byte(writeAll(sidecar)), 0o600))
	require.NoError(t, loader.Load(path, &sidecar))
	require.Equal(t, "x", sidecar.BackendServer.Service)
}
