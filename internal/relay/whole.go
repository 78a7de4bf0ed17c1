package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

var errTooLarge = errors.New("the answer exceeds the bound")

// whole makes an attempt whose answer is not a stream.
func (c *Client) whole(ctx context.Context, request *Request) Result {
	ctx, done := context.WithTimeout(ctx, c.options.AnswerTimeout)
	defer done()
	response, result := c.open(ctx, request)
	if response == nil {
		return result
	}
	return c.readWhole(request, response)
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
		Status: response.StatusCode, Header: withoutHops(response.Header), Body: body,
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
