package gateway

import (
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

const maximumModelLength = 512

// modelCall holds the fields that the gateway reads from the body of a completion request.
type modelCall struct {
	model   string
	field   relay.Field
	adapter string
	// version is empty if the caller names none.
	version string
	stream  bool
}

// parseModelCall parses and checks the body of a completion request. The field required, "prompt" or "messages", must
// be present.
func parseModelCall(body []byte, required string) (modelCall, *problem) {
	fields, err := relay.Fields(body)
	if err != nil {
		return modelCall{}, refusal(http.StatusBadRequest, codeInvalidRequest, "the body is %v", err)
	}
	if repeated := repeatedField(fields); repeated != "" {
		return modelCall{}, refusal(http.StatusBadRequest, codeInvalidRequest, "the body has the field %q more than once", repeated)
	}
	if _, found := relay.Find(fields, required); !found {
		return modelCall{}, refusal(http.StatusBadRequest, codeInvalidRequest, "the body has no field %q", required)
	}
	parsed := modelCall{}
	parsed.field, _ = relay.Find(fields, "model")
	name, isString := "", false
	if parsed.field.End > 0 {
		name, isString = parsed.field.Text(body)
	}
	if !isString || !parsed.setModel(name) {
		return modelCall{}, refusal(http.StatusBadRequest, codeInvalidRequest,
			"the field \"model\" must be \"adapter\" or \"adapter@version\"")
	}
	if stream, found := relay.Find(fields, "stream"); found {
		if err := json.Unmarshal(body[stream.Start:stream.End], &parsed.stream); err != nil {
			return modelCall{}, refusal(http.StatusBadRequest, codeInvalidRequest, "the field \"stream\" must be true or false")
		}
	}
	return parsed, nil
}

func repeatedField(fields []relay.Field) string {
	seen := make(map[string]bool, len(fields))
	for _, field := range fields {
		if seen[field.Name] {
			return field.Name
		}
		seen[field.Name] = true
	}
	return ""
}

// setModel splits the model's name into adapter and version and reports whether it is valid. The character # is
// reserved for load names, which callers must not use.
func (m *modelCall) setModel(name string) bool {
	if name == "" || len(name) > maximumModelLength || strings.Contains(name, "#") {
		return false
	}
	m.model = name
	adapter, version, hasVersion := strings.Cut(name, "@")
	m.adapter, m.version = adapter, version
	return adapter != "" && (!hasVersion || version != "") && !strings.Contains(version, "@")
}

// resolve looks up the adapter and its version in the configuration.
func (m *modelCall) resolve(view *resource.View) (*resource.Adapter, routing.Target, *problem) {
	adapter := view.Adapters[m.adapter]
	if adapter == nil {
		return nil, routing.Target{}, refusal(http.StatusNotFound, codeAdapterNotFound, "adapter %q is not declared", m.adapter)
	}
	version, found := adapter.Version(m.version)
	if !found {
		return nil, routing.Target{}, refusal(http.StatusNotFound, codeVersionNotFound, "adapter %q has no version %q", m.adapter, m.version)
	}
	return adapter, routing.Target{Adapter: m.adapter, Version: version.Name}, nil
}

// readBody reads a caller's body within the limits on its size and duration, and on the memory of all bodies.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, *problem) {
	limit := int64(g.settings.MaximumBodyBytes)
	body, err := g.bodies.Read(w, r, limit, time.Time{})
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, intake.ErrNoRoom):
		p := refusal(http.StatusServiceUnavailable, codeOverloaded, "there is no room for the body")
		p.retryAfter = max(intake.RetryAfter, g.jitteredRetryDelay())
		return nil, p
	case errors.Is(err, intake.ErrTooSlow):
		return nil, refusal(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive within %s", g.settings.BodyTimeout.Std())
	default:
		return nil, refusal(http.StatusBadRequest, codeInvalidRequest, "the body could not be read")
	}
}

func checkJSONType(header http.Header) *problem {
	text := header.Get("Content-Type")
	if text == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(text)
	if err != nil || media != contentTypeJSON {
		return refusal(http.StatusUnsupportedMediaType, codeUnsupportedMedia, "Content-Type must be %s", contentTypeJSON)
	}
	return nil
}
