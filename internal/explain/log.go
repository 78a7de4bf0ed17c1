// Package explain finds the causes of failed requests in the logs of the serving nodes. It reads the lines that the
// package event writes, and identifies the events of docs/EVENTS.md by number.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// lineLimit bounds one line of a log.
const lineLimit = 1 << 20

// Line is one logged event.
type Line struct {
	At     time.Time
	Event  int
	Fields map[string]any
	// Text is the line as it was read.
	Text string
}

// text returns a string field, or an empty string.
func (l Line) text(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

// number returns a numeric field, or 0.
func (l Line) number(field string) float64 {
	value, _ := l.Fields[field].(float64)
	return value
}

// Log holds the events of one or more processes, oldest first.
type Log struct {
	Lines []Line
	// Unread counts the lines that contain no event.
	Unread int
	// byRequest holds the events that name a request, in the order in which they were read.
	byRequest map[string][]Line
}

// Read adds the events of r. The text before the first brace of a line is skipped, because log collectors put the
// process and their own timestamp there.
func (l *Log) Read(r io.Reader) error {
	if l.byRequest == nil {
		l.byRequest = make(map[string][]Line)
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		text := scanner.Bytes()
		line, ok := parse(text)
		if !ok {
			l.Unread++
			continue
		}
		line.Text = string(text)
		l.Lines = append(l.Lines, line)
		if request := line.text("request"); request != "" {
			l.byRequest[request] = append(l.byRequest[request], line)
		}
	}
	sortByTime(l.Lines)
	if err := scanner.Err(); err != nil {
		return failure.Wrap(err, failure.Invalid, "read log", "")
	}
	return nil
}

func parse(text []byte) (line Line, ok bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &line.Fields) != nil {
		return line, false
	}
	line.Event = int(line.number("event"))
	at, err := time.Parse(time.RFC3339, line.text("time"))
	line.At = at
	return line, err == nil && line.Event != 0
}

// around returns the matching events from before ahead of at until after behind it.
func (l *Log) around(at time.Time, before, after time.Duration, matches func(Line) bool) (found []Line) {
	first := sort.Search(len(l.Lines), func(i int) bool { return !l.Lines[i].At.Before(at.Add(-before)) })
	for _, line := range l.Lines[first:] {
		if line.At.After(at.Add(after)) {
			break
		}
		if matches(line) {
			found = append(found, line)
		}
	}
	return found
}

// requestEvents returns the events that name the request, oldest first.
func (l *Log) requestEvents(request string) []Line {
	sortByTime(l.byRequest[request])
	return l.byRequest[request]
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}
