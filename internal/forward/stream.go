package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	// streamBuffer is the size of the read buffer of a stream.
	streamBuffer = 4 << 10
	// maximumEventBytes bounds one event of a stream; those of the specified workloads have some 200 bytes. Bytes that go on
	// without the end of an event are no answer.
	maximumEventBytes = 64 << 10
)

var idField = []byte("id:")

// forwardStream forwards a stream as it arrives. A stream that breaks off is resumed at another server if the route
// allows it; otherwise the caller's connection is aborted, so that the answer doesn't look complete.
func (j *job) forwardStream(candidate serverview.Candidate, answer *http.Response) (done bool) {
	j.recordOrigin(candidate)
	j.copyHeader(answer)
	j.w.WriteHeader(answer.StatusCode)
	s := &stream{
		w: j.w, flush: http.NewResponseController(j.w).Flush, resumable: j.route.Resumable, lastID: j.request.LastEventID,
		delimiter: upstream.DelimiterOf(answer), holding: j.f.options.Held.Hold(),
	}
	defer s.holding.Release()
	if j.releaseGate != nil {
		s.onFirstData = func() { j.releaseGate(true) }
	}
	s.onGap = func(gap time.Duration) { j.f.options.EventGaps.Record(j.service.Name, gap) }
	if j.f.options.StepTimes != nil && j.service.Engine != nil {
		s.onServerGap = func(now time.Time, gap time.Duration) { j.f.options.StepTimes(now, j.incarnation, gap) }
	}
	s.onData = func(now time.Time) { j.received(now, s) }
	err := s.copy(answer.Body)
	j.recordStreamEnd(s, err)
	for err != nil && j.resumable(s, err) {
		j.logFailedAttempt(candidate, true, err)
		j.f.recordFailure(time.Now(), candidate.ID)
		if j.releaseGate != nil {
			j.releaseGate(false)
		}
		j.giveUp(answer)
		candidate, err = j.resume(s)
	}
	if err != nil {
		j.logBroken(candidate, s, err)
		panic(http.ErrAbortHandler)
	}
	j.f.options.View.Succeeded(candidate.ID)
	j.f.options.Crashes.Answered(j.suspects())
	j.logAnswer(candidate, answer.StatusCode, "stream complete", s.fields(j.arrived))
	return true
}

func (j *job) logBroken(candidate serverview.Candidate, s *stream, err error) {
	reason := ReasonBrokeOff
	switch {
	case s.callerErr != nil || j.r.Context().Err() != nil:
		reason = "the caller left during the stream"
	case j.f.ending.Err() != nil:
		reason = ReasonStopping
	case j.ctx.Err() != nil:
		reason = "the deadline passed during the stream"
	default:
		j.f.recordFailure(time.Now(), candidate.ID)
	}
	j.log(event.RequestAnswered, reason, err, s.fields(j.arrived),
		event.Fields{"softwareVersion": candidate.SoftwareVersion, "promptParts": j.request.SharedParts})
}

// resumable reports whether a broken stream may be resumed at another server.
func (j *job) resumable(s *stream, err error) bool {
	return err != nil && s.callerErr == nil && j.ctx.Err() == nil && j.route.Resumable && s.lastID != "" &&
		!j.f.options.Crashes.Suspected(j.requestKeys()) && j.retryAllowed()
}

// resume continues the stream at another server of the same software version, after the last event sent to the caller.
func (j *job) resume(s *stream) (serverview.Candidate, error) {
	if !j.f.options.Crashes.Check(j.request.ID, j.suspects()).Allowed {
		return serverview.Candidate{}, errCrashing
	}
	candidate, found := j.reserveResident()
	if !found {
		return candidate, errNoServerToResume
	}
	if !j.chargeResumption() {
		j.reservation.cancel()
		return candidate, errQuota
	}
	if candidate.Brittle && j.service.Engine != nil {
		// The engine admits a resumed stream as any other request, so it must have room for it.
		release, ok := j.awaitGate(candidate)
		if !ok {
			j.reservation.cancel()
			return candidate, errNoRoomToResume
		}
		defer release(false)
		defer func() { s.onNextData = nil }()
		s.onNextData = func() { release(true) }
	}
	now := time.Now()
	j.sending(candidate, ResumingSend)
	j.sends++
	j.attempts++
	j.sentAt = now
	j.setServer(candidate)
	j.tried[candidate.ID] = true
	defer j.f.options.View.Begin(now, candidate.ID)()
	defer j.f.options.Usage.Begin(candidate.ID, j.request.Adapter)()
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	answer, written, err := j.send(ctx, candidate, serving.Attempt{
		ServerID: candidate.ID, Remaining: j.remaining(), Priority: j.priority(), LastEventID: s.lastID,
		Customer: j.customerName(), Authenticated: j.authenticated,
	})
	if err != nil {
		if written {
			j.recordBreak(err, j.request.SharedParts)
		}
		return candidate, err
	}
	defer answer.Body.Close()
	s.delimiter = upstream.DelimiterOf(answer)
	info := j.f.options.Wire.DecodeAnswer(answer)
	j.observe(candidate, answer, info)
	j.settleQuota(info)
	if answer.StatusCode != http.StatusOK || !info.HasDigest || !info.BelongsTo(j.request.ID) || !isEventStream(answer) {
		return candidate, errNotResumed
	}
	s.resumed, s.continued = true, false
	err = s.copy(answer.Body)
	j.recordStreamEnd(s, err)
	return candidate, err
}

