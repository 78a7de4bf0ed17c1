// Package ctl implements waxwingctl, the operators' command-line client of the resource API.
package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

const (
	dialTimeout = 2 * time.Second
	// answerTimeout exceeds the API server's default write timeout, so that its answer to a write arrives in time.
	answerTimeout = 20 * time.Second
)

// Error codes of the API that the client handles.
const (
	codeConflict   = "conflict"
	codeNotFound   = "not_found"
	codeNotReady   = "not_ready"
	codeNotWritten = "not_written"
	codeTooMany    = "too_many_watches"
	codeUnknown    = "unknown"
)

// APIError is an error in an API server's answer.
type APIError struct {
	Code           string           `json:"code"`
	Message        string           `json:"message"`
	Field          string           `json:"field,omitempty"`
	CurrentVersion *platform.Offset `json:"currentVersion,omitempty"`
	OperationID    string           `json:"operationId,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string {
	text := e.Code + ": " + e.Message
	if e.CurrentVersion != nil {
		text += fmt.Sprintf(" (current version %d)", *e.CurrentVersion)
	}
	if e.Code == codeUnknown {
		text += " (operation " + e.OperationID + ")"
	}
	return text
}

// retryElsewhere reports whether the request may succeed at another API server.
func (e *APIError) retryElsewhere() bool {
	switch e.Code {
	case codeNotReady, codeNotWritten, codeTooMany, codeUnknown:
		return true
	}
	return false
}

// Client calls API servers, with failover to the next one. Every write carries an operation ID, so that a write whose
// answer was lost can be retried at the next server without taking effect twice.
type Client struct {
	servers []string
	http    *http.Client
	// current is the index of the server that is tried first.
	current int
	// mayHaveWritten is true once a request failed without an answer after it may have reached a server.
	mayHaveWritten bool
}

// NewClient returns a client for API servers, each given as ip:port or URL. The TLS configuration is for https URLs.
func NewClient(servers []string, tlsConfig *tls.Config) *Client {
	c := &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: answerTimeout,
		TLSClientConfig:       tlsConfig,
	}}}
	for _, server := range servers {
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		c.servers = append(c.servers, strings.TrimSuffix(server, "/"))
	}
	return c
}

// call sends a request with a JSON body (nil for none) and decodes the answer into target.
func (c *Client) call(ctx context.Context, method, path string, body, target any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return fmt.Errorf("%s %s: cannot decode the answer: %w", method, response.Request.URL, err)
	}
	return nil
}

// send tries each server at most once, starting with the current one.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	var last error
	for range c.servers {
		response, err := c.sendTo(ctx, c.servers[c.current], method, path, data)
		if err == nil {
			return response, nil
		}
		last = err
		if refusal, ok := err.(*APIError); ok && !refusal.retryElsewhere() || ctx.Err() != nil {
			return nil, err
		}
		c.next()
	}
	return nil, last
}

// next makes the next server the current one.
func (c *Client) next() { c.current = (c.current + 1) % len(c.servers) }

func (c *Client) sendTo(ctx context.Context, server, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		c.mayHaveWritten = c.mayHaveWritten || !neverSent(err)
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeError(response)
}

// neverSent reports whether a request failed before a connection was established.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// decodeError returns the error in an answer with an error status.
func decodeError(response *http.Response) error {
	const maximumErrorBytes = 1 << 20
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	if err != nil {
		return err
	}
	var body struct {
		Error *APIError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return fmt.Errorf("%s answered %s", response.Request.URL, response.Status)
	}
	return body.Error
}

// object is a resource in the API's encoding.
type object struct {
	Kind            resource.Kind   `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	Spec            json.RawMessage `json:"spec,omitempty"`
}

type objectList struct {
	Kind            resource.Kind   `json:"kind"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	Items           []object        `json:"items"`
}

// change is one conditional write.
type change struct {
	Kind            resource.Kind   `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	OperationID     string          `json:"operationId"`
	Delete          bool            `json:"delete,omitempty"`
	Spec            json.RawMessage `json:"spec,omitempty"`
}

// changeResult is the API's result of one change of a batch.
type changeResult struct {
	Kind            resource.Kind    `json:"kind"`
	Name            string           `json:"name"`
	OperationID     string           `json:"operationId"`
	Outcome         resource.Outcome `json:"outcome"`
	ResourceVersion platform.Offset  `json:"resourceVersion,omitempty"`
	Error           *APIError        `json:"error,omitempty"`
}

// status is the API's report of where a resource version is in force.
type status struct {
	ResourceVersion platform.Offset `json:"resourceVersion"`
	Applied         platform.Offset `json:"applied"`
	InForce         bool            `json:"inForce"`
	Reason          string          `json:"reason,omitempty"`
	Pending         []string        `json:"pending"`
	NodeTableAgeMs  int64           `json:"nodeTableAgeMs"`
	Nodes           []nodeStatus    `json:"nodes"`
}

type nodeStatus struct {
	Name    string          `json:"name"`
	Zone    string          `json:"zone"`
	State   string          `json:"state"`
	Applied platform.Offset `json:"applied"`
	InForce bool            `json:"inForce"`
}

func resourcePath(kind resource.Kind, name string) string {
	return "/apis/v1/" + string(kind) + "/" + name
}
