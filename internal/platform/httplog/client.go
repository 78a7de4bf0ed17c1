// Package httplog implements the HTTP/JSON protocol of the platform's log service and VM list.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	stepAppend = "append to log"
	stepRead   = "read log"
	stepVMs    = "read VM list"
)

const (
	// maximumRecords bounds the records of one read, so that a follower that starts late reads them in batches.
	maximumRecords = 512
	// maximumAnswerBytes bounds the memory for one answer. The log service ends an answer after about 4 MiB of data,
	// which base64 makes a third larger.
	maximumAnswerBytes = 16 << 20
	// maximumErrorBytes bounds how much of an error response's text is included in an error.
	maximumErrorBytes  = 512
	maximumIdlePerHost = 8
	idleTimeout        = 30 * time.Second
)

// Client implements platform.Log and platform.VMList.
type Client struct {
	logURL    string
	vmListURL string
	timeout   time.Duration
	transport *upstream.Transport
}

// New returns a client for the log service at logURL and the VM list at vmListURL. The timeout bounds each call,
// excluding the time for which a read waits for records.
func New(logURL, vmListURL string, timeout time.Duration) *Client {
	return &Client{
		logURL:    strings.TrimSuffix(logURL, "/"),
		vmListURL: strings.TrimSuffix(vmListURL, "/"),
		timeout:   timeout,
		transport: upstream.CheckHeads(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
			MaxIdleConnsPerHost: maximumIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		}),
	}
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, failure.Wrap(err, failure.Invalid, stepAppend, c.logURL)
	}
	status, answer, err := c.call(ctx, c.timeout, http.MethodPost, c.logURL+AppendPath(stream), body)
	if err != nil {
		return 0, failure.Wrap(err, codeOf(err), stepAppend, c.logURL)
	}
	if status != http.StatusOK {
		return 0, statusError(status, answer, stepAppend, c.logURL)
	}
	var appended AppendResponse
	if err := json.Unmarshal(answer, &appended); err != nil {
		return 0, failure.Wrap(err, failure.Invalid, stepAppend, c.logURL)
	}
	if appended.Offset == 0 {
		return 0, failure.New(failure.Invalid, stepAppend, c.logURL, "answer has no offset")
	}
	return appended.Offset, nil
}

// Read implements platform.Log.
func (c *Client) Read(
	ctx context.Context, stream platform.Stream, from platform.Offset, wait time.Duration,
) (platform.Batch, error) {
	url := c.logURL + ReadPath(stream) + "?" + readQuery(from, wait)
	status, answer, err := c.call(ctx, c.timeout+wait, http.MethodGet, url, nil)
	if err != nil {
		return platform.Batch{}, failure.Wrap(err, codeOf(err), stepRead, c.logURL)
	}
	switch status {
	case http.StatusOK:
		batch, err := parseRead(answer, from)
		return batch, failure.Wrap(err, failure.Invalid, stepRead, c.logURL)
	case http.StatusGone:
		err := parseTrimmed(answer, stream, from)
		return platform.Batch{}, failure.Wrap(err, failure.NotFound, stepRead, c.logURL)
	default:
		return platform.Batch{}, statusError(status, answer, stepRead, c.logURL)
	}
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	status, answer, err := c.call(ctx, c.timeout, http.MethodGet, c.vmListURL+VMsPath, nil)
	if err != nil {
		return nil, failure.Wrap(err, codeOf(err), stepVMs, c.vmListURL)
	}
	if status != http.StatusOK {
		return nil, statusError(status, answer, stepVMs, c.vmListURL)
	}
	var list VMsResponse
	if err := json.Unmarshal(answer, &list); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, stepVMs, c.vmListURL)
	}
	return list.VMs, nil
}

// call sends one request and returns the status and the body of the response.
func (c *Client) call(
	ctx context.Context, timeout time.Duration, method, url string, body []byte,
) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.closeIdleOnTimeout(err)
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := readBounded(response.Body)
	if err != nil {
		c.closeIdleOnTimeout(err)
	}
	return response.StatusCode, answer, err
}

// closeIdleOnTimeout closes the idle connections if err is a timeout. Open connections can stop responding all at once
// while new ones work, and each one that stays in the pool would make a later call time out.
func (c *Client) closeIdleOnTimeout(err error) {
	if codeOf(err) == failure.Timeout {
		c.transport.CloseIdleConnections()
	}
}

func readBounded(body io.Reader) ([]byte, error) {
	answer, err := io.ReadAll(io.LimitReader(body, maximumAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(answer) > maximumAnswerBytes {
		return nil, fmt.Errorf("answer is longer than %d bytes", maximumAnswerBytes)
	}
	return answer, nil
}

func codeOf(err error) failure.Code {
	var network net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &network) && network.Timeout()) {
		return failure.Timeout
	}
	return failure.Unavailable
}

func statusError(status int, answer []byte, step, peer string) error {
	text := strings.TrimSpace(string(answer[:min(len(answer), maximumErrorBytes)]))
	return failure.New(statusCode(status), step, peer, fmt.Sprintf("status %d: %s", status, text))
}

func statusCode(status int) failure.Code {
	switch {
	case status == http.StatusTooManyRequests:
		return failure.Refused
	case status == http.StatusNotFound:
		return failure.NotFound
	case status >= http.StatusInternalServerError:
		return failure.Unavailable
	default:
		return failure.Invalid
	}
}
