package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// streamBuffer holds the events that arrive in one read.
const streamBuffer = 4 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// passStream passes on a stream event by event. A stream that breaks off goes on at another server where the route
// allows it; else the caller's connection is broken, so that the answer doesn't look complete.
func (j *job) passStream(candidate serverview.Candidate, answer *http.Response) (done bool) {
	j.copyHeader(answer)
	j.w.WriteHeader(answer.StatusCode)
	s := &stream{
		w: j.w, flush: http.NewResponseController(j.w).Flush, resumable: j.route.Resumable, lastID: j.request.LastEventID,
		began: j.promptRead,
	}
	s.heard = func(now time.Time) { j.f.options.View.Heard(now, j.server) }
	err := s.copy(answer.Body)
	for err != nil && j.resumable(s, err) {
		j.logFailedAttempt(candidate, true, err)
		j.f.noteFailure(time.Now(), candidate.ID)
		candidate, err = j.resume(s)
	}
	if err != nil {
		j.logBroken(candidate, s, err)
		panic(http.ErrAbortHandler)
	}
	j.f.options.View.Succeeded(candidate.ID)
	j.logAnswer(candidate, answer.StatusCode, "stream complete", s.times(j.arrived))
	return true
}

func (j *job) logBroken(candidate serverview.Candidate, s *stream, err error) {
	reason := ReasonBrokeOff
	switch {
	case s.callerErr != nil || j.r.Context().Err() != nil:
		reason = "the caller left during the stream"
	case j.ctx.Err() != nil:
		reason = "the deadline passed during the stream"
	default:
		j.f.noteFailure(time.Now(), candidate.ID)
	}
	j.log(event.RequestAnswered, reason, err)
}

// resumable reports whether the broken stream may go on at another server.
func (j *job) resumable(s *stream, err error) bool {
	return err != nil && s.callerErr == nil && j.ctx.Err() == nil && j.route.Resumable && s.lastID != "" && j.anotherAllowed()
}

// resume lets another server go on after the last event that the caller got.
func (j *job) resume(s *stream) (serverview.Candidate, error) {
	now := time.Now()
	candidates := j.f.options.View.Candidates(now, j.service.Name, j.request.Adapter)
	candidate, found := j.pickResident(candidates)
	if !found {
		return candidate, errNoServerToResume
	}
	j.sends++
	j.attempts++
	j.server = candidate.ID
	j.tried[candidate.ID] = true
	defer j.f.options.View.Begin(now, candidate.ID)()
	defer j.f.options.Usage.Begin(candidate.ID, j.request.Adapter)()
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	answer, _, err := j.send(ctx, candidate, serving.Attempt{
		ServerID: candidate.ID, Remaining: j.remaining(), Priority: j.priority(), LastEventID: s.lastID,
	})
	if err != nil {
		return candidate, err
	}
	defer answer.Body.Close()
	info := j.f.options.Wire.DecodeAnswer(answer)
	if answer.StatusCode != http.StatusOK || !info.Genuine || info.RequestID != "" && info.RequestID != j.request.ID {
		return candidate, errNotResumed
	}
	return candidate, s.copy(answer.Body)
}

var (
	errNoServerToResume = errors.New("no server can go on with the stream")
	errNotResumed       = errors.New("the server doesn't go on with the stream")
)

// stream copies events to the caller.
type stream struct {
	w     io.Writer
	flush func() error
	// resumable makes it pass on whole events only, so that another run can go on after the last one.
	resumable bool
	lastID    string
	partial   []byte
	callerErr error
	// heard is called at each arrival.
	heard func(now time.Time)
	// began is called at the first event, when the server has read the prompt; may be nil.
	began func()
	// firstAt and lastAt are when the first and the latest bytes arrived, longestPause the longest time between two.
	firstAt, lastAt time.Time
	longestPause    time.Duration
}

// noteArrival keeps the times that a caller's latency objectives are about.
func (s *stream) noteArrival(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
		if s.began != nil {
			s.began()
		}
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.heard(now)
}

// copy passes on body until it ends. It returns nil when the body is complete.
func (s *stream) copy(body io.Reader) error {
	s.partial = s.partial[:0]
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.noteArrival(time.Now())
			if err := s.pass(buffer[:n]); err != nil {
				s.callerErr = err
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return err
		}
	}
}

func (s *stream) pass(data []byte) error {
	if !s.resumable {
		return s.write(data)
	}
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, eventEnd)
	if end < 0 {
		return nil
	}
	whole := s.partial[:end+len(eventEnd)]
	if err := s.write(whole); err != nil {
		return err
	}
	s.noteLastID(whole)
	s.partial = append(s.partial[:0], s.partial[len(whole):]...)
	return nil
}

// finish passes on what follows the last whole event of a complete body.
func (s *stream) finish() error {
	if len(s.partial) == 0 {
		return nil
	}
	return s.write(s.partial)
}

func (s *stream) write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flush()
}

// times returns what decides whether the stream met its latency objectives.
func (s *stream) times(arrived time.Time) event.Fields {
	return event.Fields{
		"firstMs": s.firstAt.Sub(arrived).Milliseconds(), "longestPauseMs": s.longestPause.Milliseconds(),
	}
}

// noteLastID keeps the ID of the last event in whole.
func (s *stream) noteLastID(whole []byte) {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			s.lastID = string(bytes.TrimSpace(rest))
		}
	}
}
