package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/enforcer"
	"limpetrail/loader"
)

// requiredKeys sets the keys that are required and have no default.
const requiredKeys = `
[Instance]
Name = entry-1
DataCentre = dc1
[KeyValue]
Address = 127.0.0.1:1
[Instances]
Address = 127.0.0.1:2
`

func loadText(t *testing.T, text string) (loader.Entry, error) {
	t.Helper()

	path := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	settings := loader.DefaultEntry()

	return settings, loader.Load(path, &settings)
}

func TestLoadKeepsDefaultsOfAbsentKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	require.NoError(t, os.WriteFile(path, []byte(requiredKeys+"[Dispatch]\nSilence = 7s\nAttempts = 5\n"), 0o600))

	settings := loader.DefaultEntry()
	require.NoError(t, loader.Load(path, &settings))
	require.Equal(t, "entry-1", settings.Instance.Name)
	require.Equal(t, 7*time.Second, settings.Dispatch.Silence)
	require.Equal(t, 5, settings.Dispatch.Attempts)
	require.Equal(t, loader.DefaultEntry().Dispatch.Reconnects, settings.Dispatch.Reconnects)
}

func TestLoadReportsFaults(t *testing.T) {
	for name, scenario := range map[string]struct {
		text  string
		wants []string
	}{
		"unknown section":       {requiredKeys + "[Dispatcher]\n", []string{"[Dispatcher]", "no such section", "Dispatch"}},
		"unknown key":           {requiredKeys + "[Dispatch]\nSilense = 7s\n", []string{"[Dispatch] Silense", "no such key", "Silence"}},
		"key outside a section": {"Name = x\n" + requiredKeys, []string{"[DEFAULT]", "no such section"}},
		"invalid duration":      {requiredKeys + "[Dispatch]\nSilence = 7\n", []string{`[Dispatch] Silence = "7"`, "duration"}},
		"negative":              {requiredKeys + "[Dispatch]\nSilence = -7s\n", []string{`[Dispatch] Silence = "-7s"`, "not negative"}},
		"invalid number":        {requiredKeys + "[Dispatch]\nAttempts = many\n", []string{`[Dispatch] Attempts = "many"`, "whole number"}},
		"value not allowed":     {requiredKeys + "[Log]\nLevel = loud\n", []string{`[Log] Level = "loud"`, "debug, info, warn, error"}},
		"missing keys":          {"", []string{"[Instance] Name", "[Instance] DataCentre", "[KeyValue] Address", "give a value"}},
		"several faults":        {requiredKeys + "[Log]\nLevel = loud\n[Dispatch]\nSilence = x\n[X]\n", []string{"3 faults"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadText(t, scenario.text)
			require.Error(t, err)

			for _, want := range scenario.wants {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

// formatSettings returns an INI file that sets every key to its current value, or to
// "x" if that is empty.
func formatSettings(settings any) string {
	text := ""
	value := reflect.ValueOf(settings)

	for section := range value.NumField() {
		text += "[" + value.Type().Field(section).Name + "]\n"

		for key := range value.Field(section).NumField() {
			formatted := fmt.Sprint(value.Field(section).Field(key).Interface())
			if formatted == "" {
				formatted = "x"
			}

			text += value.Field(section).Type().Field(key).Name + " = " + formatted + "\n"
		}
	}

	return text
}

func TestEveryKeyCanBeSet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")

	entry := loader.DefaultEntry()
	require.NoError(t, os.WriteFile(path, []byte(formatSettings(entry)), 0o600))
	require.NoError(t, loader.Load(path, &entry))
	require.Equal(t, "x", entry.Instance.Name)

	sidecar := loader.DefaultSidecar()
	require.NoError(t, os.WriteFile(path, []byte(formatSettings(sidecar)), 0o600))
	require.NoError(t, loader.Load(path, &sidecar))
	require.Equal(t, "x", sidecar.BackendServer.Service)

	gateway := loader.DefaultGateway()
	gateway.Placement.Learn = true
	require.NoError(t, os.WriteFile(path, []byte(formatSettings(gateway)), 0o600))

	gateway = loader.DefaultGateway()
	require.False(t, gateway.Placement.Learn)
	require.NoError(t, loader.Load(path, &gateway))
	require.True(t, gateway.Placement.Learn)
	require.ErrorContains(t, loadGatewayText(t, "[Placement]\nLearn = yes\n"), "write true or false")
}

func loadGatewayText(t *testing.T, text string) error {
	t.Helper()

	path := filepath.Join(t.TempDir(), "gateway.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	gateway := loader.DefaultGateway()

	return loader.Load(path, &gateway)
}

// Caps must be off unless the platform names a window, which deploy/gateway.ini then renders so.
func TestCapsAreOffWithoutTheirSection(t *testing.T) {
	require.Zero(t, loader.DefaultGateway().Caps)

	path := filepath.Join(t.TempDir(), "gateway.ini")
	instance, _, _ := strings.Cut(requiredKeys, "[KeyValue]")
	text := instance + "[Listen]\nCallers = a:1\nReady = a:2\nPeers = a:3\nOperations = a:4\n[Catalog]\nAddress = a:5\n"
	caps := "[Caps]\nWindow = 5s\nOverrun = 0.1\nSlack = 20\n"
	require.NoError(t, os.WriteFile(path, []byte(text+caps), 0o600))

	settings := loader.DefaultGateway()
	require.NoError(t, loader.Load(path, &settings))
	require.Equal(t, enforcer.Settings{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}, settings.Caps)
}
