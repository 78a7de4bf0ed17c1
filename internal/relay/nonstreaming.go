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
	errTooLarge          = errors.New("the answer exceeds the bound")
	errAnswerNotReceived = errors.New("the answer did not arrive on the first connection")
)

// nonStreaming makes an attempt whose answer is not a stream. If the connection of a model call breaks or is idle for
// too long, the engine's stream for the request is read on a new connection, and the answer is assembled from it unless
// it arrives on the first connection.
func (c *Client) nonStreaming(ctx context.Context, request *Request) Result {
	ctx, done := context.WithTimeout(ctx, c.options.AnswerTimeout)
	defer done()
	if request.LoadName == "" {
		return c.sendAndRead(ctx, request)
	}
	answers := make(chan Result, 1)
	go func() { answers <- c.sendAndRead(ctx, request) }()
	idleTimer := time.NewTimer(c.options.AnswerIdleTimeout)
	defer idleTimer.Stop()
	select {
	case result := <-answers:
		if !result.answerMissing() || ctx.Err() != nil {
			return result
		}
		return c.recoverFromStream(ctx, request, result)
	case <-idleTimer.C:
		return c.awaitAnswerOrStream(ctx, request, answers)
	}
}

// answerMissing reports whether the request may run or have run, and its answer was not received.
func (r *Result) answerMissing() bool {
	return r.Execution == Unknown && failure.CodeOf(r.Err) != WrongModel && failure.CodeOf(r.Err) != TooLarge
}

// sendAndRead sends the request and reads its answer on the same connection.
func (c *Client) sendAndRead(ctx context.Context, request *Request) Result {
	response, result := c.open(ctx, request)
	if response == nil {
		return result
	}
	return c.readNonStreaming(request, response)
}

// awaitAnswerOrStream waits for the answer on the first connection and in the engine's stream, whichever completes
// first.
func (c *Client) awaitAnswerOrStream(ctx context.Context, request *Request, answers <-chan Result) Result {
	streamCtx, stop := context.WithCancel(ctx)
	defer stop()
	streams := make(chan Result, 1)
	go func() { streams <- c.assembleFromStream(streamCtx, request) }()
	select {
	case result := <-answers:
		if result.answerMissing() && ctx.Err() == nil {
			return preferComplete(<-streams, result)
		}
		return result
	case result := <-streams:
		return c.awaitOwnAnswer(ctx, result, answers)
	}
}

// awaitOwnAnswer waits up to the idle timeout for the engine's own answer after its stream has ended, and prefers it to
// the assembled one. The engine sends it immediately after the stream, so it arrives unless the first connection is
// broken. If the stream is incomplete, it waits for the answer without that limit.
func (c *Client) awaitOwnAnswer(ctx context.Context, stream Result, answers <-chan Result) Result {
	if !stream.Complete {
		return <-answers
	}
	ownCtx, done := context.WithTimeout(ctx, c.options.StreamIdleTimeout)
	defer done()
	select {
	case result := <-answers:
		return preferComplete(result, stream)
	case <-ownCtx.Done():
		return stream
	}
}

// recoverFromStream tries to assemble a missing answer from the engine's stream.
func (c *Client) recoverFromStream(ctx context.Context, request *Request, result Result) Result {
	return preferComplete(c.assembleFromStream(ctx, request), result)
}

// preferComplete returns first if it is complete, and otherwise second.
func preferComplete(first, second Result) Result {
	if first.Complete {
		return first
	}
	second.notResumable = second.notResumable || first.notResumable
	return second
}

// readNonStreaming reads an answer that is not a stream and checks its model field.
func (c *Client) readNonStreaming(request *Request, response *http.Response) Result {
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		code := AnswerBroken
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

// isNotLoaded reports whether an error body has the code "not_loaded", at the top level or inside "error".
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

// renameModel checks that the answer names the request's load, and replaces that name by the caller's model name.
func renameModel(body []byte, request *Request) ([]byte, error) {
	fields, err := Fields(body)
	if err != nil {
		return nil, failure.Wrap(err, AnswerBroken, "check model", request.Address)
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
