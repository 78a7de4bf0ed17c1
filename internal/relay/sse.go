package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaximumEventBytes bounds the size of one server-sent event, so that a faulty engine can't exhaust the gateway's
// memory.
const MaximumEventBytes = 1 << 20

// ErrEventTooLarge means that an event exceeds MaximumEventBytes.
var ErrEventTooLarge = errors.New("server-sent event is too large")

// ServerEvent is one server-sent event.
type ServerEvent struct {
	// ID is the value of the id field. HasID is false if the event has no such field.
	ID    string
	HasID bool
	// Name is the value of the event field, empty for the default event type.
	Name string
	Data []byte
}

// EventReader parses server-sent events as defined by the HTML standard. An event that is truncated by the end of the
// stream is discarded.
type EventReader struct {
	lines *bufio.Reader
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{lines: bufio.NewReader(r)} }

// Next returns the next event that has data. It returns io.EOF at the end of the stream.
func (r *EventReader) Next() (ServerEvent, error) {
	var event ServerEvent
	hasData := false
	size := 0
	for {
		line, err := r.line(MaximumEventBytes - size)
		if err != nil {
			return ServerEvent{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			event = ServerEvent{}
			size = 0
			continue
		}
		if event.parseLine(line, hasData) {
			hasData = true
		}
	}
}

// parseLine adds one line to the event and reports whether it is a data field. hasData is true if the event already has
// one.
func (e *ServerEvent) parseLine(line []byte, hasData bool) bool {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		return true
	case "id":
		if bytes.IndexByte(value, 0) < 0 {
			e.ID, e.HasID = string(value), true
		}
	case "event":
		e.Name = string(value)
	}
	return false
}

// line returns the next line without its terminator, LF or CR LF. Unlike in the standard, a lone CR doesn't end a line;
// no engine sends one.
func (r *EventReader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, ErrEventTooLarge
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}
