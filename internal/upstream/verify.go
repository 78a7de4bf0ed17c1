package upstream

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
)

// EventStream is the media type of a stream of events.
const EventStream = "text/event-stream"

// ErrTruncated means that the connection delivered an answer up to a regular end, and that its content shows that the
// server had not finished it.
var ErrTruncated = errors.New("the answer ends inside an event or a JSON value")

// maximumVerifiedJSON bounds the memory for verifying the JSON answers that are delimited by their connection. The end
// of a larger answer isn't verified.
const maximumVerifiedJSON = 256 << 10

// VerifyEvents is VerifyEnd for event streams alone. VerifyJSON verifies the answers of NeedsVerifiedJSON once they have been read.
func VerifyEvents(answer *http.Response, defaultType string) {
	if hasBody(answer) && MediaType(answer.Header, defaultType) == EventStream {
		needsEvent := DelimiterOf(answer) == DelimitedByConnection
		answer.Body = &verifiedBody{ReadCloser: answer.Body, content: &eventContent{needsEvent: needsEvent}}
	}
}

// NeedsVerifiedJSON reports whether an answer is JSON that is delimited by its connection, so that only its content shows whether
// it's complete. The answer to a HEAD request has neither.
func NeedsVerifiedJSON(answer *http.Response, defaultType string) bool {
	if !hasBody(answer) || DelimiterOf(answer) != DelimitedByConnection {
		return false
	}
	mediaType := MediaType(answer.Header, defaultType)
	return mediaType == "application/json" || strings.HasSuffix(mediaType, "+json")
}

// VerifyJSON returns ErrTruncated if the body of an answer isn't valid JSON.
func VerifyJSON(body []byte) error {
	if !json.Valid(body) {
		return ErrTruncated
	}
	return nil
}

func hasBody(answer *http.Response) bool { return answer.Body != nil && answer.Body != http.NoBody }

// VerifyEnd replaces the answer's body by one that returns ErrTruncated instead of io.EOF where the content proves that
// the server broke off. The end of the connection alone doesn't show that an answer without a length is complete: a
// server that crashes ends its connections too.
//
//   - An event stream must end between two events, and one that is delimited by its connection must have an event.
//   - JSON that is delimited by its connection must be valid.
//   - The end of all other content can't be verified.
//
// An answer without a Content-Type is taken to have defaultType, which may be empty.
func VerifyEnd(answer *http.Response, defaultType string) {
	if NeedsVerifiedJSON(answer, defaultType) {
		answer.Body = &verifiedBody{ReadCloser: answer.Body, content: &jsonContent{}}
		return
	}
	VerifyEvents(answer, defaultType)
}

// MediaType returns the media type of an answer without its parameters, or an empty string if it can't be read. An answer
// without a Content-Type has defaultType.
func MediaType(header http.Header, defaultType string) string {
	mediaType, _, err := mime.ParseMediaType(cmp.Or(header.Get("Content-Type"), defaultType))
	if err != nil && !errors.Is(err, mime.ErrInvalidMediaParameter) {
		return ""
	}
	return mediaType
}

// content follows the content of a body.
type content interface {
	add(data []byte)
	// truncated reports whether the content so far can't be all of it.
	truncated() bool
}

// verifiedBody is the body of an answer whose content shows where it may end.
type verifiedBody struct {
	io.ReadCloser
	content content
}

// Read implements io.Reader.
func (b *verifiedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.content.add(data[:n])
	if errors.Is(err, io.EOF) && b.content.truncated() {
		return n, ErrTruncated
	}
	return n, err
}

type eventContent struct {
	tail       eventTail
	needsEvent bool
}

func (c *eventContent) add(data []byte) { c.tail.add(data) }

func (c *eventContent) truncated() bool {
	if c.tail.isEmpty() {
		return c.needsEvent
	}
	return c.tail.endsInsideEvent()
}

// jsonContent holds the content up to maximumVerifiedJSON and one more byte.
type jsonContent struct{ data []byte }

func (c *jsonContent) add(data []byte) {
	room := maximumVerifiedJSON + 1 - len(c.data)
	c.data = append(c.data, data[:min(len(data), room)]...)
}

func (c *jsonContent) truncated() bool {
	return len(c.data) <= maximumVerifiedJSON && !json.Valid(c.data)
}
