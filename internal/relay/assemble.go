package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// object is a decoded JSON object. Numbers retain their original form.
type object = map[string]any

// assembler combines the chunks of a stream into the answer that the engine would have sent without streaming. It
// implements Sink.
type assembler struct {
	answer  object
	choices []object
	size    int
	limit   int
}

// Write implements Sink: it adds one event, and fails if the events exceed the limit.
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
			a.choices = mergeChoice(a.choices, choice)
		}
	}
}

// body returns the assembled answer as JSON.
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

// concatenatedFields are the fields whose values are concatenated over all chunks. Of other scalar fields the last
// value that is not null is used.
var concatenatedFields = []string{"text", "content", "reasoning_content", "refusal", "arguments"}

// merge merges the fields of part into target.
func merge(target, part object) {
	for name, value := range part {
		target[name] = mergedValue(name, target[name], value)
	}
}

// mergedValue returns the value of the field name after value was merged into existing.
func mergedValue(name string, existing, value any) any {
	switch value := value.(type) {
	case nil:
		return existing
	case string:
		if previous, ok := existing.(string); ok && slices.Contains(concatenatedFields, name) {
			return previous + value
		}
	case object:
		if previous, ok := existing.(object); ok {
			merge(previous, value)
			return previous
		}
	case []any:
		return mergeLists(existing, value)
	}
	return value
}

// mergeLists merges objects with an index, such as tool calls, by their index, and appends other items, such as the
// probabilities of tokens.
func mergeLists(existing any, items []any) any {
	previous, _ := existing.([]any)
	for _, item := range items {
		part, isObject := item.(object)
		if position := indexOfSameIndex(previous, part); isObject && position >= 0 {
			merge(previous[position].(object), part)
			continue
		}
		previous = append(previous, item)
	}
	return previous
}

// indexOfSameIndex returns the position of the object that has the same "index" field as part, or -1.
func indexOfSameIndex(items []any, part object) int {
	index, hasIndex := part["index"]
	if !hasIndex {
		return -1
	}
	return slices.IndexFunc(items, func(item any) bool {
		other, ok := item.(object)
		return ok && other["index"] == index
	})
}

func mergeChoice(choices []object, part object) []object {
	for _, choice := range choices {
		if choice["index"] == part["index"] {
			merge(choice, part)
			return choices
		}
	}
	return append(choices, part)
}

// assembleFromStream reads the engine's stream for a request that was already sent, and assembles the answer from it.
func (c *Client) assembleFromStream(ctx context.Context, request *Request) Result {
	a := &assembler{answer: object{}, limit: c.options.AnswerLimit}
	streamRequest := *request
	// Idempotent makes a write error end the stream: once the assembler has rejected a chunk, the rest is of no use.
	streamRequest.Idempotent = true
	s := &streamRelay{
		client: c, request: &streamRequest, sink: a, last: noToken, gapBefore: noToken, result: Result{Execution: Unknown},
	}
	result := s.follow(ctx, c.newStreamConn(ctx), nil, errAnswerNotReceived)
	result.Started = false
	if !result.Complete {
		return result
	}
	body, err := a.body()
	if err != nil {
		return Result{Execution: Unknown, Err: failure.Wrap(err, AnswerBroken, "assemble answer", request.Address)}
	}
	result.Body, result.Header = body, http.Header{"Content-Type": {"application/json"}}
	return result
}
