package serving

import (
	"net/http"
	"time"
)

// CallerRequest is what a caller asks for, decoded from the headers of its request.
type CallerRequest struct {
	// ID identifies one attempt of the caller; it is passed on to the server unchanged.
	ID string
	// Adapter is zero for plain services.
	Adapter Adapter
	// PromptTokens and OutputTokens are the caller's figures for the prompt and the longest output.
	PromptTokens int
	OutputTokens int
	// Patience is how long the caller waits for the answer; zero when it doesn't say.
	Patience time.Duration
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	// ServerID makes any other server at the address refuse the request.
	ServerID string
	// Remaining is the time left for the answer; zero means no bound.
	Remaining time.Duration
	// Priority is the rank that the server admits by, 0 the most urgent; negative leaves it unset.
	Priority int
	// AdapterVersion makes a server with another version refuse the request; zero leaves it unset.
	AdapterVersion int
	// LastEventID makes the server resume the stream after that event; empty leaves the caller's value.
	LastEventID string
}

// AnswerInfo is what the headers of a server's answer say about the request.
type AnswerInfo struct {
	// NotRun is true when the server states that the request has not run and won't.
	NotRun bool
	// Misdirected is true when the server isn't the one named, or doesn't hold the adapter or version.
	Misdirected bool
	// RequestID names the request that the answer belongs to; empty when it says nothing.
	RequestID string
	// Genuine is true when the answer carries the digest of a server's own answer.
	Genuine bool
}

// Refusal is an answer of the node's own.
type Refusal struct {
	Status int
	// NotRun is true when the request has not run and won't.
	NotRun bool
	// RetryAfter is when the caller should come back; zero leaves it out.
	RetryAfter time.Duration
	Reason     string
}

// Wire translates between HTTP messages of callers and servers and the types of this package.
type Wire interface {
	// DecodeRequest reads the headers of a caller's request.
	DecodeRequest(r *http.Request) (CallerRequest, error)
	// ServerHeader returns the headers of one attempt, made from the caller's.
	ServerHeader(caller http.Header, request CallerRequest, attempt Attempt) http.Header
	// DecodeAnswer reads the headers of a server's answer.
	DecodeAnswer(answer *http.Response) AnswerInfo
	// WriteRefusal answers the caller without a server's answer.
	WriteRefusal(w http.ResponseWriter, request CallerRequest, refusal Refusal)
}
