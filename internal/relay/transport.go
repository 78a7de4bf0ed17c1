package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// newHTTPRequest returns the HTTP request to a server. For a non-idempotent request GetBody is nil, so that net/http
// can't send the body twice.
func newHTTPRequest(ctx context.Context, r *Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = forwardedHeaders(r.Header)
	request.Header.Set("X-Request-Id", r.Attempt)
	if len(r.Body) == 0 {
		return request, nil
	}
	body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
	request.Body, _ = body()
	request.ContentLength = int64(len(r.Body))
	if r.Idempotent {
		request.GetBody = body
	}
	return request, nil
}

// idempotencyKeyHeaders aren't forwarded, because net/http treats a request with one of them as replayable.
var idempotencyKeyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// gatewayHeaderPrefix is the prefix of headers that are addressed to the gateway and aren't forwarded.
const gatewayHeaderPrefix = "Waxwing-"

// forwardedHeaders returns the headers that are forwarded to a server.
func forwardedHeaders(header http.Header) http.Header {
	forwarded := upstream.WithoutHopHeaders(header)
	for _, name := range idempotencyKeyHeaders {
		forwarded.Del(name)
	}
	forwarded.Del("Idempotency-Key-Time")
	for name := range forwarded {
		if strings.HasPrefix(name, gatewayHeaderPrefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}
