package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// answer writes to one caller. It implements relay.Sink.
type answer struct {
	gateway *Gateway
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

// Write implements relay.Sink: it sends one event at once. A caller that takes nothing for the bounded time counts
// as gone.
func (a *answer) Write(event []byte) error {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	a.limit()
	if _, err := a.w.Write(event); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *answer) limit() {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.gateway.settings.CallerWriteTimeout.Std()))
}

// whole sends a whole answer with its exact length.
func (a *answer) whole(status int, header http.Header, body []byte) {
	a.limit()
	for name, values := range header {
		if name != headerRequestID {
			a.w.Header()[name] = values
		}
	}
	writeWhole(a.w, status, "", body)
}

// engineError returns the answer to a request that the engine answered with an error.
func engineError(result relay.Result) *problem {
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
