package app

import (
	"context"
	"net/http"

	"limpetrail/kernel"
	"limpetrail/meter"
)

// serveMetrics serves metrics at a separate address until the context ends. A failure
// is only logged, as the process can work without it.
func (listen Listen) serveMetrics(ctx context.Context, common kernel.Common, address string, metrics *meter.Meter) {
	if address == "" {
		return
	}

	listener, err := listen(ctx, address, nil)
	if err != nil {
		common.Log.WithField("Address", address).WithError(err).Warn("Cannot listen at the metrics address; metrics are not served there.")

		return
	}

	mux := http.NewServeMux()
	metrics.Register(mux)

	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })

	defer stop()

	if err := server.Serve(listener); ctx.Err() == nil {
		common.Log.WithError(err).Warn("Metrics server failed; metrics are no longer served at their separate address.")
	}
}
