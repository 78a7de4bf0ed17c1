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
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	doneData = "[DONE]"
	// maximumDrainBytes bounds the number of bytes read after the end of a stream.
	maximumDrainBytes = 4 << 10
)

// noToken is the last token number before the first token. Engines number tokens from 0 or from 1.
const noToken int64 = -1

// streamRelay forwards one stream, which may span several connections.
type streamRelay struct {
	client  *Client
	request *Request
	sink    Sink
	// last is the number of the last event that was forwarded.
	last int64
	// gapBefore is the number that followed a gap on the last connection. sparse is true once a resume has shown the
	// same gap, so that the gap is the engine's own numbering, as when one event contains several tokens.
	gapBefore int64
	sparse    bool
	// lastUnnumbered is the data of the last event without a number that was forwarded. A resumed stream may repeat it.
	lastUnnumbered string
	// emptyResumes counts consecutive resumes without a new event.
	emptyResumes int
	result       Result
}

// streamState is the state of a stream after an event or at the end of a connection.
type streamState int

const (
	// open means that more events are to be read from the connection.
	open streamState = iota
	// finished means that the engine's stream ended with [DONE].
	finished
	// interrupted means that the connection broke, was idle for too long, or left out a token. The stream may be
	// resumed.
	interrupted
	// failed means that the stream can't be continued.
	failed
)

// stream makes an attempt whose answer is expected to be a stream.
func (c *Client) stream(ctx context.Context, request *Request, sink Sink) Result {
	s := &streamRelay{client: c, request: request, sink: sink, last: noToken, gapBefore: noToken}
	conn := c.newStreamConn(ctx)
	response, result := c.open(conn.ctx, request)
	if response == nil && (result.Execution == NotRun || ctx.Err() != nil) {
		conn.close()
		return s.withCallerError(ctx, result)
	}
	if response != nil && !isEventStream(response) {
		conn.resetIdleTimer(c.options.AnswerTimeout)
		defer conn.close()
		return s.handleNonStream(response)
	}
	s.result.Execution = Unknown
	return s.follow(ctx, conn, response, result.Err)
}

// withCallerError sets an error with the code for a disconnected caller in result if the caller's context has ended.
func (s *streamRelay) withCallerError(ctx context.Context, result Result) Result {
	if ctx.Err() != nil {
		result.Err = failure.Wrap(ctx.Err(), CallerDisconnected, "relay stream", s.request.Address)
	}
	return result
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && upstream.MediaType(response.Header, "") == upstream.EventStream
}

// handleNonStream handles a response to a streaming request that is not a stream, as engines send for errors.
func (s *streamRelay) handleNonStream(response *http.Response) Result {
	result := s.client.readNonStreaming(s.request, response)
	if result.Complete && result.Status == http.StatusOK {
		return Result{Execution: Unknown, Err: failure.New(AnswerBroken, "open stream", s.request.Address, "the answer is no stream")}
	}
	return result
}

// follow forwards the stream, reconnecting after interruptions, until it ends or can't be continued. A nil response
// means that the first connection failed because of cause.
func (s *streamRelay) follow(ctx context.Context, conn *streamConn, response *http.Response, cause error) Result {
	for {
		state := interrupted
		if response != nil {
			before := s.last
			state, cause = s.consume(conn, response.Body)
			if state == finished {
				go drain(conn, response.Body)
				return s.complete()
			}
			_ = response.Body.Close()
			if s.last > before {
				s.emptyResumes = 0
			}
		}
		conn.close()
		switch {
		case ctx.Err() != nil:
			return s.withCallerError(ctx, s.result)
		case state == failed:
			s.result.Err = cause
			return s.result
		}
		conn, response, cause = s.reconnect(ctx, cause)
		if conn == nil {
			s.result.Err = failure.Wrap(cause, AnswerBroken, "resume stream", s.request.Address)
			s.result.notResumable = errors.Is(cause, errNotResumable)
			return s.withCallerError(ctx, s.result)
		}
	}
}

func (s *streamRelay) complete() Result {
	s.result.Complete, s.result.Execution = true, Ran
	s.result.Status, s.result.Header = http.StatusOK, http.Header{"Content-Type": {upstream.EventStream}}
	return s.result
}

// drain reads what follows the end of a stream, so that the connection can be reused.
func drain(conn *streamConn, body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maximumDrainBytes)
	_ = body.Close()
	conn.close()
}

var (
	errNotResumable = errors.New("the engine doesn't know the request any more")
	errResumeLimit  = errors.New("too many resumes in a row brought nothing new")
)

// reconnect resumes the stream on a new connection. It returns no connection if the stream can't be resumed.
func (s *streamRelay) reconnect(ctx context.Context, cause error) (*streamConn, *http.Response, error) {
	for s.emptyResumes < s.client.options.ResumeLimit {
		s.emptyResumes++
		conn := s.client.newStreamConn(ctx)
		response, err := s.client.resume(conn.ctx, s.request, s.last)
		if err == nil && isEventStream(response) {
			return conn, response, nil
		}
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone {
				conn.close()
				return nil, nil, errors.Join(errNotResumable, cause)
			}
			err = errors.New("resume was answered with " + response.Status)
		}
		cause = err
		conn.close()
		if !delay.For(ctx, min(resumeBackoff*time.Duration(s.emptyResumes), maximumResumeBackoff)) {
			return nil, nil, ctx.Err()
		}
	}
	return nil, nil, errors.Join(errResumeLimit, cause)
}

