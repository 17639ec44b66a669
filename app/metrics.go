package app

import (
	"context"
	"net/http"

	"limpetrail/kernel"
	"limpetrail/meter"
)

// showMetrics serves metrics at an address of their own until the context
// ends. Without them the process does its work all the same.
func (listen Listen) showMetrics(ctx context.Context, common kernel.Common, address string, metrics *meter.Meter) {
	if address == "" {
		return
	}

	listener, err := listen(ctx, address, nil)
	if err != nil {
		common.Log.WithField("Address", address).WithError(err).Warn("Metrics are not served at their own address.")

		return
	}

	mux := http.NewServeMux()
	metrics.Register(mux)

	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })

	defer stop()

	if err := server.Serve(listener); ctx.Err() == nil {
		common.Log.WithError(err).Warn("Metrics are no longer served at their own address.")
	}
}