var (
	errNoServerToResume = errors.New("no server can go on with the stream")
	errEventTooLarge    = errors.New("an event of the stream is too large")
	errCrashing         = errors.New(ReasonCrashing)
	errQuota            = errors.New(ReasonQuota)
	errNoRoomToResume   = errors.New("the server has no room to go on with the stream")
	errNotResumed       = errors.New("the server doesn't go on with the stream")
)

// stream copies a stream of events to the caller.
type stream struct {
	w     io.Writer
	flush func() error
	// resumable restricts the copy to complete events, so that the stream can be resumed after the last one.
	resumable bool
	// lastID is the ID of the last event sent to the caller.
	lastID string
	// ids are those of the events sent to the caller.
	ids eventIDs
	// resumed is true once another server goes on with the stream, and continued once its first event was checked.
	resumed, continued bool
	// partial is the received part of an incomplete event.
	partial []byte
	// holding is what partial takes of the node's memory for answers.
	holding *bytelimit.Holding
	// meter counts the bytes of the latest answer since the end of an event.
	meter eventMeter
	// delimiter is how the body of the latest answer is delimited.
	delimiter upstream.Delimiter
	// callerErr is the error of a write to the caller.
	callerErr error
	// onGap is called with the time between two arrivals.
	onGap func(gap time.Duration)
	// onServerGap is called with the time between two arrivals of the same answer; may be nil.
	onServerGap func(now time.Time, gap time.Duration)
	// onData is called whenever data arrives.
	onData func(now time.Time)
	// onFirstData is called when the first data arrives, which shows that the server has read the prompt; may be nil.
	onFirstData func()
	// onNextData is called when the next data arrives, as onFirstData is for the first data; may be nil.
	onNextData func()
	// firstAt and lastAt are the times of the first and latest arrival of data, longestPause the longest time between
	// two arrivals.
	firstAt, lastAt time.Time
	longestPause    time.Duration
	// begunAt is when the first data of the latest answer arrived; zero before that.
	begunAt time.Time
	// sound is true once the latest answer has gone on for earlyAnswer.
	sound bool
}

// recordArrival records the times to which the latency objectives apply.
func (s *stream) recordArrival(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
		if s.onFirstData != nil {
			s.onFirstData()
		}
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
		s.onGap(now.Sub(s.lastAt))
		if !s.begunAt.IsZero() && s.onServerGap != nil {
			s.onServerGap(now, now.Sub(s.lastAt))
		}
	}
	if s.onNextData != nil {
		s.onNextData()
		s.onNextData = nil
	}
	s.lastAt = now
	if s.begunAt.IsZero() {
		s.begunAt = now
	}
	s.onData(now)
}

// copy forwards body until it ends. It returns nil if the body is complete.
func (s *stream) copy(body io.Reader) error {
	s.partial = s.partial[:0]
	s.begunAt, s.sound, s.meter = time.Time{}, false, eventMeter{}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.recordArrival(time.Now())
			if s.meter.add(buffer[:n]) > maximumEventBytes {
				return errEventTooLarge
			}
			err := s.forward(buffer[:n])
			if errors.Is(err, errNoContinuation) || errors.Is(err, upstream.ErrNoMemory) {
				return err
			}
			if err != nil {
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

func (s *stream) forward(data []byte) error {
	if !s.resumable {
		return s.write(data)
	}
	searched := len(s.partial)
	s.partial = append(s.partial, data...)
	if !s.holding.Grow(cap(s.partial)) {
		return upstream.ErrNoMemory
	}
	end := upstream.EventsEnd(s.partial, searched)
	if end == 0 {
		return nil
	}
	complete := s.partial[:end]
	if s.resumed {
		if err := s.checkContinuation(complete); err != nil {
			return err
		}
	}
	if err := s.write(complete); err != nil {
		return err
	}
	s.updateLastID(complete)
	s.partial = append(s.partial[:0], s.partial[len(complete):]...)
	return nil
}

// finish forwards the data after the last complete event, once the body has ended normally.
func (s *stream) finish() error {
	if s.resumed && (!s.continued || len(s.partial) > 0) {
		return errNoContinuation
	}
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

// fields returns the log fields that show whether the stream met its latency objectives, and how its end was marked.
func (s *stream) fields(arrived time.Time) event.Fields {
	fields := event.Fields{"delimiter": s.delimiter}
	if !s.firstAt.IsZero() {
		fields["firstMs"] = s.firstAt.Sub(arrived).Milliseconds()
		fields["longestPauseMs"] = s.longestPause.Milliseconds()
	}
	return fields
}

// updateLastID records the ID of the last event among complete ones.
func (s *stream) updateLastID(complete []byte) {
	for line := range bytes.FieldsFuncSeq(complete, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			s.lastID = string(bytes.TrimSpace(rest))
			s.ids.note(s.lastID)
		}
	}
}
