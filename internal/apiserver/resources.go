package apiserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// change is the body of a PUT or DELETE and one element of a batch.
type change struct {
	Kind resource.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
	// ResourceVersion is the version that the resource must have; 0 means that it must not exist.
	ResourceVersion *platform.Offset `json:"resourceVersion"`
	OperationID     string           `json:"operationId,omitempty"`
	Delete          bool             `json:"delete,omitempty"`
	Spec            json.RawMessage  `json:"spec,omitempty"`
}

// changeResponse is the response to an accepted change.
type changeResponse struct {
	Kind            resource.Kind   `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	OperationID     string          `json:"operationId"`
}

// listResponse is the response to a list request.
type listResponse struct {
	Kind            resource.Kind     `json:"kind"`
	ResourceVersion platform.Offset   `json:"resourceVersion"`
	Items           []resource.Object `json:"items"`
}

func (s *Server) get(w http.ResponseWriter, request *http.Request) {
	kind, failure := kindOf(request)
	if failure != nil {
		writeError(w, failure)
		return
	}
	name := request.PathValue("name")
	object, found := s.replica.View().Get(kind, name)
	if !found {
		writeError(w, &apiError{Code: codeNotFound, Message: fmt.Sprintf("%s/%s does not exist", kind, name)})
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Server) list(w http.ResponseWriter, request *http.Request) {
	kind, failure := kindOf(request)
	if failure != nil {
		writeError(w, failure)
		return
	}
	if watch := request.URL.Query().Get("watch"); watch == "1" || watch == "true" {
		s.watch(w, request, kind)
		return
	}
	view := s.replica.View()
	writeJSON(w, http.StatusOK, listResponse{Kind: kind, ResourceVersion: view.Applied, Items: view.List(kind)})
}

func (s *Server) put(w http.ResponseWriter, request *http.Request) { s.changeOne(w, request, false) }

func (s *Server) remove(w http.ResponseWriter, request *http.Request) { s.changeOne(w, request, true) }

func (s *Server) changeOne(w http.ResponseWriter, request *http.Request, deletion bool) {
	var body change
	held, err := s.readBody(w, request, s.settings.Limits.BodyBytes, &body)
	defer held.Release()
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	op, failure := body.operationAt(resource.Kind(request.PathValue("kind")), request.PathValue("name"), deletion)
	if failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	result := s.writer.Apply(ctx, []resource.Operation{op})[0]
	if failure := resultError(result); failure != nil {
		writeError(w, failure)
		return
	}
	status := http.StatusOK
	if op.ExpectedVersion == 0 {
		status = http.StatusCreated
	}
	writeJSON(w, status, changeResponse{Kind: op.Kind, Name: op.Name, ResourceVersion: result.Version, OperationID: op.ID})
}

// operationAt returns the operation of a request body for the resource named in the request's path.
func (c *change) operationAt(kind resource.Kind, name string, deletion bool) (resource.Operation, *apiError) {
	if c.Kind != "" && c.Kind != kind {
		message := fmt.Sprintf("field \"kind\" has value %q; allowed: %q as in the path", c.Kind, kind)
		return resource.Operation{}, invalidField("kind", message)
	}
	if c.Name != "" && c.Name != name {
		message := fmt.Sprintf("field \"name\" has value %q; allowed: %q as in the path", c.Name, name)
		return resource.Operation{}, invalidField("name", message)
	}
	if c.Delete && !deletion {
		return resource.Operation{}, invalidField("delete", "field \"delete\" has value true; allowed: false in a PUT")
	}
	c.Kind, c.Name, c.Delete = kind, name, deletion
	return c.operation()
}

func (c *change) operation() (resource.Operation, *apiError) {
	if c.ResourceVersion == nil {
		return resource.Operation{}, invalidField("resourceVersion",
			"field \"resourceVersion\" is missing; allowed: the current version of the resource, or 0 to create it")
	}
	if c.OperationID == "" {
		c.OperationID = ident.New()
	}
	return resource.Operation{
		ID: c.OperationID, Kind: c.Kind, Name: c.Name, ExpectedVersion: *c.ResourceVersion, Delete: c.Delete, Spec: c.Spec,
	}, nil
}

func (s *Server) writeContext(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), s.settings.Config.WriteTimeout.Std())
}

// bodyCopies is the number of copies of a body: the one that was received, and the decoded one.
const bodyCopies = 2

// readBody reads and decodes a request body. Its size is bounded by limit and its arrival by the body timeout. The body takes room
// until it is released, also if it can't be decoded.
func (s *Server) readBody(w http.ResponseWriter, request *http.Request, limit int, target any) (*intake.Body, error) {
	body, err := s.bodies.Read(w, request, int64(limit), time.Time{})
	if err != nil {
		return nil, err
	}
	s.decoding.Lock()
	defer s.decoding.Unlock()
	if values := resource.CountValues(body.Bytes()); values > s.settings.Limits.Values {
		return body, &tooManyValuesError{values: values, limit: s.settings.Limits.Values}
	}
	return body, resource.DecodeStrict(body.Bytes(), target)
}

// tooManyValuesError means that the decoded form of a body would take too much memory.
type tooManyValuesError struct{ values, limit int }

// Error implements error.
func (e *tooManyValuesError) Error() string {
	return fmt.Sprintf("the body has %d JSON values; allowed: %d", e.values, e.limit)
}

func kindOf(request *http.Request) (resource.Kind, *apiError) {
	kind := resource.Kind(request.PathValue("kind"))
	if !kind.Valid() {
		message := fmt.Sprintf("kind %q does not exist; allowed: %v", kind, resource.Kinds())
		return "", &apiError{Code: codeNotFound, Field: "kind", Message: message}
	}
	return kind, nil
}
