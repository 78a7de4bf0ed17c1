package gateway

import (
	"fmt"
	"net/http"
	"path"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// middleware assigns each request its ID, rejects unclean paths and requests above the limit, and recovers from panics
// of the handlers.
func (g *Gateway) middleware(next http.Handler) http.Handler {
	requests := metrics.GetOrRegisterCounter("gateway.requests", nil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Inc(1)
		id := ident.New()
		w.Header().Set(headerRequestID, id)
		if !isCleanPath(r.URL.Path) {
			refusal(http.StatusBadRequest, codeInvalidPath, "the path has empty or dot segments").write(w, id)
			return
		}
		requestCount := g.inProgress.Add(1)
		defer g.inProgress.Add(-1)
		if requestCount > int64(g.settings.MaximumRequests) {
			p := refusal(http.StatusServiceUnavailable, codeOverloaded, "the gateway holds %d requests already", g.settings.MaximumRequests)
			p.retryAfter = g.jitteredRetryDelay()
			p.write(w, id)
			return
		}
		defer g.recoverPanic(w, id)
		next.ServeHTTP(w, r)
	})
}

// recoverPanic logs a panic of the handler and has net/http abort the connection. http.ErrAbortHandler, by which a
// broken stream is aborted, isn't logged.
func (g *Gateway) recoverPanic(w http.ResponseWriter, id string) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		g.components.Events.Emit(event.HandlerPanicked, event.Fields{
			"request": id, "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
		})
	}
	panic(http.ErrAbortHandler)
}

// isCleanPath reports whether the decoded path has no empty and no dot segments. The gateway and a service could
// interpret a path with such segments as different calls.
func isCleanPath(decoded string) bool {
	clean := path.Clean(decoded)
	return decoded == clean || decoded == clean+"/"
}

func requestID(w http.ResponseWriter) string { return w.Header().Get(headerRequestID) }

func (g *Gateway) notFound(w http.ResponseWriter, _ *http.Request) {
	refusal(http.StatusNotFound, codeNotFound, "no such path").write(w, requestID(w))
}

func (g *Gateway) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	refusal(http.StatusMethodNotAllowed, codeMethodNotAllowed, "%s is not allowed here", r.Method).write(w, requestID(w))
}

// completions returns the handler for model calls on path. Their body must contain the field required.
func (g *Gateway) completions(path, required string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, p := g.modelCall(w, r, path, required)
		defer c.release()
		if p != nil {
			p.write(w, requestID(w))
			return
		}
		g.serve(w, r, c)
	}
}

// modelCall reads and checks a model call. The call is to be released, also if there is a problem.
func (g *Gateway) modelCall(w http.ResponseWriter, r *http.Request, path, required string) (*call, *problem) {
	c := &call{id: requestID(w), arrived: g.components.Now(), method: http.MethodPost, path: path, header: http.Header{}}
	if p := checkJSONType(r.Header); p != nil {
		return nil, p
	}
	body, p := g.readBody(w, r)
	if p != nil {
		return nil, p
	}
	c.setBody(body)
	parsed, p := g.parse(c.body, required)
	if p != nil {
		return c, p
	}
	view, p := g.view()
	if p != nil {
		return c, p
	}
	adapter, target, p := parsed.resolve(view)
	if p != nil {
		return c, p
	}
	c.target, c.baseModel = target, adapter.Spec.BaseModel
	c.model, c.modelField, c.stream = parsed.model, parsed.field, parsed.stream
	if p := g.parseCommonHeaders(c, view, r.Header, adapter.Spec.PriorityClass); p != nil {
		return c, p
	}
	c.header.Set("Content-Type", contentTypeJSON)
	c.header.Set("X-Priority", fmt.Sprint(c.class.Rank))
	if !c.nonIdempotent {
		return c, nil
	}
	// The key is scoped to the adapter and not to the version, as the default version may change between two retries.
	c.key, p = g.ledgerKey(r.Header, path+" "+parsed.adapter)
	return c, p
}

// parse is parseModelCall, a few at a time: what it allocates is a multiple of the body.
func (g *Gateway) parse(body []byte, required string) (modelCall, *problem) {
	g.parsing <- struct{}{}
	defer func() { <-g.parsing }()
	return parseModelCall(body, required)
}

