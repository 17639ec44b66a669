package checker_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The documentation names tests as evidence. This fails if such a test was
// renamed or removed.
func TestTestsNamedInDocsExist(t *testing.T) {
	pages := []byte{}

	for _, name := range []string{"PROMISES.md", "PLATFORM.md", "INCIDENTS.md"} {
		text, err := os.ReadFile("../docs/" + name)
		require.NoError(t, err)

		pages = append(pages, text...)
	}

	source := strings.Builder{}

	require.NoError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}

		text, err := os.ReadFile(path)
		source.Write(text)

		return err
	}))

	names := regexp.MustCompile("`(Test[A-Z][A-Za-z]*)`").FindAllStringSubmatch(string(pages), -1)
	require.NotEmpty(t, names)

	for _, name := range names {
		require.Contains(t, source.String(), "func "+name[1]+"(t *testing.T)")
	}
}
