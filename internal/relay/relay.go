// Package relay makes a single attempt of a request on a backend server: it sends the request, forwards the answer,
// resumes a broken stream, and reports whether the request ran.
package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// Execution says whether a request ran.
type Execution string

// The executions.
const (
	// NotRun means that the request certainly did not run.
	NotRun Execution = "not_run"
	// Ran means that the request certainly ran.
	Ran Execution = "ran"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
)

// Codes of failed attempts.
const (
	// NotLoaded means that the engine has not loaded the adapter under the load's name.
	NotLoaded failure.Code = "not_loaded"
	// WrongModel means that the answer names another load than the request, or none.
	WrongModel failure.Code = "wrong_model"
	// TooLarge means that the answer exceeds Options.AnswerLimit.
	TooLarge failure.Code = "answer_too_large"
	// AnswerBroken means that the answer is incomplete and could not be resumed, or is not valid.
	AnswerBroken failure.Code = "answer_broken"
	// PermitEnded means that the permit ended before the request was written to the server.
	PermitEnded failure.Code = "permit_ended"
	// CallerDisconnected means that the caller closed its connection.
	CallerDisconnected failure.Code = "caller_gone"
)

// Request is one attempt.
type Request struct {
	// Attempt is the ID of the attempt, a UUID, by which the engine identifies the request.
	Attempt string
	// Address is ip:port.
	Address string
	Method  string
	// Path is the escaped path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// LoadName is the model name that the answer must have, and Model the name that replaces it in the answer to the
	// caller. Both are empty for plain services.
	LoadName string
	Model    string
	Stream   bool
	// Idempotent is false for a request that may run at most once.
	Idempotent bool
	// Allowed is called before the attempt and again immediately before the request is written. If it returns false,
	// the request isn't written. It must not block.
	Allowed func() bool
}

// Result is the result of an attempt.
type Result struct {
	Execution Execution
	// Complete is true if the complete answer was received.
	Complete bool
	// Started is true if a part of the answer was written to the sink.
	Started bool
	Status  int
	Header  http.Header
	// Body is the complete answer, or for a stream of a non-idempotent request what was written to the sink.
	Body []byte
	// BodyDropped is true if Body is nil because it exceeded Options.AnswerLimit.
	BodyDropped bool
	Err         error
	// Settled is nil if the request certainly no longer runs on the server. Otherwise the channel is closed once the
	// engine has confirmed the cancellation, or after a bounded number of attempts or a timeout.
	Settled <-chan struct{}
	// notResumable is true if the engine answered a resume with 404 or 410.
	notResumable bool
}

// Sink receives the events of a stream.
type Sink interface {
	// Write writes the text of one event without buffering it. An error means that the caller has disconnected.
	Write(event []byte) error
}

// Options are the timeouts and limits of a Client.
type Options struct {
	ConnectTimeout time.Duration
	// StreamIdleTimeout is the idle timeout after which a stream is resumed on a new connection.
	StreamIdleTimeout time.Duration
	// ResumeLimit bounds the number of consecutive resumes that yield no new data.
	ResumeLimit int
	// AnswerIdleTimeout is the time without an answer that is not a stream after which the engine's stream is read too.
	AnswerIdleTimeout time.Duration
	// AnswerTimeout bounds the wait for an answer that is not a stream.
	AnswerTimeout time.Duration
	// AnswerLimit bounds the size in bytes of an answer that is not a stream, and of Result.Body.
	AnswerLimit int
	// SettleTimeout is how long a non-idempotent request whose connection broke still counts as running.
	SettleTimeout time.Duration
}

const (
	cancelTimeout  = 2 * time.Second
	cancelAttempts = 3
	// lateReadDelay covers a request that the engine reads only after it has answered a resume with 404 or 410.
	lateReadDelay        = 500 * time.Millisecond
	cancelRetryDelay     = 500 * time.Millisecond
	resumeBackoff        = 50 * time.Millisecond
	maximumResumeBackoff = time.Second
)

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	options  Options
	pooled   *upstream.Transport
	unpooled *upstream.Transport
}

