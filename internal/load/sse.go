package load

import (
	"bufio"
	"io"
	"strings"
)

// maximumLineBytes bounds one line of a stream.
const maximumLineBytes = 1 << 20

// Event is one event of a server-sent event stream.
type Event struct {
	// ID is empty when the event has none.
	ID   string
	Type string
	Data string
}

// EventReader reads the events of a stream.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader returns a reader of body.
func NewEventReader(body io.Reader) *EventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maximumLineBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event. It returns io.EOF at the end of the body, io.ErrUnexpectedEOF if the body ends within an
// event, and otherwise the error of the connection.
func (r *EventReader) Next() (Event, error) {
	var event Event
	started := false
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" {
			if started {
				return event, nil
			}
			continue
		}
		started = true
		field, value, _ := strings.Cut(line, ":")
		event.set(field, strings.TrimPrefix(value, " "))
	}
	switch {
	case r.scanner.Err() != nil:
		return Event{}, r.scanner.Err()
	case started:
		return Event{}, io.ErrUnexpectedEOF
	default:
		return Event{}, io.EOF
	}
}

// set adds a field. Data lines are joined; comments and unknown fields are ignored, as the format requires.
func (e *Event) set(field, value string) {
	switch field {
	case "id":
		e.ID = value
	case "event":
		e.Type = value
	case "data":
		if e.Data != "" {
			e.Data += "\n"
		}
		e.Data += value
	}
}
