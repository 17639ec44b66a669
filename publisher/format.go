package publisher

import (
	"strconv"

	"limpetrail/keeper"
)

func formatRevision(revision keeper.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
