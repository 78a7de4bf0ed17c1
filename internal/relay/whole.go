package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

var (
	errTooLarge   = errors.New("the answer exceeds the bound")
	errAnswerLost = errors.New("the answer did not arrive on the first connection")
)

// whole makes an attempt whose answer is not a stream. When the connection of a model call breaks or stays silent,
// the engine's stream for the request is followed on a new connection, and the answer is put together from it if
// the first connection doesn't bring it.
func (c *Client) whole(ctx context.Context, request *Request) Result {
	ctx, done := context.WithTimeout(ctx, c.options.AnswerTimeout)
	defer done()
	if request.LoadName == "" {
		return c.direct(ctx, request)
	}
	answers := make(chan Result, 1)
	go func() { answers <- c.direct(ctx, request) }()
	silence := time.NewTimer(c.options.AnswerSilence)
	defer silence.Stop()
	select {
	case result := <-answers:
		if !result.lost() || ctx.Err() != nil {
			return result
		}
		return c.recovered(ctx, request, result)
	case <-silence.C:
		return c.watched(ctx, request, answers)
	}
}

// lost reports whether the request may run and its answer didn't come.
func (r *Result) lost() bool {
	return r.Execution == Unknown && failure.CodeOf(r.Err) != WrongModel && failure.CodeOf(r.Err) != TooLarge
}

// direct sends the request and reads its answer on the same connection.
func (c *Client) direct(ctx context.Context, request *Request) Result {
	response, result := c.open(ctx, request)
	if response == nil {
		return result
	}
	return c.readWhole(request, response)
}

// watched waits for the answer on the first connection or in the engine's stream, whichever is complete first.
func (c *Client) watched(ctx context.Context, request *Request, answers <-chan Result) Result {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	streams := make(chan Result, 1)
	go func() { streams <- c.assembled(watching, request) }()
	select {
	case result := <-answers:
		if result.lost() && ctx.Err() == nil {
			return prefer(<-streams, result)
		}
		return result
	case result := <-streams:
		return c.afterStream(ctx, result, answers)
	}
}

// afterStream prefers the engine's own answer, which follows its stream at once unless its connection is dead.
func (c *Client) afterStream(ctx context.Context, stream Result, answers <-chan Result) Result {
	if !stream.Complete {
		return <-answers
	}
	own, done := context.WithTimeout(ctx, c.options.Silence)
	defer done()
	select {
	case result := <-answers:
		return prefer(result, stream)
	case <-own.Done():
		return stream
	}
}

// recovered tries to obtain a lost answer from the engine's stream.
func (c *Client) recovered(ctx context.Context, request *Request, result Result) Result {
	return prefer(c.assembled(ctx, request), result)
}

func prefer(first, second Result) Result {
	if first.Complete {
		return first
	}
	second.forgotten = second.forgotten || first.forgotten
	return second
}

// readWhole reads an answer and checks its model field.
func (c *Client) readWhole(request *Request, response *http.Response) Result {
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		code := Broken
		if errors.Is(err, errTooLarge) {
			code = TooLarge
		}
		return Result{Execution: Unknown, Err: failure.Wrap(err, code, "read answer", request.Address)}
	}
	if request.LoadName != "" && response.StatusCode == http.StatusNotFound && isNotLoaded(body) {
		return notRun(failure.New(NotLoaded, "read answer", request.Address, "adapter is not loaded"))
	}
	if request.LoadName != "" && response.StatusCode == http.StatusOK {
		body, err = renameModel(body, request)
		if err != nil {
			return Result{Execution: Unknown, Err: err}
		}
	}
	return Result{
		Execution: Ran, Complete: true,
		Status: response.StatusCode, Header: upstream.WithoutHopHeaders(response.Header), Body: body,
	}
}

func (c *Client) readBody(response *http.Response) ([]byte, error) {
	limit := int64(c.options.AnswerLimit)
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// isNotLoaded reports whether an error body carries the code "not_loaded", at the top or inside "error".
func isNotLoaded(body []byte) bool {
	type coded struct {
		Code any `json:"code"`
	}
	var answer struct {
		coded
		Error coded `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return false
	}
	return answer.Code == string(NotLoaded) || answer.Error.Code == string(NotLoaded)
}

// renameModel checks that the answer names the request's load and puts the caller's name in its place.
func renameModel(body []byte, request *Request) ([]byte, error) {
	fields, err := Fields(body)
	if err != nil {
		return nil, failure.Wrap(err, Broken, "check model", request.Address)
	}
	model, found := Find(fields, "model")
	if !found {
		return nil, failure.New(WrongModel, "check model", request.Address, "the answer names no model")
	}
	name, _ := model.Text(body)
	if name != request.LoadName {
		return nil, failure.New(WrongModel, "check model", request.Address,
			"the answer names "+name+" instead of "+request.LoadName)
	}
	return model.Replace(body, request.Model), nil
}
