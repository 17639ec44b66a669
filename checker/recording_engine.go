package checker

import (
	"context"

	"limpetrail/driver"
)

// RecordingEngine forwards calls to a model engine and records them.
type RecordingEngine struct {
	driver.Engine
	History *History
	// Server is the name of the backend server.
	Server string
	// RequestIDOf returns the request's ID, given that of a stream; see
	// Event.Request.
	RequestIDOf func(id string) string
}

var _ driver.Engine = (*RecordingEngine)(nil)

// NewRecordingEngine returns an engine that records the calls to the given one.
func NewRecordingEngine(history *History, server string, engine driver.Engine, requestIDOf func(id string) string) *RecordingEngine {
	return &RecordingEngine{Engine: engine, History: history, Server: server, RequestIDOf: requestIDOf}
}

// Generate implements driver.Engine.
func (engine *RecordingEngine) Generate(ctx context.Context, generation driver.Generation) (driver.Stream, error) {
	engine.History.Add(Event{Kind: KindStarted, Request: engine.RequestIDOf(generation.ID), BackendServer: engine.Server})

	return engine.Engine.Generate(ctx, generation)
}

// Order implements driver.Engine.
func (engine *RecordingEngine) Order(ctx context.Context, order driver.Order) error {
	err := engine.Engine.Order(ctx, order)
	if err == nil {
		engine.History.Add(Event{Kind: KindOrdered, BackendServer: engine.Server, Fence: order.Fence})
	}

	return err
}
