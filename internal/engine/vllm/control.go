// Package vllm implements engine.Control over the HTTP interface that vLLM publishes for LoRA adapters, with the
// platform's extensions.
package vllm

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	stepLoad   = "load adapter"
	stepUnload = "unload adapter"
	stepFence  = "raise fencing number"
	stepReport = "read engine report"
)

const (
	// maximumAnswerBytes bounds the size of an answer that is read into memory.
	maximumAnswerBytes = 4 << 20
	// heldBytes bounds the answers of all engines that are read at the same time, beside exemptBytes of each.
	heldBytes   = 16 << 20
	exemptBytes = 64 << 10
	// maximumErrorBytes bounds how much of an error body without a code goes into the error's message.
	maximumErrorBytes = 512
	// maximumClockUs is the largest reading of the engine's clock that time.Duration can hold.
	maximumClockUs = int64(1<<63-1) / int64(time.Microsecond)
	idleTimeout    = 30 * time.Second
)

// held bounds the memory that the answers of all engines take in this process.
var held = bytelimit.NewBudget("engines", heldBytes, exemptBytes)

// Control implements engine.Control for one engine.
type Control struct {
	address string
	timeout time.Duration
	// orders opens a new connection for each order, so that net/http can't replay an order and a stale idle
	// connection can't delay one.
	orders  *upstream.Transport
	reports *upstream.Transport
}

// NewControl returns a Control for the engine at address (ip:port). The timeout bounds each call except Load,
// which is bounded by its context only.
func NewControl(address string, timeout time.Duration) *Control {
	dialer := &net.Dialer{Timeout: timeout}
	return &Control{
		address: address,
		timeout: timeout,
		orders: upstream.CheckHeads(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: upstream.MaximumHeaderBytes,
		}),
		reports: upstream.CheckHeads(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: upstream.MaximumHeaderBytes,
		}),
	}
}

// Load implements engine.Control.
func (c *Control) Load(ctx context.Context, order engine.Order, name engine.LoadName, path string) error {
	return c.order(ctx, stepLoad, order, PathLoad, LoadRequest{Name: name, Path: path})
}

// Unload implements engine.Control.
func (c *Control) Unload(ctx context.Context, order engine.Order, name engine.LoadName) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.order(ctx, stepUnload, order, PathUnload, UnloadRequest{Name: name})
}

// RaiseFence implements engine.Control. It sets the role to the one that the engine reports, which changes nothing but
// the fencing number.
func (c *Control) RaiseFence(ctx context.Context, order engine.Order) error {
	body, err := c.readReport(ctx)
	if err != nil {
		return failure.Wrap(err, codeOf(err), stepFence, c.address)
	}
	var current RoleRequest
	if err := json.Unmarshal(body, &current); err != nil {
		return failure.Wrap(err, failure.Invalid, stepFence, c.address)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.order(ctx, stepFence, order, PathRole, current)
}

// Report implements engine.Control.
func (c *Control) Report(ctx context.Context) (engine.Report, error) {
	body, err := c.readReport(ctx)
	if err != nil {
		return engine.Report{}, failure.Wrap(err, codeOf(err), stepReport, c.address)
	}
	report, err := parseReport(body)
	return report, failure.Wrap(err, failure.Invalid, stepReport, c.address)
}

func (c *Control) readReport(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathReport, nil)
	if err != nil {
		return nil, err
	}
	status, body, err := exchange(c.reports, request)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, ParseError(status, body)
	}
	return body, nil
}

func (c *Control) order(ctx context.Context, step string, order engine.Order, path string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, step, c.address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return failure.Wrap(err, failure.Invalid, step, c.address)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFencingNumber, strconv.FormatUint(uint64(order.Fence), 10))
	status, body, err := exchange(c.orders, request)
	if err == nil && status != http.StatusOK {
		err = orderError(status, body)
	}
	return failure.Wrap(err, codeOf(err), step, c.address)
}

func exchange(transport http.RoundTripper, request *http.Request) (int, []byte, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	holding := held.Hold()
	defer holding.Release()
	body, err := upstream.ReadHeld(response.Body, response.ContentLength, maximumAnswerBytes+1, holding)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}

func codeOf(err error) failure.Code {
	var network net.Error
	switch {
	case errors.Is(err, engine.ErrFenced):
		return failure.Conflict
	case errors.Is(err, engine.ErrNotLoaded):
		return failure.NotFound
	case errors.Is(err, engine.ErrNoSlot), errors.Is(err, engine.ErrLoadFailed):
		return failure.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return failure.Timeout
	default:
		return failure.Unavailable
	}
}
