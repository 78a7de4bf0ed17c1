package forward

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"

	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

var errNoContinuation = errors.New("the server's answer doesn't go on with the stream")

// eventIDs follows the IDs of a stream's events, which are numbers on most servers.
type eventIDs struct {
	last int64
	// known is true once last is the number of an event.
	known bool
	// step is the difference between two IDs in a row; 0 before two events, and where the differences vary.
	step   int64
	varies bool
}

// note records the ID of an event. IDs that aren't numbers end what is known.
func (i *eventIDs) note(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		*i = eventIDs{varies: true}
		return
	}
	if i.known && !i.varies {
		step := number - i.last
		i.varies = i.step != 0 && i.step != step
		i.step = step
		if i.varies {
			i.step = 0
		}
	}
	i.last, i.known = number, true
}

// follows reports whether an ID can be that of the event after the latest one.
func (i *eventIDs) follows(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	switch {
	case !i.known:
		return true
	case err != nil || number <= i.last:
		return false
	default:
		return i.step <= 0 || number == i.last+i.step
	}
}

// isEventStream reports whether an answer is a stream of events by its type. An answer without a type may be one.
func isEventStream(answer *http.Response) bool {
	return upstream.MediaType(answer.Header, upstream.EventStream) == upstream.EventStream
}

// checkContinuation checks complete events of a resumed answer: each has an ID, and the first one follows the latest event of
// the stream. Blocks of comments only are no events.
func (s *stream) checkContinuation(complete []byte) error {
	normalized := bytes.ReplaceAll(bytes.ReplaceAll(complete, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
	for block := range bytes.SplitSeq(normalized, []byte("\n\n")) {
		id, isEvent := idOf(block)
		if !isEvent {
			continue
		}
		if id == "" || !s.continued && !s.ids.follows(id) {
			return errNoContinuation
		}
		s.continued = true
	}
	return nil
}

// idOf returns the ID of an event, empty if it has none. isEvent is false for a block of comments only.
func idOf(block []byte) (id string, isEvent bool) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		isEvent = true
		if rest, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id, isEvent
}
