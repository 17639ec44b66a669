package app

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

// slowCatalog takes 100 ms to answer with what it held at the beginning of a call.
type slowCatalog struct {
	keeper.Catalog

	calls atomic.Int64
}

func (catalog *slowCatalog) Range(ctx context.Context, prefix, after string, keysOnly bool) (keeper.Page, error) {
	catalog.calls.Add(1)

	page, err := catalog.Catalog.Range(ctx, prefix, after, keysOnly)
	time.Sleep(100 * time.Millisecond)

	return page, err
}

// A reading that had begun before a call was taken for one that began after it, so that versions
// listed between were missed; and each of many calls read the whole list.
func TestReadingsBegunBeforeACallAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewCatalog()
		catalog := &slowCatalog{Catalog: store.NewClient()}
		reader := newSoftwareReader(kernel.NewDiscardCommon("entry-1"), keeper.NewCatalogClient(kernel.NewDiscardCommon("entry-1"), catalog, keeper.DefaultSettings()))

		put := func(id, software string) {
			key, value := emulator.PlatformServerEntry(id, "host:1", emulator.PlatformReady, software, 1)
			store.Put(key, value)
		}
		put("i-1", "v1")

		go func() { _, _ = reader.Software(context.Background(), "model") }()

		time.Sleep(50 * time.Millisecond)
		put("i-2", "v2")

		answers := make(chan []string, 20)

		for range 20 {
			go func() {
				versions, _ := reader.Software(context.Background(), "model")
				answers <- versions
			}()
		}

		for range 20 {
			require.ElementsMatch(t, []string{"v1", "v2"}, <-answers)
		}

		require.Equal(t, int64(2), catalog.calls.Load())
	})
}
