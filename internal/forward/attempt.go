package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	// minimumGateWait is how long a request that has waited long for its adapter may still wait to be admitted.
	minimumGateWait = 200 * time.Millisecond
	// maximumGateWait is how long a request waits at one gate; a sound server reads several prompts in that time.
	maximumGateWait = 700 * time.Millisecond
	// maximumGates bounds the gates at which one request waits.
	maximumGates = 3
	// attemptTargets, in latency objectives, and attemptShare of the remaining time bound the first send of an
	// idempotent request; the smaller one holds.
	attemptTargets = 3
	attemptShare   = 0.4
	// minimumAttemptTime covers the slowest requests of the sheets, 110 ms.
	minimumAttemptTime = 200 * time.Millisecond
	// suspectAfter is after how long without an answer a server is blamed when the caller leaves or the deadline
	// passes.
	suspectAfter = time.Second
	// maximumAttemptTime holds where neither the caller nor the route sets a bound.
	maximumAttemptTime = 5 * time.Minute
)

// wholeAnswerLimit bounds the answers that are held until they are whole; larger ones are passed on as they arrive.
const wholeAnswerLimit = 256 << 10

// attempt sends the request to a server. It returns true when the caller has its final answer.
func (j *job) attempt(candidate serverview.Candidate, version int) (done bool) {
	j.server = candidate.ID
	j.tried[candidate.ID] = true
	if j.service.Engine != nil {
		defer j.f.options.Usage.Begin(candidate.ID, j.request.Adapter)()
		read, ok := j.awaitGate(candidate)
		if !ok {
			j.inputs = event.Fields{"backlogMs": candidate.Backlog.Milliseconds(), "ageMs": candidate.Age.Milliseconds()}
			return j.leaveGate()
		}
		defer read()
		j.promptRead = read
	}
	now := time.Now()
	defer j.f.options.View.Begin(now, candidate.ID)()
	j.sends++
	j.sentAt = now
	ctx, cancel := context.WithTimeout(j.ctx, j.attemptTime())
	defer cancel()
	answer, written, err := j.send(ctx, candidate, serving.Attempt{
		ServerID: candidate.ID, Remaining: j.remaining(), Priority: j.priority(), AdapterVersion: version,
	})
	if err != nil {
		return j.sendFailed(now, candidate, written, err)
	}
	defer answer.Body.Close()
	return j.answered(candidate, answer)
}

// attemptTime bounds one send of an idempotent request, so that a server that went silent leaves time for another one.
func (j *job) attemptTime() time.Duration {
	remaining := j.remaining()
	if remaining == 0 {
		return maximumAttemptTime
	}
	if !j.route.Repeatable() || j.attempts+1 >= j.route.MaxAttempts {
		return remaining
	}
	return min(max(attemptTargets*j.route.TargetLatency, minimumAttemptTime), time.Duration(attemptShare*float64(remaining)))
}

// leaveGate handles a server whose gate stays closed: another one may hold the adapter or load it. It returns true when
// the caller has its final answer.
func (j *job) leaveGate() (done bool) {
	j.gatesLeft++
	if j.gatesLeft < maximumGates && time.Since(j.arrived) < j.patience() && j.ctx.Err() == nil {
		return false
	}
	j.giveUp(ReasonPromptsInLine)
	return true
}

// awaitGate waits until the server may be sent the prompt.
func (j *job) awaitGate(candidate serverview.Candidate) (read func(), ok bool) {
	patience := min(max(j.patience()-time.Since(j.arrived), minimumGateWait), maximumGateWait)
	read, ok = j.f.options.Gate.Await(j.ctx, candidate.ID, j.request.PromptTokens, j.route.Priority, patience)
	return sync.OnceFunc(read), ok
}

func (j *job) priority() int {
	if j.service.Engine == nil {
		return -1
	}
	return j.route.Priority
}

