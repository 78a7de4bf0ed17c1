package upstream

import "bytes"

// eventTail holds the last bytes of an event stream. Lines of the stream end with LF, CR or CR LF.
type eventTail struct{ last []byte }

// eventTailLength is how many bytes show a blank line: one of the line before it, and its own terminator CR LF.
const eventTailLength = 3

// add appends received bytes.
func (t *eventTail) add(data []byte) {
	if len(data) >= eventTailLength {
		t.last = append(t.last[:0], data[len(data)-eventTailLength:]...)
		return
	}
	t.last = append(t.last, data...)
	t.last = append(t.last[:0], t.last[max(len(t.last)-eventTailLength, 0):]...)
}

// isEmpty reports whether nothing was received.
func (t *eventTail) isEmpty() bool { return len(t.last) == 0 }

// endsInsideEvent reports whether bytes were received and the last ones aren't a blank line.
func (t *eventTail) endsInsideEvent() bool {
	return !t.isEmpty() && !endsWithBlankLine(t.last)
}

// EventsEnd returns the length of the complete events at the beginning of data, 0 if there is none. The first searched bytes are
// known to have no end of an event, so that bytes that arrive one after the other are searched once.
func EventsEnd(data []byte, searched int) int {
	for end := len(data); end > searched; end-- {
		if endsWithBlankLine(data[:end]) {
			return end
		}
	}
	return 0
}

func endsWithBlankLine(text []byte) bool {
	rest := withoutLineEnd(text)
	return len(rest) < len(text) && len(withoutLineEnd(rest)) < len(rest)
}

func withoutLineEnd(text []byte) []byte {
	for _, end := range []string{"\r\n", "\n", "\r"} {
		if rest, found := bytes.CutSuffix(text, []byte(end)); found {
			return rest
		}
	}
	return text
}
