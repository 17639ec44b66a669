package checker

import (
	"context"

	"limpetrail/driver"
)

// Engine passes calls on to a model engine and records what reached it.
type Engine struct {
	driver.Engine
	History *History
	// Name is the backend server's.
	Name string
	// Request turns a stream's ID into that of the request; see Event.Request.
	Request func(id string) string
}

var _ driver.Engine = (*Engine)(nil)

// NewEngine returns an engine that records what reaches the given one.
func NewEngine(history *History, name string, engine driver.Engine, request func(id string) string) *Engine {
	return &Engine{Engine: engine, History: history, Name: name, Request: request}
}

// Generate implements driver.Engine.
func (engine *Engine) Generate(ctx context.Context, generation driver.Generation) (driver.Stream, error) {
	engine.History.Add(Event{Kind: KindStarted, Request: engine.Request(generation.ID), BackendServer: engine.Name})

	return engine.Engine.Generate(ctx, generation)
}

// Order implements driver.Engine.
func (engine *Engine) Order(ctx context.Context, order driver.Order) error {
	err := engine.Engine.Order(ctx, order)
	if err == nil {
		engine.History.Add(Event{Kind: KindOrdered, BackendServer: engine.Name, Fence: order.Fence})
	}

	return err
}
