// Package load sends requests to gateways and engines, verifies that each answer is complete and comes from the
// expected adapter version, and measures latencies.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// HeaderPriority names the priority class of a request to a gateway.
const HeaderPriority = "Waxwing-Priority"

const (
	executionNotRun    = "not_run"
	maximumAnswerBytes = 64 << 20
)

// Spec describes one request and the answer that is expected.
type Spec struct {
	Adapter string
	Version string
	// OtherVersion is a second version that may give the complete answer. If it is set, the request names no version.
	OtherVersion string
	Prompt       string
	MaxTokens    int
	Stream       bool
	// Priority is a priority class, or empty for the adapter's.
	Priority string
}

// Model returns the model name for a request to a gateway: adapter@version, or the adapter alone if either version may
// answer.
func (s Spec) Model() string {
	if s.OtherVersion != "" {
		return s.Adapter
	}
	return s.Adapter + "@" + s.Version
}

// versions returns the versions from which the answer may come.
func (s Spec) versions() []string {
	if s.OtherVersion == "" || s.OtherVersion == s.Version {
		return []string{s.Version}
	}
	return []string{s.Version, s.OtherVersion}
}

// allowsModel reports whether model, without its load number, is an allowed model name of an answer.
func (s Spec) allowsModel(model string) bool {
	if model == s.Adapter {
		return true
	}
	for _, version := range s.versions() {
		if model == s.Adapter+"@"+version {
			return true
		}
	}
	return false
}

// Verdict classifies the answer to one attempt.
type Verdict int

// Verdicts.
const (
	// Complete means that the answer is complete and correct.
	Complete Verdict = iota
	// NotRun means that the request was refused with the statement that it was not run, or that no connection could be
	// opened.
	NotRun
	// Broken means a failure that the caller can detect: an error or a connection that closed early.
	Broken
	// Mismatch means that the answer is wrong but signals no error.
	Mismatch
)

// Result is the result of one attempt.
type Result struct {
	Verdict Verdict
	// RetryAfter is set for NotRun. It is 0 if the answer contains no retry delay.
	RetryAfter time.Duration
	// Detail describes the problem.
	Detail string
	// FirstToken and Gaps are set for streams. Gaps are the times between consecutive tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	Total      time.Duration
}

// Caller sends requests and verifies their answers.
type Caller struct {
	transport *http.Transport
}

// NewCaller returns a caller that keeps up to connections idle connections to each peer.
func NewCaller(connections int) *Caller {
	return &Caller{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Do sends a request for model to address (ip:port) and verifies the answer. Gateways and engines use different model
// names for the same adapter version; the expected tokens are the same.
func (c *Caller) Do(ctx context.Context, address, model string, spec Spec) Result {
	request, err := newRequest(ctx, address, model, spec)
	if err != nil {
		return Result{Verdict: Mismatch, Detail: err.Error()}
	}
	start := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return connectionFailure(err)
	}
	defer response.Body.Close()
	var result Result
	switch {
	case response.StatusCode != http.StatusOK:
		result = readRefusal(response)
	case spec.Stream:
		result = readStream(response.Body, spec, start)
	default:
		result = readAnswer(response.Body, spec)
	}
	result.Total = time.Since(start)
	return result
}

func newRequest(ctx context.Context, address, model string, spec Spec) (*http.Request, error) {
	body, err := json.Marshal(completionRequest{
		Model: model, Prompt: spec.Prompt, MaxTokens: spec.MaxTokens, Stream: spec.Stream,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+vllm.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if spec.Priority != "" {
		request.Header.Set(HeaderPriority, spec.Priority)
	}
	return request, nil
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionAnswer struct {
	Model   string `json:"model"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// gatewayError is the error body of a gateway.
type gatewayError struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Execution    string `json:"execution"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	} `json:"error"`
}

func connectionFailure(err error) Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Result{Verdict: NotRun, Detail: err.Error()}
	}
	return Result{Verdict: Broken, Detail: err.Error()}
}

func readRefusal(response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return connectionFailure(err)
	}
	return parseRefusal(fmt.Sprintf("status %d", response.StatusCode), body)
}

func parseRefusal(source string, body []byte) Result {
	var answer gatewayError
	if err := json.Unmarshal(body, &answer); err != nil {
		return Result{Verdict: Broken, Detail: source + ": " + string(body)}
	}
	detail := fmt.Sprintf("%s: %s, execution %q: %s", source, answer.Error.Code, answer.Error.Execution, answer.Error.Message)
	if answer.Error.Execution != executionNotRun {
		return Result{Verdict: Broken, Detail: detail}
	}
	return Result{Verdict: NotRun, Detail: detail, RetryAfter: time.Duration(answer.Error.RetryAfterMs) * time.Millisecond}
}

