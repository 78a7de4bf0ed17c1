package serving

import (
	"net/http"
	"time"
)

// CallerRequest is a caller's request as decoded from its headers.
type CallerRequest struct {
	// ID identifies one attempt of the caller; it is forwarded to the server unchanged.
	ID string
	// Adapter is zero for plain services.
	Adapter Adapter
	// PromptTokens and OutputTokens are the caller's figures for the length of the prompt and the maximum length of the
	// output.
	PromptTokens int
	OutputTokens int
	// TokensNamed is true when the caller gives these figures.
	TokensNamed bool
	// SharedParts holds the IDs of the parts of the prompt that other requests may have too: all but the last one, without
	// repetitions.
	SharedParts []string
	// Timeout is the caller's timeout for the answer; zero if it gives none.
	Timeout time.Duration
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream; empty if the caller doesn't
	// resume one or doesn't say so.
	Resumes string
	// Credential is what the caller presents as its API key.
	Credential Credential
}

// Attempt holds the parameters of one send of a request to a server.
type Attempt struct {
	// ServerID makes any other server at the address refuse the request.
	ServerID string
	// Remaining is the time until the request's deadline; zero means no deadline.
	Remaining time.Duration
	// Priority is the rank by which the server admits requests, 0 the most urgent; negative leaves it unset.
	Priority int
	// AdapterVersion makes a server with another version refuse the request; zero leaves it unset.
	AdapterVersion int
	// LastEventID makes the server resume the stream after that event; empty leaves the caller's value.
	LastEventID string
	// Customer is the name of the request's customer; empty without one.
	Customer string
	// Authenticated is true when the configuration has customers; the server must then not get the caller's credential.
	Authenticated bool
}

// AnswerInfo is the information about a request in the headers of a server's answer.
type AnswerInfo struct {
	// NotRun is true when the server states that the request has not run and will not run.
	NotRun bool
	// Misdirected is true when the server isn't the one addressed, or doesn't hold the adapter or version.
	Misdirected bool
	// RequestID is the ID of the request that the answer belongs to; empty if the answer carries none.
	RequestID string
	// HasDigest is true when the answer carries the digest that servers put on the answers they produce themselves.
	HasDigest bool
	// Notice is what the server says about itself.
	Notice ServerNotice
}

// ServerNotice is what a server says about itself in one of its answers.
type ServerNotice struct {
	// Limit is the rate of requests that the server accepts from all nodes together.
	Limit NamedRate
	// Tolerance is the rate of requests that the server can reject for want of room without falling over.
	Tolerance NamedRate
	// Leaving is true when the server says that it is about to end.
	Leaving bool
	// Rest is how long a server that rejected the request wants no others from this node; zero if it doesn't say.
	Rest time.Duration
	// Invalid holds the errors of values about leaving and rest that can't be used; they say nothing.
	Invalid []error
}

// NamedRate is a rate that a server names in one of its answers.
type NamedRate struct {
	// Named is true when the answer names a valid rate.
	Named bool
	// PerSecond is the rate in requests a second.
	PerSecond float64
	// Invalid is set when the answer names a rate that can't be used; the answer then says nothing about it.
	Invalid error
}

// BelongsTo reports whether the answer may be that of a request. An answer without an ID may be that of any.
func (a AnswerInfo) BelongsTo(requestID string) bool {
	return a.RequestID == "" || a.RequestID == requestID
}

// Refusal is an answer that the node produces itself instead of forwarding one.
type Refusal struct {
	Status int
	// NotRun is true when the request has not run and will not run.
	NotRun bool
	// RetryAfter is the time after which the caller should retry; zero omits it.
	RetryAfter time.Duration
	Reason     string
}

// Wire converts between the HTTP messages of callers and servers and the types of this package.
type Wire interface {
	// DecodeRequest reads the headers of a caller's request.
	DecodeRequest(r *http.Request) (CallerRequest, error)
	// ServerHeader returns the headers of one attempt, derived from the caller's.
	ServerHeader(caller http.Header, request CallerRequest, attempt Attempt) http.Header
	// PeerHeader returns the caller's headers for a request that is passed to another node of the site. authenticated is
	// that of Attempt.
	PeerHeader(caller http.Header, authenticated bool) http.Header
	// DecodeAnswer reads the headers of a server's answer.
	DecodeAnswer(answer *http.Response) AnswerInfo
	// WriteRefusal answers the caller with a refusal.
	WriteRefusal(w http.ResponseWriter, request CallerRequest, refusal Refusal)
}
