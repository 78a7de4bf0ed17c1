// Package vllm speaks the HTTP interface that vLLM publishes for LoRA adapters, with the platform's extensions.
package vllm

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// Control implements engine.Control for one engine.
type Control struct{}

// NewControl returns the control of the engine at address (ip:port). The timeout bounds each call but Load,
// which is bounded by its context only.
func NewControl(address string, timeout time.Duration) *Control { return &Control{} }

// Load implements engine.Control.
func (c *Control) Load(ctx context.Context, order engine.Order, name engine.LoadName, path string) error {
	return nil
}

// Unload implements engine.Control.
func (c *Control) Unload(ctx context.Context, order engine.Order, name engine.LoadName) error {
	return nil
}

// RaiseFence implements engine.Control.
func (c *Control) RaiseFence(ctx context.Context, order engine.Order) error { return nil }

// Report implements engine.Control.
func (c *Control) Report(ctx context.Context) (engine.Report, error) { return engine.Report{}, nil }
