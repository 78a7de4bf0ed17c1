package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// object is a decoded JSON object. Numbers stay as they were written.
type object = map[string]any

// assembler puts the chunks of a stream together to the answer that the engine would have given without streaming. It
// implements Sink.
type assembler struct {
	answer  object
	choices []object
	size    int
	limit   int
}

// Write implements Sink.
func (a *assembler) Write(event []byte) error {
	a.size += len(event)
	if a.size > a.limit {
		return errTooLarge
	}
	parsed, err := NewEventReader(bytes.NewReader(event)).Next()
	if err != nil || string(parsed.Data) == doneData {
		return err
	}
	var chunk object
	decoder := json.NewDecoder(bytes.NewReader(parsed.Data))
	decoder.UseNumber()
	if err := decoder.Decode(&chunk); err != nil {
		return err
	}
	a.add(chunk)
	return nil
}

func (a *assembler) add(chunk object) {
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	merge(a.answer, chunk)
	for _, item := range choices {
		if choice, ok := item.(object); ok {
			a.choices = mergeIndexed(a.choices, choice)
		}
	}
}

// body returns the answer.
func (a *assembler) body() ([]byte, error) {
	if a.answer["object"] == "chat.completion.chunk" {
		a.answer["object"] = "chat.completion"
	}
	choices := make([]any, 0, len(a.choices))
	for _, choice := range a.choices {
		if delta, found := choice["delta"]; found {
			choice["message"] = delta
			delete(choice, "delta")
		}
		choices = append(choices, choice)
	}
	a.answer["choices"] = choices
	return json.Marshal(a.answer)
}

// growing are the fields whose parts follow each other; of any other field the last value counts.
var growing = []string{"text", "content", "reasoning_content", "refusal", "arguments"}

// merge adds the fields of part to whole.
func merge(whole, part object) {
	for name, value := range part {
		whole[name] = merged(name, whole[name], value)
	}
}

func merged(name string, held, value any) any {
	switch value := value.(type) {
	case nil:
		return held
	case string:
		if before, ok := held.(string); ok && slices.Contains(growing, name) {
			return before + value
		}
	case object:
		if before, ok := held.(object); ok {
			merge(before, value)
			return before
		}
	case []any:
		return appended(held, value)
	}
	return value
}

// appended joins lists: of indexed objects, such as tool calls, by their index, and of others, such as the
// probabilities of tokens, by order.
func appended(held any, items []any) any {
	before, _ := held.([]any)
	for _, item := range items {
		part, isObject := item.(object)
		if place := indexed(before, part); isObject && place >= 0 {
			merge(before[place].(object), part)
			continue
		}
		before = append(before, item)
	}
	return before
}

// indexed returns the place of the object with the same index as part, or -1.
func indexed(items []any, part object) int {
	index, has := part["index"]
	if !has {
		return -1
	}
	return slices.IndexFunc(items, func(item any) bool {
		other, ok := item.(object)
		return ok && other["index"] == index
	})
}

func mergeIndexed(choices []object, part object) []object {
	for _, choice := range choices {
		if choice["index"] == part["index"] {
			merge(choice, part)
			return choices
		}
	}
	return append(choices, part)
}

// assembled follows the engine's stream for a request that was sent already, and puts its answer together.
func (c *Client) assembled(ctx context.Context, request *Request) Result {
	a := &assembler{answer: object{}, limit: c.options.AnswerLimit}
	following := *request
	// The assembler is no caller: when it refuses a chunk, the answer can't be used and following it has no use.
	following.Idempotent = true
	f := &flow{client: c, request: &following, sink: a, last: none, skipped: none, result: Result{Execution: Unknown}}
	result := f.follow(ctx, c.link(ctx), nil, errAnswerLost)
	result.Started = false
	if !result.Complete {
		return result
	}
	body, err := a.body()
	if err != nil {
		return Result{Execution: Unknown, Err: failure.Wrap(err, Broken, "assemble answer", request.Address)}
	}
	result.Body, result.Header = body, http.Header{"Content-Type": {"application/json"}}
	return result
}