// send writes the request to a server and returns the answer's head. written is false when no byte was written.
func (j *job) send(ctx context.Context, candidate serverview.Candidate, attempt serving.Attempt) (answer *http.Response, written bool, err error) {
	trial := &upstream.Trial{}
	path, query, hasQuery := bytes.Cut([]byte(j.r.RequestURI), []byte("?"))
	request := &http.Request{
		Method: j.r.Method,
		// Opaque keeps the path as the caller wrote it.
		URL:        &url.URL{Scheme: "http", Host: candidate.Address, Opaque: string(path), RawQuery: string(query), ForceQuery: hasQuery},
		Host:       j.r.Host,
		Header:     j.f.options.Wire.ServerHeader(j.r.Header, j.request, attempt),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1,
		// A body that net/http can't rewind keeps it from sending the request twice by itself.
		Body:          io.NopCloser(bytes.NewReader(j.body)),
		ContentLength: int64(len(j.body)),
	}
	answer, err = j.f.options.Transport.RoundTrip(request.WithContext(trial.Traced(ctx, func() bool { return true })))
	if err != nil {
		return nil, trial.Written(), failure.Wrap(err, failure.Unavailable, "send request", candidate.Address)
	}
	return answer, true, nil
}

// sendFailed handles a server that gave no answer.
func (j *job) sendFailed(now time.Time, candidate serverview.Candidate, written bool, err error) (done bool) {
	if j.ctx.Err() != nil {
		j.attempts++
		return j.ranOut(candidate)
	}
	j.logFailedAttempt(candidate, written, err)
	if !written {
		j.f.options.View.Unreachable(now, candidate.ID)
		if j.sends >= maximumSends {
			j.giveUp(ReasonNoConnection)
			return true
		}
		return false
	}
	j.attempts++
	j.f.noteFailure(now, candidate.ID)
	if j.repeatable() && j.anotherAllowed() {
		return false
	}
	j.refuseUnknown(http.StatusBadGateway, ReasonNoAnswer)
	return true
}

// ranOut answers a request whose deadline passed or whose caller left while a server had it.
func (j *job) ranOut(candidate serverview.Candidate) bool {
	if time.Since(j.sentAt) > suspectAfter {
		j.f.noteFailure(time.Now(), candidate.ID)
	}
	if j.r.Context().Err() != nil {
		j.log(event.RequestRefused, ReasonCallerLeft, nil)
		panic(http.ErrAbortHandler)
	}
	j.refuseUnknown(http.StatusGatewayTimeout, reasonDeadlineAt+candidate.ID)
	return true
}

// repeatable reports whether the request may be sent again after it may have run.
func (j *job) repeatable() bool {
	return j.route.Repeatable() || j.route.Kind == serving.Stream && j.route.Resumable
}

// anotherAllowed reports whether the route, the deadline and the retry budget allow one more server.
func (j *job) anotherAllowed() bool {
	return j.attempts < j.route.MaxAttempts && j.sends < maximumSends && j.ctx.Err() == nil && j.mayRepeat()
}

func (f *Forwarder) noteFailure(now time.Time, server string) {
	if f.options.View.Failed(now, server) {
		f.options.Events.Emit(event.ServerEjected, event.Fields{"server": server})
	}
}

// answered handles the head of a server's answer.
func (j *job) answered(candidate serverview.Candidate, answer *http.Response) (done bool) {
	info := j.f.options.Wire.DecodeAnswer(answer)
	ofAnother := info.RequestID != "" && info.RequestID != j.request.ID
	switch {
	case ofAnother:
		return j.failedAnswer(candidate, "the answer belongs to another request")
	case info.NotRun:
		return j.notRun(candidate, answer, info)
	case !info.Genuine:
		return j.failedAnswer(candidate, "the answer carries no digest")
	case answer.StatusCode >= http.StatusInternalServerError:
		j.attempts++
		j.f.noteFailure(time.Now(), candidate.ID)
		if j.route.Repeatable() && j.anotherAllowed() {
			j.logFailedAttempt(candidate, true, failure.New(failure.Internal, "read answer", candidate.Address, "status "+strconv.Itoa(answer.StatusCode)))
			return false
		}
		return j.passWhole(candidate, answer)
	case j.route.Kind == serving.Stream && answer.StatusCode < http.StatusMultipleChoices:
		j.attempts++
		return j.passStream(candidate, answer)
	default:
		j.attempts++
		return j.passWhole(candidate, answer)
	}
}

