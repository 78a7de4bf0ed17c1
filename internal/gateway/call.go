package gateway

import (
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// call is one caller's request, parsed and resolved.
type call struct {
	id        string
	target    routing.Target
	baseModel string
	class     admission.Class
	arrived   time.Time
	deadline  time.Time

	method string
	// path is the escaped path with the query, as sent to the backend server.
	path   string
	header http.Header
	body   []byte
	// model is the name that the caller used, and modelField its position in the body. Both are unset for plain
	// services.
	model      string
	modelField relay.Field
	stream     bool

	nonIdempotent bool
	key           ledger.Key
}

// attemptBody returns the body with the model's name replaced by the load's. A call of a plain service gets its body
// unchanged.
func (c *call) attemptBody(loadName string) []byte {
	if c.model == "" {
		return c.body
	}
	return c.modelField.Replace(c.body, loadName)
}