// consume forwards the events of one connection.
func (s *streamRelay) consume(conn *streamConn, body io.Reader) (streamState, error) {
	events := NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, ErrEventTooLarge) {
			return failed, failure.Wrap(err, AnswerBroken, "read stream", s.request.Address)
		}
		if err != nil {
			return interrupted, err
		}
		conn.stopIdleTimer()
		state, err := s.handleEvent(event)
		conn.resetIdleTimer(s.client.options.StreamIdleTimeout)
		if state != open {
			return state, err
		}
	}
}

var errGap = errors.New("the engine's stream left out a token")

// handleEvent checks one event and forwards it, unless it is a repetition or belongs to another attempt.
func (s *streamRelay) handleEvent(event ServerEvent) (streamState, error) {
	if string(event.Data) == doneData {
		return s.handleDone()
	}
	number, sameAttempt := s.tokenNumber(event)
	if !sameAttempt || (event.HasID && number <= s.last) {
		return open, nil
	}
	if event.HasID && !s.isNext(number) {
		s.gapBefore = number
		return interrupted, errGap
	}
	fields, err := Fields(event.Data)
	if err != nil {
		return failed, failure.Wrap(err, AnswerBroken, "read stream", s.request.Address)
	}
	if _, found := Find(fields, "error"); found || event.Name == "error" {
		return failed, failure.New(AnswerBroken, "read stream", s.request.Address, "the engine's stream ended with an error")
	}
	if s.isOtherAttempt(fields, event.Data) || (!event.HasID && s.lastUnnumbered == string(event.Data)) {
		return open, nil
	}
	data, err := renameModel(event.Data, s.request)
	if err != nil {
		return failed, err
	}
	if event.HasID {
		s.last = number
		return s.writeEvent(formatEvent(strconv.FormatInt(number, 10), data))
	}
	s.lastUnnumbered = string(event.Data)
	return s.writeEvent(formatEvent("", data))
}

// handleDone handles the [DONE] event. A stream without any other event is an error, as its model was never checked.
func (s *streamRelay) handleDone() (streamState, error) {
	if !s.result.Started {
		return failed, failure.New(AnswerBroken, "read stream", s.request.Address, "the engine's stream is empty")
	}
	if state, err := s.writeEvent(formatEvent("", []byte(doneData))); state == failed {
		return state, err
	}
	return finished, nil
}

// isNext reports whether number follows the last one. The first may be 0 or 1. A gap in the numbers means that an event
// is missing, unless a resume shows the same gap again.
func (s *streamRelay) isNext(number int64) bool {
	s.sparse = s.sparse || number == s.gapBefore
	if s.sparse {
		return true
	}
	if s.last == noToken {
		return number <= 1
	}
	return number == s.last+1
}

// tokenNumber returns the token number in the event's ID, which has the form "number", "attempt:number" or
// "attempt/number", and whether the event belongs to this attempt.
func (s *streamRelay) tokenNumber(event ServerEvent) (int64, bool) {
	if !event.HasID {
		return 0, true
	}
	digits := event.ID
	if cut := strings.LastIndexAny(digits, ":/"); cut >= 0 {
		if digits[:cut] != s.request.Attempt {
			return 0, false
		}
		digits = digits[cut+1:]
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil && number >= 0
}

// isOtherAttempt reports whether the chunk's ID names another attempt. vLLM builds the ID from a prefix, "-" and the
// X-Request-Id header, which contains a UUID here. An ID without a UUID doesn't identify an attempt.
func (s *streamRelay) isOtherAttempt(fields []Field, data []byte) bool {
	field, found := Find(fields, "id")
	if !found {
		return false
	}
	id, _ := field.Text(data)
	if strings.Contains(id, s.request.Attempt) {
		return false
	}
	_, rest, cut := strings.Cut(id, "-")
	return uuid.Validate(id) == nil || (cut && uuid.Validate(rest) == nil)
}

// formatEvent returns the text of a server-sent event.
func formatEvent(id string, data []byte) []byte {
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

// writeEvent writes one event to the sink and records it if the request is non-idempotent. A write error ends the
// stream of an idempotent request only.
func (s *streamRelay) writeEvent(text []byte) (streamState, error) {
	s.result.Started = true
	if err := s.sink.Write(text); err != nil && s.request.Idempotent {
		return failed, failure.Wrap(err, CallerDisconnected, "write to caller", "")
	}
	if s.request.Idempotent {
		return open, nil
	}
	if len(s.result.Body)+len(text) > s.client.options.AnswerLimit {
		s.result.Body, s.result.BodyDropped = nil, true
	}
	if !s.result.BodyDropped {
		s.result.Body = append(s.result.Body, text...)
	}
	return open, nil
}

// streamConn is one connection of a stream. It is cancelled when its idle timer expires.
type streamConn struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func (c *Client) newStreamConn(ctx context.Context) *streamConn {
	ctx, cancel := context.WithCancel(ctx)
	return &streamConn{ctx: ctx, cancel: cancel, timer: time.AfterFunc(c.options.StreamIdleTimeout, cancel)}
}

// resetIdleTimer restarts the idle timer with the given period.
func (c *streamConn) resetIdleTimer(period time.Duration) { c.timer.Reset(period) }

// stopIdleTimer stops the idle timer while an event is written, so that a slow caller doesn't count as an idle engine.
func (c *streamConn) stopIdleTimer() { c.timer.Stop() }

func (c *streamConn) close() {
	c.timer.Stop()
	c.cancel()
}