// failedAnswer handles an answer that can't be passed on; the request may have run.
func (j *job) failedAnswer(candidate serverview.Candidate, reason string) (done bool) {
	j.attempts++
	j.f.noteFailure(time.Now(), candidate.ID)
	j.logFailedAttempt(candidate, true, failure.New(failure.Invalid, "read answer", candidate.Address, reason))
	if j.repeatable() && j.anotherAllowed() {
		return false
	}
	j.refuseUnknown(http.StatusBadGateway, reason)
	return true
}

// notRun handles a server that states that it didn't run the request.
func (j *job) notRun(candidate serverview.Candidate, answer *http.Response, info serving.AnswerInfo) (done bool) {
	reason := "the server refused the request with status " + strconv.Itoa(answer.StatusCode)
	j.logFailedAttempt(candidate, false, failure.New(failure.Refused, "read answer", candidate.Address, reason))
	if answer.StatusCode == http.StatusBadRequest {
		j.refuse(http.StatusBadRequest, reason, 0)
		return true
	}
	if info.Misdirected && !j.request.Adapter.IsZero() {
		j.f.options.View.Lacks(candidate.ID, j.request.Adapter)
	}
	if j.sends >= maximumSends || j.ctx.Err() != nil || !j.mayRepeat() {
		j.giveUp(reason)
		return true
	}
	if info.Misdirected {
		// The adapter may be loaded there while the request waits.
		delete(j.tried, candidate.ID)
	}
	return false
}

var errTooLarge = errors.New("the answer is too large to hold")

// passWhole passes on an answer that isn't a stream. It's held until it's whole, so that a broken one can be fetched
// from another server.
func (j *job) passWhole(candidate serverview.Candidate, answer *http.Response) (done bool) {
	body, err := readWhole(answer)
	if errors.Is(err, errTooLarge) {
		j.copyHeader(answer)
		j.w.WriteHeader(answer.StatusCode)
		j.pump(io.MultiReader(bytes.NewReader(body), answer.Body))
		j.logAnswer(candidate, answer.StatusCode, "passed on as it arrived")
		return true
	}
	if err != nil && j.ctx.Err() != nil {
		return j.ranOut(candidate)
	}
	if err != nil {
		j.attempts--
		return j.failedAnswer(candidate, "the answer broke off: "+err.Error())
	}
	if answer.StatusCode < http.StatusInternalServerError {
		j.f.options.View.Succeeded(candidate.ID)
	}
	j.copyHeader(answer)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(answer.StatusCode)
	_, err = j.w.Write(body)
	j.logAnswer(candidate, answer.StatusCode, outcomeOf(err))
	return true
}

func outcomeOf(err error) string {
	if err != nil {
		return ReasonCallerLeft
	}
	return "passed on whole"
}

func readWhole(answer *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeAnswerLimit))
	if err == nil && len(body) == wholeAnswerLimit {
		return body, errTooLarge
	}
	return body, err
}

// pump copies a large answer; one that breaks off must not look complete.
func (j *job) pump(body io.Reader) {
	if _, err := io.Copy(j.w, body); err != nil {
		j.log(event.RequestAnswered, "the answer broke off", err)
		panic(http.ErrAbortHandler)
	}
}

// copyHeader sets the caller's headers to the server's.
func (j *job) copyHeader(answer *http.Response) {
	header := j.w.Header()
	for name, values := range upstream.WithoutHopHeaders(answer.Header) {
		header[name] = values
	}
	if _, found := answer.Header["Content-Type"]; !found {
		// A nil value keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
}
