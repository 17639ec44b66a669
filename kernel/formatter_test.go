package kernel_test

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

func TestFormatterWritesOneLinePerEntry(t *testing.T) {
	scenarios := map[string]struct {
		fields logrus.Fields
		line   string
	}{
		"no field":           {logrus.Fields{}, "Ended.\n"},
		"part is the prefix": {logrus.Fields{"Part": "router", "A": "x"}, "router: Ended. A=\"x\"\n"},
		"sorted by name":     {logrus.Fields{"B": 2, "C": int64(-3), "A": true}, "Ended. A=\"true\" B=\"2\" C=\"-3\"\n"},
		"quoted characters":  {logrus.Fields{"A": "a \"b\"\nc\x00"}, "Ended. A=\"a \\\"b\\\"\\nc\\x00\"\n"},
		"durations":          {logrus.Fields{"A": 1500 * time.Microsecond, "B": 3 * time.Microsecond}, "Ended. A=\"1.5ms\" B=\"3µs\"\n"},
		"errors":             {logrus.Fields{"error": errors.New("gone")}, "Ended. error=\"gone\"\n"},
		"nil values":         {logrus.Fields{"A": nil, "B": error(nil)}, "Ended. A=\"<nil>\" B=\"<nil>\"\n"},
		"unsigned and float": {logrus.Fields{"A": uint64(7), "B": 0.25}, "Ended. A=\"7\" B=\"0.25\"\n"},
		"stringer and slice": {logrus.Fields{"A": logrus.WarnLevel, "B": []int{1, 2}}, "Ended. A=\"warning\" B=\"[1 2]\"\n"},
	}

	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			line, err := kernel.Formatter{}.Format(&logrus.Entry{
				Time: time.Unix(1, 5), Level: logrus.WarnLevel, Message: "Ended.", Data: scenario.fields,
			})

			require.NoError(t, err)
			require.Equal(t, "1970-01-01T00:00:01.000000005Z warni "+scenario.line, string(line))
		})
	}
}
