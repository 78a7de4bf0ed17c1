package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// received returns the target and the host that a server reads when a caller sends the given target to it through a node. ok is
// false if the caller gets 400.
func received(target string) (read, host string, ok bool) {
	const head = "GET %s HTTP/1.1\r\nHost: site.example\r\n\r\n"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Replace(head, "%s", target, 1))))
	if err != nil || request.RequestURI != target {
		return "", "", false
	}
	j := &job{r: request}
	if j.target, ok = targetOf(request); !ok {
		return "", "", false
	}
	var sent bytes.Buffer
	if err := j.outgoing("127.0.0.1:80", http.Header{}).Write(&sent); err != nil {
		return "", "", false
	}
	line, rest, _ := strings.Cut(sent.String(), "\r\n")
	fields, _, _ := strings.Cut(rest, "\r\n")
	return strings.TrimSuffix(strings.TrimPrefix(line, "GET "), " HTTP/1.1"), fields, true
}

// Guards against requests that reach a server with another path or host than their callers sent: a path that begins with two
// slashes became a host and a path.
func TestTargetsReachServersUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "//", "///", "//reports/7", "//reports/7?page=2", "///a//b//", "//evil.example/x", "//evil.example:80/x", "//user@evil/x",
		"/a/./b/../c", "//../x", "/a%2Fb", "//a%2Fb%2f", "/a;b=c,d", "//a;b", "/?", "/a?", "//a?", "//a??b=/c//d", "/a?b#c", "/%41", "//%41",
		"/a\xc3\xa9", "/a|b\"c", "/*", "//*", "/a:b", "//a:b", "//[::1]/x", "/http://evil.example/x", "/" + strings.Repeat("a/", 4000),
		"//" + strings.Repeat("a/", 4000),
	} {
		g := gomega.NewWithT(t)
		read, host, ok := received(target)
		g.Expect(ok).To(gomega.BeTrue(), "%.80q", target)
		g.Expect(read).To(gomega.Equal(target))
		g.Expect(host).To(gomega.Equal("Host: site.example"), "%.80q", target)
	}
}

// Guards against targets that can't be sent as they are and reach a server in another form.
func TestTargetsThatCannotBeSentAreRefused(t *testing.T) {
	for _, target := range []string{"//a\xc3\xa9", "//a|b", "//a\"b", "*", "a", "//a%zz", "/a%zz", "/a b"} {
		_, _, ok := received(target)
		gomega.NewWithT(t).Expect(ok).To(gomega.BeFalse(), "%q", target)
	}
}

// Guards against a request in absolute form that is refused or reaches a server with its host in the path.
func TestAbsoluteTargetsBecomePaths(t *testing.T) {
	g := gomega.NewWithT(t)
	for sent, path := range map[string]string{
		"http://site.example/a?b": "/a?b", "http://site.example": "/", "http://site.example?b": "/?b", "http://site.example//a": "//a",
	} {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + sent + " HTTP/1.1\r\nHost: site.example\r\n\r\n")))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		j := &job{r: request}
		var ok bool
		j.target, ok = targetOf(request)
		g.Expect(ok).To(gomega.BeTrue(), sent)
		out := j.outgoing("127.0.0.1:80", http.Header{})
		g.Expect(out.URL.RequestURI()).To(gomega.Equal(path), sent)
		g.Expect(out.Host).To(gomega.Equal("site.example"))
	}
}

// FuzzTarget checks that a server reads what the caller sent, or that the caller gets 400.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "//a/b?c", "///", "/a%2Fb", "//a%2Fb", "/?", "/a#b", "/\xff", "//\xff"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") {
			return
		}
		read, host, ok := received(target)
		if ok && (read != target || host != "Host: site.example") {
			t.Fatalf("%q: the server reads %q, %q", target, read, host)
		}
	})
}
