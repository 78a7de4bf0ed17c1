package apiserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Types of watch events in addition to those of resource.ChangeType.
const (
	// watchBookmark is the type of an event that marks that all changes up to its resourceVersion were sent.
	watchBookmark resource.ChangeType = "BOOKMARK"
	// watchError is the type of an event with an error, which ends the watch.
	watchError resource.ChangeType = "ERROR"
)

// watchEvent is one line of a watch.
type watchEvent struct {
	Type            resource.ChangeType `json:"type"`
	ResourceVersion platform.Offset     `json:"resourceVersion,omitempty"`
	Object          *resource.Object    `json:"object,omitempty"`
	Error           *apiError           `json:"error,omitempty"`
}

// watch sends the changes of one kind after resourceVersion until the client disconnects or falls too far behind, or
// the server stops. If the server ends the watch, the last line is a bookmark or an error.
func (s *Server) watch(w http.ResponseWriter, request *http.Request, kind resource.Kind) {
	after, failure := versionOf(request, 0)
	if failure != nil {
		writeError(w, failure)
		return
	}
	defer s.watches.Add(-1)
	if s.watches.Add(1) > int64(s.settings.Limits.Watches) {
		message := fmt.Sprintf("more than %d watches are open; use another API server", s.settings.Limits.Watches)
		writeError(w, &apiError{Code: codeTooMany, Message: message})
		return
	}
	if _, _, err := s.replica.Changes(kind, after); err != nil {
		writeError(w, tooOldError(err))
		return
	}
	stream := &watchStream{
		server: s, kind: kind, after: after, encoder: json.NewEncoder(w), control: http.NewResponseController(w),
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// The write deadline of the watch would remain set for later requests on the connection.
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusOK)
	stream.run(request)
}

// watchStream sends the events of one watch.
type watchStream struct {
	server *Server
	kind   resource.Kind
	// after is the offset up to which all changes were sent.
	after   platform.Offset
	encoder *json.Encoder
	control *http.ResponseController
}

func (w *watchStream) run(request *http.Request) {
	ticker := time.NewTicker(w.server.settings.Limits.BookmarkInterval.Std())
	defer ticker.Stop()
	bookmark := true
	for {
		changed := w.server.replica.Changed()
		if err := w.send(bookmark); err != nil {
			return
		}
		bookmark = false
		select {
		case <-changed:
		case <-ticker.C:
			bookmark = true
		case <-request.Context().Done():
			return
		case <-w.server.stopping:
			_ = w.send(true)
			return
		}
	}
}

// send writes the changes since the last call, followed by a bookmark if requested.
func (w *watchStream) send(bookmark bool) error {
	changes, upTo, err := w.server.replica.Changes(w.kind, w.after)
	if err != nil {
		return errors.Join(err, w.write(watchEvent{Type: watchError, Error: tooOldError(err)}), w.control.Flush())
	}
	for _, change := range changes {
		event := watchEvent{Type: change.Type, ResourceVersion: change.Object.ResourceVersion, Object: &change.Object}
		if err := w.write(event); err != nil {
			return err
		}
	}
	w.after = max(w.after, upTo)
	if bookmark {
		if err := w.write(watchEvent{Type: watchBookmark, ResourceVersion: w.after}); err != nil {
			return err
		}
	}
	if !bookmark && len(changes) == 0 {
		return nil
	}
	return w.control.Flush()
}

// write writes one event with a deadline, so that a client that does not read can't block a shutdown.
func (w *watchStream) write(event watchEvent) error {
	deadline := time.Now().Add(w.server.settings.Limits.BodyTimeout.Std())
	if err := w.control.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return w.encoder.Encode(event)
}

func tooOldError(err error) *apiError { return &apiError{Code: codeTooOld, Message: err.Error()} }

// versionOf returns the query parameter resourceVersion, or fallback when it is absent.
func versionOf(request *http.Request, fallback platform.Offset) (platform.Offset, *apiError) {
	text := request.URL.Query().Get("resourceVersion")
	if text == "" {
		return fallback, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		message := fmt.Sprintf("query parameter \"resourceVersion\" has value %q; allowed: an integer from 0", text)
		return 0, invalidField("resourceVersion", message)
	}
	return platform.Offset(version), nil
}