// NewClient returns a Client with its own connection pool.
func NewClient(options Options) *Client {
	return &Client{
		options:  options,
		pooled:   upstream.NewTransport(options.ConnectTimeout, false),
		unpooled: upstream.NewTransport(options.ConnectTimeout, true),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do makes one attempt. The end of ctx means that the caller has disconnected: it cancels an idempotent request on the
// engine, while a non-idempotent one runs to completion.
func (c *Client) Do(ctx context.Context, request *Request, sink Sink) Result {
	if ctx.Err() != nil {
		return notRun(failure.New(CallerDisconnected, "start attempt", request.Address, "caller is gone"))
	}
	if !request.Allowed() {
		return notRun(failure.New(PermitEnded, "start attempt", request.Address, upstream.ErrNotAllowed.Error()))
	}
	runCtx := ctx
	if !request.Idempotent {
		runCtx = context.WithoutCancel(ctx)
	}
	result := c.run(runCtx, request, sink)
	if request.LoadName != "" && result.Execution == Unknown && !result.Complete {
		result.Settled = c.settle(request, result.notResumable)
	}
	return result
}

func (c *Client) run(ctx context.Context, request *Request, sink Sink) Result {
	if request.Stream {
		return c.stream(ctx, request, sink)
	}
	return c.nonStreaming(ctx, request)
}

func notRun(err error) Result { return Result{Execution: NotRun, Err: err} }

// open sends the request and returns the response, whose body has not been read yet.
func (c *Client) open(ctx context.Context, request *Request) (*http.Response, Result) {
	trial := &upstream.RequestTrace{}
	httpRequest, err := newHTTPRequest(trial.WithTrace(ctx, request.Allowed), request)
	if err != nil {
		return nil, notRun(failure.Wrap(err, failure.Invalid, "build request", request.Address))
	}
	transport := c.pooled
	if !request.Idempotent {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(httpRequest)
	if err == nil {
		upstream.VerifyEnd(response, "")
		return response, Result{}
	}
	code := failure.Unavailable
	if trial.Refused() {
		code = PermitEnded
	}
	return nil, Result{Execution: execution(trial), Err: failure.Wrap(err, code, "send request", request.Address)}
}

// settle handles a request that may still run on the server, and returns the channel for Result.Settled. An idempotent
// request is cancelled. A non-idempotent one is not, and counts as running until a timeout.
func (c *Client) settle(request *Request, notResumable bool) <-chan struct{} {
	settled := make(chan struct{})
	if !request.Idempotent {
		delay := c.options.SettleTimeout
		if notResumable {
			delay = min(delay, lateReadDelay)
		}
		time.AfterFunc(delay, func() { close(settled) })
		return settled
	}
	go func() {
		defer close(settled)
		for range cancelAttempts {
			if c.cancel(request) {
				return
			}
			delay.For(context.Background(), cancelRetryDelay)
		}
	}()
	return settled
}

// cancel cancels the request on the engine and reports whether the engine confirmed it. Status 404 counts as confirmed,
// as the request has then already ended.
func (c *Client) cancel(request *Request) bool {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	url := "http://" + request.Address + "/v1/requests/" + request.Attempt + "/cancel"
	cancel, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	response, err := c.unpooled.RoundTrip(cancel)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices || response.StatusCode == http.StatusNotFound
}

// resume requests the events of the stream after number last on a new connection.
func (c *Client) resume(ctx context.Context, request *Request, last int64) (*http.Response, error) {
	url := "http://" + request.Address + "/v1/requests/" + request.Attempt + "/stream"
	resume, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resume.Header.Set("Accept", upstream.EventStream)
	if last >= 0 {
		resume.Header.Set("Last-Event-ID", strconv.FormatInt(last, 10))
	}
	return c.unpooled.RoundTrip(resume)
}

// execution returns NotRun only if certainly no byte of the request was written.
func execution(trial *upstream.RequestTrace) Execution {
	if trial.Written() {
		return Unknown
	}
	return NotRun
}
