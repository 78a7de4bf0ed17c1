package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// defaultMaxTokens is vLLM's default.
const defaultMaxTokens = 16

// noToken is the number of the last token of a caller that has received none.
const noToken = -1

// completionBody holds the fields of a request's body that the engine reads.
type completionBody struct {
	Model     api.LoadName     `json:"model"`
	Prompt    string           `json:"prompt"`
	Messages  []tokens.Message `json:"messages"`
	MaxTokens *int             `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+vllm.PathCompletions, func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST "+vllm.PathChatCompletions, func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET "+vllm.PathModels, e.models)
	mux.HandleFunc("POST "+vllm.PathLoad, e.load)
	mux.HandleFunc("POST "+vllm.PathUnload, e.unload)
	mux.HandleFunc("POST "+vllm.PathRole, e.setRole)
	mux.HandleFunc("GET "+vllm.PathReport, e.report)
	mux.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.cancel)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var body completionBody
	if !decode(w, r, &body) {
		return
	}
	accepted, refusal := newRequest(r, body, chat)
	if refusal == nil {
		refusal = e.submit(accepted)
	}
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	if body.Stream {
		stream(w, r, accepted, noToken)
		return
	}
	answerComplete(w, r, accepted)
}

func newRequest(r *http.Request, body completionBody, chat bool) (*request, *vllm.Error) {
	limit := defaultMaxTokens
	if body.MaxTokens != nil {
		limit = *body.MaxTokens
	}
	if limit < 1 {
		return nil, invalid("max_tokens must be at least 1")
	}
	priority, err := priorityOf(r)
	if err != nil {
		return nil, invalid("header " + vllm.HeaderPriority + " must be an integer")
	}
	id := r.Header.Get(vllm.HeaderRequestID)
	if id == "" {
		id = ident.New()
	}
	prompt := body.Prompt
	if chat {
		prompt = tokens.ChatPrompt(body.Messages)
	}
	adapter, version := tokens.SplitLoadName(body.Model)
	return &request{
		id: id, model: body.Model, priority: priority, chat: chat, limit: limit, created: time.Now(),
		texts: tokens.NewSequence(adapter, version, prompt), progress: newProgress(),
	}, nil
}

// submit puts a request into the queue, or refuses it without running it.
func (e *Engine) submit(r *request) *vllm.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.core.loaded(r.model) && string(r.model) != e.options.BaseModel {
		e.counts.NotLoaded++
		return notLoaded(r.model)
	}
	if e.core.requests[r.id] != nil {
		e.counts.Duplicates++
		return &vllm.Error{
			Status: http.StatusConflict, Code: vllm.CodeDuplicateRequest,
			Message: fmt.Sprintf("request %q is known already", r.id),
		}
	}
	e.core.submit(r)
	adapter, version := tokens.SplitLoadName(r.model)
	e.counts.Requests[adapter+"@"+version]++
	e.signalWork()
	return nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	last := noToken
	if header := r.Header.Get(vllm.HeaderLastEventID); header != "" {
		number, err := strconv.Atoi(header)
		if err != nil || number < 0 {
			refuse(w, invalid("header "+vllm.HeaderLastEventID+" must be a token number"))
			return
		}
		last = number
	}
	found, refusal := e.find(r.PathValue("id"))
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	e.mu.Lock()
	e.counts.Resumed++
	e.mu.Unlock()
	stream(w, r, found, last)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	found, refusal := e.find(r.PathValue("id"))
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	e.mu.Lock()
	e.counts.Cancelled += e.core.end(e.clock(), endCancelled, func(other *request) bool { return other == found })
	e.mu.Unlock()
	generated, end := found.progress.state()
	writeJSON(w, http.StatusOK, cancelAnswer{ID: found.id, Tokens: generated, Cancelled: end == endCancelled})
}

// cancelAnswer is the answer to a cancel order.
type cancelAnswer struct {
	ID string `json:"id"`
	// Tokens is the number of generated tokens.
	Tokens int `json:"tokens"`
	// Cancelled is false when the request had already ended.
	Cancelled bool `json:"cancelled"`
}

func (e *Engine) find(id string) (*request, *vllm.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.core.requests[id]
	if found == nil {
		return nil, &vllm.Error{
			Status: http.StatusNotFound, Code: vllm.CodeUnknownRequest, Message: fmt.Sprintf("request %q is unknown", id),
		}
	}
	return found, nil
}

func invalid(message string) *vllm.Error {
	return &vllm.Error{Status: http.StatusBadRequest, Code: vllm.CodeInvalid, Message: message}
}

func priorityOf(r *http.Request) (int, error) {
	header := r.Header.Get(vllm.HeaderPriority)
	if header == "" {
		return 0, nil
	}
	return strconv.Atoi(header)
}
