package forward

import (
	"net/http"
	"net/url"
	"strings"
)

// requestTarget is the target of a request as its caller sent it, in origin form (RFC 9112, section 3.2.1). Routes match the path
// as it was sent: a percent-encoded slash is a part of a segment, for the route as for the server.
type requestTarget struct {
	path, query string
	// hasQuery is true for a target with a question mark, after which the query may be empty.
	hasQuery bool
}

// targetOf returns the target of a request. ok is false for targets that name no path, as that of OPTIONS *, and for paths that
// net/http can't send as they are.
func targetOf(r *http.Request) (target requestTarget, ok bool) {
	sent := r.RequestURI
	if sent == "" {
		// The request wasn't read from a connection.
		sent = r.URL.RequestURI()
	}
	if !strings.HasPrefix(sent, "/") {
		// The absolute form names the host before the path. net/http has taken it for the Host header.
		_, afterScheme, found := strings.Cut(sent, "://")
		if !found || r.Method == http.MethodConnect {
			return target, false
		}
		sent = afterScheme[strings.IndexAny(afterScheme+"/", "/?"):]
		if !strings.HasPrefix(sent, "/") {
			sent = "/" + sent
		}
	}
	target.path, target.query, target.hasQuery = strings.Cut(sent, "?")
	return target, target.url("").RequestURI() == sent
}

// url returns the URL of the target at a server. Its RequestURI is the target as it was sent.
func (t requestTarget) url(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: t.query, ForceQuery: t.hasQuery}
	if !strings.HasPrefix(t.path, "//") {
		// Opaque preserves any encoding of the path.
		u.Opaque = t.path
		return u
	}
	// In Opaque, a path that begins with two slashes would become a host and a path.
	u.RawPath = t.path
	if path, err := url.PathUnescape(t.path); err == nil {
		u.Path = path
	}
	return u
}