// view returns the configuration, or a problem if none has been received yet.
func (g *Gateway) view() (*resource.View, *problem) {
	view := g.components.Config.View()
	if view == nil {
		p := refusal(http.StatusServiceUnavailable, codeNotReady, "the configuration is not known yet")
		p.retryAfter = g.jitteredRetryDelay()
		return nil, p
	}
	return view, nil
}

// parseCommonHeaders reads the headers that model calls and service calls have in common.
func (g *Gateway) parseCommonHeaders(c *call, view *resource.View, header http.Header, resourceClass string) *problem {
	var p *problem
	if c.class, p = classFor(view, header, resourceClass); p != nil {
		return p
	}
	c.class.Batch = c.class.Batch.ScaledBy(g.settings.StallWeight)
	if c.deadline, p = parseDeadline(header, c.arrived); p != nil {
		return p
	}
	c.nonIdempotent, p = parseNonIdempotent(header)
	return p
}

// service handles a call of a plain service.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	c, p := g.serviceCall(w, r)
	defer c.release()
	if p != nil {
		p.write(w, requestID(w))
		return
	}
	g.serve(w, r, c)
}

// serviceMethods are the methods that are forwarded to plain services.
var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

func (g *Gateway) serviceCall(w http.ResponseWriter, r *http.Request) (*call, *problem) {
	if !serviceMethods[r.Method] {
		return nil, refusal(http.StatusMethodNotAllowed, codeMethodNotAllowed, "%s is not allowed here", r.Method)
	}
	view, p := g.view()
	if p != nil {
		return nil, p
	}
	name := r.PathValue("name")
	service := view.Services[name]
	if service == nil {
		return nil, refusal(http.StatusNotFound, codeServiceNotFound, "service %q is not declared", name)
	}
	c := &call{id: requestID(w), arrived: g.components.Now(), method: r.Method, header: r.Header}
	c.target = routing.Target{Service: name}
	c.path = servicePath(r)
	if p := g.parseCommonHeaders(c, view, r.Header, service.Spec.PriorityClass); p != nil {
		return nil, p
	}
	decoded := "/" + r.PathValue("path")
	c.nonIdempotent = c.nonIdempotent || declaredNonIdempotent(service, r.Method, decoded)
	if c.nonIdempotent {
		if c.key, p = g.ledgerKey(r.Header, "service/"+name+" "+r.Method+" "+decoded); p != nil {
			return nil, p
		}
		c.header = r.Header.Clone()
		c.header.Set("X-Request-Key", r.Header.Get(headerKey))
	}
	body, p := g.readBody(w, r)
	if p != nil {
		return nil, p
	}
	c.setBody(body)
	return c, nil
}

// servicePath returns the escaped path after the service's name, with the query.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, rest, _ = strings.Cut(rest, "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

func declaredNonIdempotent(service *resource.Service, method, decoded string) bool {
	for _, declared := range service.Spec.NonIdempotent {
		if strings.EqualFold(declared.Method, method) && strings.HasPrefix(decoded, declared.PathPrefix) {
			return true
		}
	}
	return false
}

// claimProblem returns the answer for a verdict other than Claimed and Completed.
func claimProblem(verdict ledger.Verdict, retryAfter time.Duration) *problem {
	p := refusal(http.StatusServiceUnavailable, codeClaimUnavailable, "no claim could be recorded: %s", verdict.Reason)
	p.retryAfter = max(verdict.RetryAfter, retryAfter)
	switch verdict.State {
	case ledger.InProgress:
		p = refusal(http.StatusConflict, codeInProgress, "a request with this key is in progress")
		p.execution, p.retryAfter = relay.Unknown, max(verdict.RetryAfter, defaultRetryAfter)
	case ledger.Expired:
		p = refusal(http.StatusBadRequest, codeKeyExpired, "the key is older than the lifetime of keys")
	case ledger.Unknown:
		p = refusal(http.StatusConflict, codeOutcomeUnknown, "an earlier request with this key may have run; it is never repeated")
		p.execution = relay.Unknown
	}
	return p
}
