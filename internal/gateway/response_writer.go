package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// responseWriter writes the answer to one caller. It implements relay.Sink.
type responseWriter struct {
	gateway    *Gateway
	w          http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
}

// Write implements relay.Sink: it writes and flushes one event. It fails when the caller accepts no data within the
// write timeout; such a caller counts as disconnected.
func (rw *responseWriter) Write(event []byte) error {
	if !rw.headerSent {
		rw.headerSent = true
		rw.w.Header().Set("Content-Type", upstream.EventStream)
		rw.w.Header().Set("Cache-Control", "no-store")
		rw.w.WriteHeader(http.StatusOK)
	}
	rw.extendWriteDeadline()
	if _, err := rw.w.Write(event); err != nil {
		return err
	}
	return rw.control.Flush()
}

// extendWriteDeadline gives the next write the full write timeout.
func (rw *responseWriter) extendWriteDeadline() {
	_ = rw.control.SetWriteDeadline(time.Now().Add(rw.gateway.settings.CallerWriteTimeout.Std()))
}

// writeComplete sends an answer that is not a stream, with its exact length.
func (rw *responseWriter) writeComplete(status int, header http.Header, body []byte) {
	rw.extendWriteDeadline()
	for name, values := range header {
		if name != headerRequestID {
			rw.w.Header()[name] = values
		}
	}
	writeResponse(rw.w, status, "", body)
}

// engineProblem returns the answer to a request that the engine answered with an error. It passes on the engine's
// message if the body has one.
func engineProblem(result relay.Result) *problem {
	p := &problem{status: result.Status, code: codeBackendError, execution: relay.Unknown, message: "the model engine answered with an error"}
	if result.Status < http.StatusBadRequest {
		p.status = http.StatusBadGateway
	}
	var engine struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(result.Body, &engine) != nil {
		return p
	}
	if engine.Error.Message != "" {
		p.message = engine.Error.Message
	} else if engine.Message != "" {
		p.message = engine.Message
	}
	return p
}