func readAnswer(body io.Reader, spec Spec) Result {
	data, err := io.ReadAll(io.LimitReader(body, maximumAnswerBytes))
	if err != nil {
		return connectionFailure(err)
	}
	text, problem := parseChunk(data, spec)
	if problem != "" {
		return Result{Verdict: Mismatch, Detail: problem}
	}
	for _, sequence := range spec.sequences() {
		if text == sequence.Prefix(spec.MaxTokens) {
			return Result{Verdict: Complete}
		}
	}
	expected := spec.sequences()[0].Prefix(spec.MaxTokens)
	return Result{Verdict: Mismatch, Detail: fmt.Sprintf("%s: text is %q, expected %q", spec.Model(), text, expected)}
}

// sequences returns the token sequences of the allowed answers.
func (s Spec) sequences() []tokens.Sequence {
	var list []tokens.Sequence
	for _, version := range s.versions() {
		list = append(list, tokens.NewSequence(s.Adapter, version, s.Prompt))
	}
	return list
}

// streamState tracks the verification of one stream.
type streamState struct {
	spec Spec
	// expected are the sequences that match all tokens received so far.
	expected    []tokens.Sequence
	nextToken   int
	lastTokenAt time.Time
	result      Result
}

func readStream(body io.Reader, spec Spec, start time.Time) Result {
	state := &streamState{spec: spec, expected: spec.sequences(), lastTokenAt: start}
	reader := NewEventReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			state.result.Verdict, state.result.Detail = Broken, "stream ended early: "+err.Error()
			return state.result
		}
		switch {
		case event.Type == vllm.EventError:
			return parseRefusal("stream error", []byte(event.Data))
		case event.Data == vllm.Done:
			return state.verifyEnd(reader)
		case event.Data == "":
			continue
		}
		if problem := state.verifyToken(event); problem != "" {
			state.result.Verdict, state.result.Detail = Mismatch, problem
			return state.result
		}
	}
}

// verifyToken verifies one token and returns a description of the problem, or an empty string.
func (s *streamState) verifyToken(event Event) string {
	now := time.Now()
	if s.nextToken == 0 {
		s.result.FirstToken = now.Sub(s.lastTokenAt)
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	if event.ID != strconv.Itoa(s.nextToken) {
		return fmt.Sprintf("%s: token has number %q, expected %d", s.spec.Model(), event.ID, s.nextToken)
	}
	text, problem := parseChunk([]byte(event.Data), s.spec)
	if problem != "" {
		return problem
	}
	first := s.expected[0].Text(s.nextToken)
	s.expected = slices.DeleteFunc(s.expected, func(q tokens.Sequence) bool { return q.Text(s.nextToken) != text })
	if len(s.expected) == 0 {
		return fmt.Sprintf("%s: token %d is %q, expected %q", s.spec.Model(), s.nextToken, text, first)
	}
	s.nextToken++
	return ""
}

func (s *streamState) verifyEnd(reader *EventReader) Result {
	if s.nextToken != s.spec.MaxTokens {
		s.result.Verdict = Mismatch
		s.result.Detail = fmt.Sprintf("%s: stream is marked complete after %d of %d tokens", s.spec.Model(), s.nextToken, s.spec.MaxTokens)
		return s.result
	}
	if event, err := reader.Next(); err != io.EOF {
		s.result.Verdict = Mismatch
		s.result.Detail = fmt.Sprintf("%s: after the end of the stream: event %+v, error %v", s.spec.Model(), event, err)
	}
	return s.result
}

// parseChunk returns the text of an answer or event, or a description of the problem with its format or model. A
// gateway may return the model name of the request or that of the load.
func parseChunk(data []byte, spec Spec) (text, problem string) {
	var answer completionAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", fmt.Sprintf("%s: answer is not JSON: %v", spec.Model(), err)
	}
	model, _, _ := strings.Cut(answer.Model, "#")
	if !spec.allowsModel(model) {
		return "", fmt.Sprintf("%s: answer is from model %q", spec.Model(), answer.Model)
	}
	if len(answer.Choices) != 1 {
		return "", fmt.Sprintf("%s: answer has %d choices", spec.Model(), len(answer.Choices))
	}
	return answer.Choices[0].Text, ""
}
