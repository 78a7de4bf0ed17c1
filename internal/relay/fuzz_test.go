package relay_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// FuzzEventReader guards against events that are invented, endless or not bounded, whatever an engine sends.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: {}\n\n", "data: a\ndata: b\r\n\r\n", "event: error\ndata:x\n\n", ": comment\n\n\ndata\n\n",
		"id: 1\x00\ndata: x\n\n", "data: cut off", "data: [DONE]\n\n", "\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := relay.NewEventReader(bytes.NewReader(text))
		total := 0
		for {
			event, err := reader.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, relay.ErrEventTooLarge) {
					t.Fatalf("unexpected error: %v", err)
				}
				break
			}
			total += len(event.Data) + len(event.ID) + len(event.Name)
		}
		if total > len(text) {
			t.Fatalf("%d bytes of events out of %d bytes of text", total, len(text))
		}
	})
}

// FuzzFields guards against a model field that is found in another place than JSON readers find it, which would send
// a request to the wrong adapter.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a"}`, ` { "x" : {"model":1}, "model" : "b\u0061" , "n":12}`, `{"model":"a","model":"b"}`, `[]`, `{"a":1}{}`,
		`{"model":null}`, "{\"model\":\"\xff\"}", `{"":[{"model":"x"}],"model":"y"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fields, err := relay.Fields(body)
		if err != nil {
			return
		}
		var reference map[string]json.RawMessage
		if err := json.Unmarshal(body, &reference); err != nil {
			t.Fatalf("accepted a body that is no object: %v", err)
		}
		model, found := relay.Find(fields, "model")
		if !found {
			return
		}
		if !bytes.Equal(reference["model"], body[model.Start:model.End]) {
			t.Fatalf("found the value %q, want %q", body[model.Start:model.End], reference["model"])
		}
		replaced := map[string]json.RawMessage{}
		if err := json.Unmarshal(model.Replace(body, "x@1#2"), &replaced); err != nil {
			t.Fatalf("the replaced body is no object: %v", err)
		}
		reference["model"] = json.RawMessage(`"x@1#2"`)
		for name, value := range reference {
			if !bytes.Equal(replaced[name], value) {
				t.Fatalf("field %q changed from %q to %q", name, value, replaced[name])
			}
		}
	})
}
