package apiserver

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Error codes of the API.
const (
	codeInvalid    = "invalid"
	codeNotFound   = "not_found"
	codeConflict   = "conflict"
	codeTooOld     = "too_old"
	codeTooLarge   = "too_large"
	codeTooMany    = "too_many_watches"
	codeNotReady   = "not_ready"
	codeOverloaded = "overloaded"
	codeTooSlow    = "body_timeout"
	codeNotWritten = "not_written"
	codeUnknown    = "unknown"
	codeInternal   = "internal"
)

const notWrittenMessage = "" +
	"this request wrote nothing, because the log service can't be reached; repeat it with the same operationId"

var statusOf = map[string]int{
	codeInvalid:    http.StatusBadRequest,
	codeNotFound:   http.StatusNotFound,
	codeConflict:   http.StatusConflict,
	codeTooOld:     http.StatusGone,
	codeTooLarge:   http.StatusRequestEntityTooLarge,
	codeTooMany:    http.StatusServiceUnavailable,
	codeNotReady:   http.StatusServiceUnavailable,
	codeOverloaded: http.StatusServiceUnavailable,
	codeTooSlow:    http.StatusRequestTimeout,
	codeNotWritten: http.StatusServiceUnavailable,
	codeUnknown:    http.StatusGatewayTimeout,
	codeInternal:   http.StatusInternalServerError,
}

// apiError is the JSON representation of an error.
type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	// CurrentVersion is set in conflicts; 0 means that the resource does not exist.
	CurrentVersion *platform.Offset `json:"currentVersion,omitempty"`
	OperationID    string           `json:"operationId,omitempty"`
}

// errorBody is the body of a response with an error.
type errorBody struct {
	Error *apiError `json:"error"`
}

func writeError(w http.ResponseWriter, failure *apiError) {
	if failure.Code == codeOverloaded {
		w.Header().Set("Retry-After", strconv.Itoa(int(intake.RetryAfter.Seconds())))
	}
	writeJSON(w, statusOf[failure.Code], errorBody{Error: failure})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func invalidField(field, message string) *apiError {
	return &apiError{Code: codeInvalid, Field: field, Message: message}
}

// bodyError classifies a failure to read or decode a request's body.
func bodyError(err error) *apiError {
	var tooMany *tooManyValuesError
	switch {
	case errors.Is(err, intake.ErrTooLarge) || errors.As(err, &tooMany):
		return &apiError{Code: codeTooLarge, Message: err.Error()}
	case errors.Is(err, intake.ErrNoRoom):
		return &apiError{Code: codeOverloaded, Message: err.Error() + "; this request wrote nothing"}
	case errors.Is(err, intake.ErrTooSlow):
		return &apiError{Code: codeTooSlow, Message: err.Error() + "; this request wrote nothing"}
	}
	var fieldErr *resource.FieldError
	if errors.As(err, &fieldErr) {
		return invalidField(fieldErr.Field, fieldErr.Error())
	}
	return &apiError{Code: codeInvalid, Message: err.Error()}
}

// resultError returns the error for an operation that was not accepted, or nil if it was accepted.
func resultError(result resource.Result) *apiError {
	failure := &apiError{Message: result.Message, Field: result.Field, OperationID: result.OperationID}
	switch result.Outcome {
	case resource.Accepted:
		return nil
	case resource.Conflict:
		failure.Code = codeConflict
		failure.Message = "the resource does not have the expected version"
		failure.CurrentVersion = &result.Version
	case resource.Invalid:
		failure.Code = codeInvalid
	case configlog.NotWritten:
		failure.Code = codeNotWritten
		failure.Message = notWrittenMessage
	case configlog.Unknown:
		failure.Code = codeUnknown
		failure.Message = "the change was not read back in time and may take effect; repeat it with the same operationId"
	default:
		failure.Code = codeInternal
		failure.Message = "outcome " + string(result.Outcome)
	}
	return failure
}
