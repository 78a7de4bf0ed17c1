package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// newHTTPRequest builds a request to a server. GetBody stays nil for a non-idempotent one, so that net/http can't
// send its body twice.
func newHTTPRequest(ctx context.Context, r *Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = forwardable(r.Header)
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

// keyHeaders make net/http take a request for one that it may replay, so that they aren't forwarded.
var keyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

const ownHeaderPrefix = "Waxwing-"

// forwardable returns the headers that go to a server.
func forwardable(header http.Header) http.Header {
	forwarded := upstream.WithoutHopHeaders(header)
	for _, name := range keyHeaders {
		forwarded.Del(name)
	}
	forwarded.Del("Idempotency-Key-Time")
	for name := range forwarded {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}
