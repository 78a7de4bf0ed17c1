package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/failure"
)

const (
	doneData = "[DONE]"
	// maximumDrainBytes bounds what is read after the end of a stream.
	maximumDrainBytes = 4 << 10
)

// none is the number before the first token. Engines number from 0 or from 1.
const none int64 = -1

// flow is the state of one stream over all its connections.
type flow struct {
	client  *Client
	request *Request
	sink    Sink
	// last is the number of the last event that was passed on.
	last int64
	// skipped is the number before which the last connection left out numbers, and sparse is true once a resume has shown
	// that the engine does so by itself, as when one event carries several tokens.
	skipped int64
	sparse  bool
	// unnumbered is the last event without a number that was passed on; a resumed stream may repeat it.
	unnumbered string
	// idle counts the connections in a row that brought nothing new.
	idle   int
	result Result
}

// end says why a connection of a stream is over.
type end int

const (
	// more means that the connection is not over.
	more end = iota
	// finished means that the engine's stream ended with [DONE].
	finished
	// interrupted means that the connection broke, was silent, or left out a token: the stream may be resumed.
	interrupted
	// failed means that the stream can't go on.
	failed
)

// stream makes an attempt whose answer is a stream.
func (c *Client) stream(ctx context.Context, request *Request, sink Sink) Result {
	f := &flow{client: c, request: request, sink: sink, last: none, skipped: none}
	link := c.link(ctx)
	response, result := c.open(link.ctx, request)
	if response == nil && (result.Execution == NotRun || ctx.Err() != nil) {
		link.close()
		return f.lost(ctx, result)
	}
	if response != nil && !isEventStream(response) {
		link.extend(c.options.AnswerTimeout)
		defer link.close()
		return f.notAStream(response)
	}
	f.result.Execution = Unknown
	return f.follow(ctx, link, response, result.Err)
}

// lost turns the end of the caller's context into its own code.
func (f *flow) lost(ctx context.Context, result Result) Result {
	if ctx.Err() != nil {
		result.Err = failure.Wrap(ctx.Err(), CallerGone, "relay stream", f.request.Address)
	}
	return result
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// notAStream handles an engine that answers a streaming request with a whole answer, as it does for errors.
func (f *flow) notAStream(response *http.Response) Result {
	result := f.client.readWhole(f.request, response)
	if result.Complete && result.Status == http.StatusOK {
		return Result{Execution: Unknown, Err: failure.New(Broken, "open stream", f.request.Address, "the answer is no stream")}
	}
	return result
}

// follow reads the stream from one connection after the other until it ends or can't go on.
func (f *flow) follow(ctx context.Context, link *link, response *http.Response, cause error) Result {
	for {
		reached := interrupted
		if response != nil {
			before := f.last
			reached, cause = f.consume(link, response.Body)
			if reached == finished {
				go drain(link, response.Body)
				return f.complete()
			}
			_ = response.Body.Close()
			if f.last > before {
				f.idle = 0
			}
		}
		link.close()
		switch {
		case ctx.Err() != nil:
			return f.lost(ctx, f.result)
		case reached == failed:
			f.result.Err = cause
			return f.result
		}
		link, response, cause = f.reconnect(ctx, cause)
		if link == nil {
			f.result.Err = failure.Wrap(cause, Broken, "resume stream", f.request.Address)
			f.result.forgotten = errors.Is(cause, errNotResumable)
			return f.lost(ctx, f.result)
		}
	}
}

func (f *flow) complete() Result {
	f.result.Complete, f.result.Execution = true, Ran
	f.result.Status, f.result.Header = http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}
	return f.result
}

// drain reads what follows the end of a stream, so that the connection can be used again.
func drain(link *link, body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maximumDrainBytes)
	_ = body.Close()
	link.close()
}

var (
	errNotResumable = errors.New("the engine doesn't know the request any more")
	errResumeLimit  = errors.New("too many resumes in a row brought nothing new")
)

// reconnect opens the next connection. It returns no link when the stream can't be resumed.
func (f *flow) reconnect(ctx context.Context, cause error) (*link, *http.Response, error) {
	for f.idle < f.client.options.ResumeLimit {
		f.idle++
		link := f.client.link(ctx)
		response, err := f.client.resume(link.ctx, f.request, f.last)
		if err == nil && isEventStream(response) {
			return link, response, nil
		}
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone {
				link.close()
				return nil, nil, errors.Join(errNotResumable, cause)
			}
			err = errors.New("resume was answered with " + response.Status)
		}
		cause = err
		link.close()
		if !delay.For(ctx, min(resumePause*time.Duration(f.idle), maximumResumePause)) {
			return nil, nil, ctx.Err()
		}
	}
	return nil, nil, errors.Join(errResumeLimit, cause)
}

