// Package relay makes one attempt at a backend server: it sends the request, passes the answer on, resumes a broken
// stream, and says whether the request ran.
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

// Execution says what is known of whether a request ran.
type Execution string

// What is known of whether a request ran.
const (
	NotRun  Execution = "not_run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Codes of failed attempts.
const (
	// NotLoaded means that the engine doesn't hold the load.
	NotLoaded failure.Code = "not_loaded"
	// WrongModel means that the answer named another load than the request.
	WrongModel failure.Code = "wrong_model"
	// TooLarge means that the answer exceeds the bound.
	TooLarge failure.Code = "answer_too_large"
	// Broken means that the answer broke off and could not be resumed.
	Broken failure.Code = "answer_broken"
	// Refused means that the permit ended before the request was written.
	Refused failure.Code = "permit_ended"
	// CallerGone means that the caller closed its connection.
	CallerGone failure.Code = "caller_gone"
)

// Request is one attempt.
type Request struct {
	// Attempt is the ID of the attempt, a UUID, which the engine knows the request by.
	Attempt string
	// Address is ip:port.
	Address string
	Method  string
	// Path is the escaped path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// LoadName is the name that the answer must carry, and Model the name that the caller gets instead. Both are
	// empty for plain services.
	LoadName string
	Model    string
	Stream   bool
	// Idempotent is false for a request that may run at most once.
	Idempotent bool
	// Allowed is asked just before the request is written. It must not block.
	Allowed func() bool
}

// Result is what became of an attempt.
type Result struct {
	Execution Execution
	// Complete is true when the whole answer was obtained.
	Complete bool
	// Started is true when a part of the answer was handed to the sink.
	Started bool
	Status  int
	Header  http.Header
	// Body is the whole answer, or for a stream of a non-idempotent request what was handed to the sink.
	Body []byte
	// BodyLost is true when Body was too large to keep.
	BodyLost bool
	Err      error
	// Settled is nil when the request is known to be over at the server. Otherwise it may still run there, and the
	// channel is closed when the engine has confirmed a cancel, or when waiting any longer is of no use.
	Settled <-chan struct{}
	// forgotten is true when the engine answered that it doesn't know the request.
	forgotten bool
}

// Sink takes a stream.
type Sink interface {
	// Write takes the text of one event and passes it on at once. An error means that the caller is gone.
	Write(event []byte) error
}

// Options are the bounds of a client.
type Options struct {
	ConnectTimeout time.Duration
	// Silence is after how long without data a stream is resumed on a new connection.
	Silence time.Duration
	// ResumeLimit bounds the resumes in a row that bring no new data.
	ResumeLimit int
	// AnswerSilence is after how long without an answer that is not a stream the engine's stream is followed too.
	AnswerSilence time.Duration
	// AnswerTimeout bounds the wait for a whole answer that is not a stream.
	AnswerTimeout time.Duration
	// AnswerLimit bounds the bytes of a whole answer.
	AnswerLimit int
	// SettleTimeout is how long a non-idempotent request whose connection was lost counts as still running.
	SettleTimeout time.Duration
}

const (
	cancelTimeout = 2 * time.Second
	cancelTries   = 3
	// forgottenDelay covers a request that an engine reads only after it has said that it doesn't know it.
	forgottenDelay     = 500 * time.Millisecond
	cancelPause        = 500 * time.Millisecond
	resumePause        = 50 * time.Millisecond
	maximumResumePause = time.Second
)

// Client makes attempts. Its methods may be called from any goroutine.
type Client struct {
	options Options
	shared  *http.Transport
	fresh   *http.Transport
}

// NewClient returns a client with its own connections.
func NewClient(options Options) *Client {
	return &Client{
		options: options,
		shared:  upstream.NewTransport(options.ConnectTimeout, false),
		fresh:   upstream.NewTransport(options.ConnectTimeout, true),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do makes one attempt. For an idempotent request the end of ctx means that the caller is gone, and the engine is told
// to stop; a non-idempotent one runs to its end whatever becomes of ctx.
func (c *Client) Do(ctx context.Context, request *Request, sink Sink) Result {
	if ctx.Err() != nil {
		return notRun(failure.New(CallerGone, "start attempt", request.Address, "caller is gone"))
	}
	if !request.Allowed() {
		return notRun(failure.New(Refused, "start attempt", request.Address, upstream.ErrNotAllowed.Error()))
	}
	running := ctx
	if !request.Idempotent {
		running = context.WithoutCancel(ctx)
	}
	result := c.run(running, request, sink)
	if request.LoadName != "" && result.Execution == Unknown && !result.Complete {
		result.Settled = c.settle(request, result.forgotten)
	}
	return result
}

func (c *Client) run(ctx context.Context, request *Request, sink Sink) Result {
	if request.Stream {
		return c.stream(ctx, request, sink)
	}
	return c.whole(ctx, request)
}

func notRun(err error) Result { return Result{Execution: NotRun, Err: err} }

// open sends the request and returns the head of the answer.
func (c *Client) open(ctx context.Context, request *Request) (*http.Response, Result) {
	t := &upstream.Trial{}
	httpRequest, err := newHTTPRequest(t.Traced(ctx, request.Allowed), request)
	if err != nil {
		return nil, notRun(failure.Wrap(err, failure.Invalid, "build request", request.Address))
	}
	transport := c.shared
	if !request.Idempotent {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(httpRequest)
	if err == nil {
		return response, Result{}
	}
	code := failure.Unavailable
	if t.Refused() {
		code = Refused
	}
	return nil, Result{Execution: execution(t), Err: failure.Wrap(err, code, "send request", request.Address)}
}

// settle ends what an attempt may have left running. An idempotent request is cancelled; a non-idempotent one runs on.
func (c *Client) settle(request *Request, forgotten bool) <-chan struct{} {
	settled := make(chan struct{})
	if !request.Idempotent {
		delay := c.options.SettleTimeout
		if forgotten {
			delay = min(delay, forgottenDelay)
		}
		time.AfterFunc(delay, func() { close(settled) })
		return settled
	}
	go func() {
		defer close(settled)
		for range cancelTries {
			if c.cancel(request) {
				return
			}
			delay.For(context.Background(), cancelPause)
		}
	}()
	return settled
}

// cancel tells the engine that the request is no longer wanted and reports whether it confirmed that. Not found counts
// as confirmed: the request is over.
func (c *Client) cancel(request *Request) bool {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	url := "http://" + request.Address + "/v1/requests/" + request.Attempt + "/cancel"
	cancel, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	response, err := c.fresh.RoundTrip(cancel)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices || response.StatusCode == http.StatusNotFound
}

// resume asks for the rest of the stream on a new connection.
func (c *Client) resume(ctx context.Context, request *Request, last int64) (*http.Response, error) {
	url := "http://" + request.Address + "/v1/requests/" + request.Attempt + "/stream"
	resume, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resume.Header.Set("Accept", "text/event-stream")
	if last >= 0 {
		resume.Header.Set("Last-Event-ID", strconv.FormatInt(last, 10))
	}
	return c.fresh.RoundTrip(resume)
}

// execution returns NotRun only when it's certain that no byte of the request was written.
func execution(t *upstream.Trial) Execution {
	if t.Written() {
		return Unknown
	}
	return NotRun
}
