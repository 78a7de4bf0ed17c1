package gateway

import (
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/intake"
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
	// received is the body as received, which takes room until the call is released; body holds its bytes.
	received *intake.Body
	body     []byte
	// model is the name that the caller used, and modelField its position in the body. Both are unset for plain
	// services.
	model      string
	modelField relay.Field
	stream     bool

	nonIdempotent bool
	key           ledger.Key
}

// setBody sets the body.
func (c *call) setBody(received *intake.Body) { c.received, c.body = received, received.Bytes() }

// release returns the room of the body. A nil call has none.
func (c *call) release() {
	if c != nil {
		c.received.Release()
	}
}

// attemptBody returns the body with the model's name replaced by the load's. A call of a plain service gets its body
// unchanged.
func (c *call) attemptBody(loadName string) []byte {
	if c.model == "" {
		return c.body
	}
	return c.modelField.Replace(c.body, loadName)
}