// consume passes the events of one connection on.
func (f *flow) consume(link *link, body io.Reader) (end, error) {
	events := NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, ErrEventTooLarge) {
			return failed, failure.Wrap(err, Broken, "read stream", f.request.Address)
		}
		if err != nil {
			return interrupted, err
		}
		link.pause()
		reached, err := f.take(event)
		link.extend(f.client.options.Silence)
		if reached != more {
			return reached, err
		}
	}
}

var errGap = errors.New("the engine's stream left out a token")

// take handles one event.
func (f *flow) take(event ServerEvent) (end, error) {
	if string(event.Data) == doneData {
		return f.done()
	}
	number, own := f.number(event)
	if !own || (event.HasID && number <= f.last) {
		return more, nil
	}
	if event.HasID && !f.isNext(number) {
		f.skipped = number
		return interrupted, errGap
	}
	fields, err := Fields(event.Data)
	if err != nil {
		return failed, failure.Wrap(err, Broken, "read stream", f.request.Address)
	}
	if _, found := Find(fields, "error"); found || event.Name == "error" {
		return failed, failure.New(Broken, "read stream", f.request.Address, "the engine's stream ended with an error")
	}
	if f.isForeign(fields, event.Data) || (!event.HasID && f.unnumbered == string(event.Data)) {
		return more, nil
	}
	data, err := renameModel(event.Data, f.request)
	if err != nil {
		return failed, err
	}
	if event.HasID {
		f.last = number
		return f.pass(eventText(strconv.FormatInt(number, 10), data))
	}
	f.unnumbered = string(event.Data)
	return f.pass(eventText("", data))
}

// done ends the stream. An engine that sends no token at all has not answered: its model was never checked.
func (f *flow) done() (end, error) {
	if !f.result.Started {
		return failed, failure.New(Broken, "read stream", f.request.Address, "the engine's stream is empty")
	}
	if reached, err := f.pass(eventText("", []byte(doneData))); reached == failed {
		return reached, err
	}
	return finished, nil
}

// isNext reports whether number follows the last one. The first may be 0 or 1. A number that is left out was lost on
// the way, unless a resume leaves it out again.
func (f *flow) isNext(number int64) bool {
	f.sparse = f.sparse || number == f.skipped
	if f.sparse {
		return true
	}
	if f.last == none {
		return number <= 1
	}
	return number == f.last+1
}

// number returns the token number in the event's id, which is "number", "attempt:number" or "attempt/number", and
// whether the event belongs to this attempt.
func (f *flow) number(event ServerEvent) (int64, bool) {
	if !event.HasID {
		return 0, true
	}
	digits := event.ID
	if cut := strings.LastIndexAny(digits, ":/"); cut >= 0 {
		if digits[:cut] != f.request.Attempt {
			return 0, false
		}
		digits = digits[cut+1:]
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil && number >= 0
}

// isForeign reports whether the chunk's id names another attempt. vLLM makes it of a prefix, "-" and X-Request-Id,
// which is a UUID here; an id without a UUID says nothing.
func (f *flow) isForeign(fields []Field, data []byte) bool {
	field, found := Find(fields, "id")
	if !found {
		return false
	}
	id, _ := field.Text(data)
	if strings.Contains(id, f.request.Attempt) {
		return false
	}
	_, rest, cut := strings.Cut(id, "-")
	return uuid.Validate(id) == nil || (cut && uuid.Validate(rest) == nil)
}

func eventText(id string, data []byte) []byte {
	text := make([]byte, 0, len(id)+len(data)+len("id: \ndata: \n\n"))
	if id != "" {
		text = append(text, "id: "...)
		text = append(text, id...)
		text = append(text, '\n')
	}
	for i, line := range strings.Split(string(data), "\n") {
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, "data: "...)
		text = append(text, line...)
	}
	return append(text, "\n\n"...)
}

// pass hands one event to the sink. A caller that is gone ends the stream of an idempotent request only.
func (f *flow) pass(text []byte) (end, error) {
	f.result.Started = true
	if err := f.sink.Write(text); err != nil && f.request.Idempotent {
		return failed, failure.Wrap(err, CallerGone, "write to caller", "")
	}
	if f.request.Idempotent {
		return more, nil
	}
	if len(f.result.Body)+len(text) > f.client.options.AnswerLimit {
		f.result.Body, f.result.BodyLost = nil, true
	}
	if !f.result.BodyLost {
		f.result.Body = append(f.result.Body, text...)
	}
	return more, nil
}

// link is one connection of a stream. It's cut when no data arrives for a while.
type link struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func (c *Client) link(ctx context.Context) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{ctx: ctx, cancel: cancel, timer: time.AfterFunc(c.options.Silence, cancel)}
}

// extend allows another period without data.
func (l *link) extend(period time.Duration) { l.timer.Reset(period) }

// pause keeps the time that a slow caller takes from counting as the engine's silence.
func (l *link) pause() { l.timer.Stop() }

func (l *link) close() {
	l.timer.Stop()
	l.cancel()
}
