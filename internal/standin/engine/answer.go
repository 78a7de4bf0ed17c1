package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

const finishLength = "length"

// completion is the body of an answer that isn't streamed.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *tokens.Message `json:"message,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// answerComplete waits for the end of a request and answers with all its tokens.
func answerComplete(w http.ResponseWriter, r *http.Request, accepted *request) {
	changed, unsubscribe := accepted.progress.subscribe()
	defer unsubscribe()
	for {
		_, end := accepted.progress.state()
		switch end {
		case endComplete:
			writeJSON(w, http.StatusOK, completionOf(accepted))
			return
		case endRestart:
			panic(http.ErrAbortHandler)
		case endEvicted, endCancelled:
			refuse(w, brokenError(end))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// completionOf returns the answer to a completed request.
func completionOf(r *request) completion {
	text := r.texts.Prefix(r.limit)
	body := completion{
		ID: r.id, Object: "text_completion", Created: r.created.Unix(), Model: string(r.model),
		Choices: []choice{{Text: &text, FinishReason: finishLength}},
		Usage:   usage{CompletionTokens: r.limit},
	}
	if r.chat {
		body.Object = "chat.completion"
		body.Choices = []choice{{Message: &tokens.Message{Role: "assistant", Content: text}, FinishReason: finishLength}}
	}
	return body
}

// stream sends the tokens after number last as they are generated. An incomplete stream ends with an error event and a
// broken connection.
func stream(w http.ResponseWriter, r *http.Request, accepted *request, last int) {
	changed, unsubscribe := accepted.progress.subscribe()
	defer unsubscribe()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(vllm.HeaderRequestID, accepted.id)
	w.WriteHeader(http.StatusOK)
	writer := newEventWriter(w, accepted)
	writer.flush()
	for next := last + 1; ; {
		generated, end := accepted.progress.state()
		for ; next < generated; next++ {
			writer.token(next)
		}
		if end != endNone {
			writer.finish(end)
			return
		}
		if writer.flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter writes the events of one stream. Everything except the token's number and text is the same in each event
// and is built once, because an engine writes many thousand events per second.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *request
	prefix  string
	suffix  string
	buffer  []byte
}

func newEventWriter(w http.ResponseWriter, r *request) *eventWriter {
	object, prefix, suffix := "text_completion", `"text":"`, `"`
	if r.chat {
		object, prefix, suffix = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	head := fmt.Sprintf("\ndata: {\"id\":%s,\"object\":%q,\"created\":%d,\"model\":%s,\"choices\":[{\"index\":0,",
		quote(r.id), object, r.created.Unix(), quote(string(r.model)))
	return &eventWriter{
		w: w, control: http.NewResponseController(w), request: r,
		prefix: head + prefix, suffix: suffix + `,"finish_reason":`,
	}
}

// token buffers the event of token i, counted from 0. The texts of package tokens need no escaping in JSON.
func (e *eventWriter) token(i int) {
	e.buffer = append(e.buffer, "id: "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(i), 10)
	e.buffer = append(e.buffer, e.prefix...)
	e.buffer = append(e.buffer, e.request.texts.Text(i)...)
	e.buffer = append(e.buffer, e.suffix...)
	if i == e.request.limit-1 {
		e.buffer = append(e.buffer, `"`+finishLength+`"`...)
	} else {
		e.buffer = append(e.buffer, "null"...)
	}
	e.buffer = append(e.buffer, "}]}\n\n"...)
}

// finish ends the stream. A return of the handler ends the body regularly; a panic breaks the connection.
func (e *eventWriter) finish(end ending) {
	switch end {
	case endComplete:
		e.buffer = append(e.buffer, "data: "+vllm.Done+"\n\n"...)
		_ = e.flush()
	case endRestart:
		panic(http.ErrAbortHandler)
	default:
		data, _ := json.Marshal(errorBody(brokenError(end)))
		e.buffer = append(e.buffer, "event: "+vllm.EventError+"\ndata: "+string(data)+"\n\n"...)
		_ = e.flush()
		panic(http.ErrAbortHandler)
	}
}

func (e *eventWriter) flush() error {
	if _, err := e.w.Write(e.buffer); err != nil {
		return err
	}
	e.buffer = e.buffer[:0]
	return e.control.Flush()
}

// brokenError returns the error for a request that was cancelled or whose adapter was unloaded.
func brokenError(end ending) *vllm.Error {
	if end == endCancelled {
		return &vllm.Error{Status: http.StatusInternalServerError, Code: vllm.CodeCancelled, Message: "request was cancelled"}
	}
	return &vllm.Error{
		Status: http.StatusInternalServerError, Code: vllm.CodeEvicted, Message: "adapter was unloaded while the request ran",
	}
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}
