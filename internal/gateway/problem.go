package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// Codes of errors in answers to callers. docs/API.md documents whether to retry after each of them.
const (
	codeInvalidRequest     failure.Code = "invalid_request"
	codeInvalidHeader      failure.Code = "invalid_header"
	codeInvalidPath        failure.Code = "invalid_path"
	codeBodyTooLarge       failure.Code = "body_too_large"
	codeBodyTimeout        failure.Code = "body_timeout"
	codeUnsupportedMedia   failure.Code = "unsupported_media_type"
	codeKeyRequired        failure.Code = "idempotency_key_required"
	codeKeyInvalid         failure.Code = "idempotency_key_invalid"
	codeKeyExpired         failure.Code = "idempotency_key_expired"
	codeAdapterNotFound    failure.Code = "adapter_not_found"
	codeVersionNotFound    failure.Code = "version_not_found"
	codeServiceNotFound    failure.Code = "service_not_found"
	codeNotFound           failure.Code = "not_found"
	codeMethodNotAllowed   failure.Code = "method_not_allowed"
	codeUnknownPriority    failure.Code = "unknown_priority"
	codeNotReady           failure.Code = "not_ready"
	codeOverloaded         failure.Code = "overloaded"
	codeQueueFull          failure.Code = "queue_full"
	codeWaitTooLong        failure.Code = "wait_too_long"
	codeWaitEnded          failure.Code = "wait_ended"
	codeStopping           failure.Code = "stopping"
	codeClaimUnavailable   failure.Code = "claim_unavailable"
	codeInProgress         failure.Code = "in_progress"
	codeOutcomeUnknown     failure.Code = "outcome_unknown"
	codeResultDropped      failure.Code = "result_no_longer_held"
	codeBackendError       failure.Code = "backend_error"
	codeBackendUnreachable failure.Code = "backend_unreachable"
	codeAnswerBroken       failure.Code = "answer_broken"
	codeAnswerTooLarge     failure.Code = "answer_too_large"
	codeWrongModel         failure.Code = "wrong_model"
	codeInternal           failure.Code = "internal"
	defaultRetryAfter                   = time.Second
	contentTypeJSON                     = "application/json"
	millisecondsPerSecond               = 1000
)

// problem is an error answer to a caller.
type problem struct {
	status     int
	code       failure.Code
	message    string
	execution  relay.Execution
	retryAfter time.Duration
}

// refusal returns the problem for a request that was rejected before it reached a backend server.
func refusal(status int, code failure.Code, format string, args ...any) *problem {
	return &problem{status: status, code: code, message: fmt.Sprintf(format, args...), execution: relay.NotRun}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         failure.Code    `json:"code"`
	Message      string          `json:"message"`
	Execution    relay.Execution `json:"execution"`
	RetryAfterMs int64           `json:"retryAfterMs"`
	RequestID    string          `json:"requestId"`
}

func (p *problem) body(requestID string) []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code: p.code, Message: p.message, Execution: p.execution,
		RetryAfterMs: p.retryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		// Unreachable: the struct has only strings and numbers, which can always be encoded.
		panic(err)
	}
	return body
}

// write sends the problem as the complete answer.
func (p *problem) write(w http.ResponseWriter, requestID string) {
	if p.retryAfter > 0 {
		seconds := (p.retryAfter.Milliseconds() + millisecondsPerSecond - 1) / millisecondsPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeResponse(w, p.status, contentTypeJSON, p.body(requestID))
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// rejectionProblem returns the answer to a request that admission control rejected.
func rejectionProblem(g admission.Refusal) *problem {
	p := &problem{
		status: http.StatusServiceUnavailable, execution: relay.NotRun, retryAfter: g.RetryAfter,
	}
	class := g.Entry.Class.Name
	switch g.Cause {
	case admission.QueueFull:
		p.status, p.code = http.StatusTooManyRequests, codeQueueFull
		p.message = fmt.Sprintf("the queue of class %q is full", class)
	case admission.WaitTooLong:
		p.status, p.code = http.StatusTooManyRequests, codeWaitTooLong
		p.message = fmt.Sprintf("the estimated wait in class %q exceeds the deadline or the class's maximum", class)
	case admission.Stopping:
		p.code, p.message = codeStopping, "the gateway is shutting down"
	default:
		p.code = codeWaitEnded
		p.message = fmt.Sprintf("no backend server took the request before the deadline or the maximum wait of class %q", class)
	}
	return p
}

// attemptProblem returns the answer to a request whose last attempt failed.
func attemptProblem(result relay.Result, retryAfter time.Duration) *problem {
	p := &problem{
		status: http.StatusBadGateway, code: codeAnswerBroken, execution: result.Execution, retryAfter: retryAfter,
		message: "the backend server's answer broke off; the request may have run",
	}
	switch failure.CodeOf(result.Err) {
	case relay.WrongModel:
		p.code, p.message = codeWrongModel, "the backend server answered for another adapter; the answer was dropped"
	case relay.TooLarge:
		p.code, p.message = codeAnswerTooLarge, "the backend server's answer exceeds the gateway's bound"
	}
	if result.Execution == relay.NotRun {
		p.status, p.code = http.StatusServiceUnavailable, codeBackendUnreachable
		p.message = "no backend server took the request"
	}
	return p
}
