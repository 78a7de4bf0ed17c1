package vllm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// Headers of orders and requests.
const (
	// HeaderFencingNumber carries engine.FencingNumber in decimal on orders.
	HeaderFencingNumber = "X-Fencing-Number"
	// HeaderRequestID identifies a request, so that its stream can be resumed and cancelled.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the rank of a request; 0 is the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderLastEventID carries the number of the last token received when a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
)

// Paths of an engine. Those of one request are built by StreamPath and CancelPath.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathModels          = "/v1/models"
	PathLoad            = "/v1/load_lora_adapter"
	PathUnload          = "/v1/unload_lora_adapter"
	PathReport          = "/v1/report"
	PathRole            = "/v1/role"
	pathRequests        = "/v1/requests/"
)

// StreamPath returns the path on which the stream of a request is resumed.
func StreamPath(requestID string) string { return pathRequests + url.PathEscape(requestID) + "/stream" }

// CancelPath returns the path on which a request is cancelled.
func CancelPath(requestID string) string { return pathRequests + url.PathEscape(requestID) + "/cancel" }

// Done is the data of the event that ends a complete stream.
const Done = "[DONE]"

// EventError is the SSE event type that ends an incomplete stream. Its data is an ErrorBody.
const EventError = "error"

// Error codes in ErrorDetail.
const (
	CodeFenced           = "fenced"
	CodeNoSlot           = "no_slot"
	CodeNotLoaded        = "not_loaded"
	CodeLoadFailed       = "load_failed"
	CodeUnknownRequest   = "unknown_request"
	CodeDuplicateRequest = "duplicate_request"
	CodeInvalid          = "invalid_request"
	CodeEvicted          = "evicted"
	CodeCancelled        = "cancelled"
)

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// LoadRequest is the body of a load order.
type LoadRequest struct {
	Name engine.LoadName `json:"lora_name"`
	Path string          `json:"lora_path"`
}

// UnloadRequest is the body of an unload order.
type UnloadRequest struct {
	Name engine.LoadName `json:"lora_name"`
}

// RoleRequest is the body of a role order.
type RoleRequest struct {
	Role string `json:"role"`
}

// ReportBody is the answer to GET /v1/report. Times are microseconds on the engine's clock since its start.
type ReportBody struct {
	Incarnation string        `json:"incarnation"`
	AsOfUs      int64         `json:"asOfUs"`
	NowUs       int64         `json:"nowUs"`
	Draining    bool          `json:"draining"`
	Role        string        `json:"role"`
	Slots       int           `json:"slots"`
	Adapters    []AdapterBody `json:"adapters"`
}

// AdapterBody describes one occupied slot in a ReportBody.
type AdapterBody struct {
	Name    engine.LoadName `json:"name"`
	Loading bool            `json:"loading"`
	Running int             `json:"running"`
	Waiting int             `json:"waiting"`
}

// ModelsBody is the answer to GET /v1/models.
type ModelsBody struct {
	Object string      `json:"object"`
	Data   []ModelBody `json:"data"`
}

// ModelBody is one model of a ModelsBody. Parent is empty for a base model.
type ModelBody struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"`
	Root   string `json:"root,omitempty"`
}

// Error is an error answer of an engine. It unwraps to the error of package engine that matches its code, if any.
type Error struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("engine answered status %d, code %q: %s", e.Status, e.Code, e.Message)
}

// Unwrap returns the error of package engine that matches the code, or nil.
func (e *Error) Unwrap() error {
	switch e.Code {
	case CodeFenced:
		return engine.ErrFenced
	case CodeNoSlot:
		return engine.ErrNoSlot
	case CodeNotLoaded:
		return engine.ErrNotLoaded
	case CodeLoadFailed:
		return engine.ErrLoadFailed
	}
	return nil
}

// ParseError decodes an answer with an error status. A body in another form gives an Error without a code, from which
// it can't be determined whether the request ran.
func ParseError(status int, body []byte) *Error {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error.Code == "" {
		text := strings.TrimSpace(string(body[:min(len(body), maximumErrorBytes)]))
		return &Error{Status: status, Message: text}
	}
	return &Error{Status: status, Code: decoded.Error.Code, Message: decoded.Error.Message}
}

// parseReport decodes a report. It rejects one with impossible times or counts, because evictions depend on them.
func parseReport(body []byte) (engine.Report, error) {
	var decoded ReportBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return engine.Report{}, err
	}
	if decoded.Incarnation == "" {
		return engine.Report{}, fmt.Errorf("report has no incarnation")
	}
	if decoded.AsOfUs < 0 || decoded.AsOfUs > decoded.NowUs || decoded.NowUs > maximumClockUs {
		return engine.Report{}, fmt.Errorf("report has asOfUs %d and nowUs %d", decoded.AsOfUs, decoded.NowUs)
	}
	report := engine.Report{
		Incarnation: decoded.Incarnation,
		AsOf:        time.Duration(decoded.AsOfUs) * time.Microsecond,
		Now:         time.Duration(decoded.NowUs) * time.Microsecond,
		Draining:    decoded.Draining,
		Slots:       decoded.Slots,
	}
	seen := make(map[engine.LoadName]bool, len(decoded.Adapters))
	for _, adapter := range decoded.Adapters {
		if adapter.Name == "" || seen[adapter.Name] || adapter.Running < 0 || adapter.Waiting < 0 {
			return engine.Report{}, fmt.Errorf("report has a duplicate or invalid entry for adapter %q", adapter.Name)
		}
		seen[adapter.Name] = true
		report.Adapters = append(report.Adapters, engine.LoadedAdapter(adapter))
	}
	return report, nil
}

// orderError decodes the error answer to an order. For engines that send no codes, it derives the code from the status.
func orderError(status int, body []byte) *Error {
	parsed := ParseError(status, body)
	if parsed.Code != "" {
		return parsed
	}
	switch status {
	case http.StatusConflict:
		parsed.Code = CodeFenced
	case http.StatusNotFound:
		parsed.Code = CodeNotLoaded
	case http.StatusInsufficientStorage:
		parsed.Code = CodeNoSlot
	}
	return parsed
}
