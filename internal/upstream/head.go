package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// MalformedError is returned for bytes of a server that are no answer in HTTP/1. The server may have run the request.
type MalformedError struct {
	// Reason quotes no bytes of the server, as callers get it.
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "the answer is malformed: " + e.Reason }

const (
	faultStatusLine = "the status line isn't one of HTTP/1 with a status from 200 to 599"
	faultName       = "the name of a field isn't a token"
	faultValue      = "the value of a field has an invalid byte"
	faultLine       = "a line of the head isn't a field"
	faultFraming    = "the fields that delimit the body contradict each other"
	faultEarly      = "the head came before the request"
)

// statusLine matches status lines of HTTP/1. The blank before a reason that is missing may be missing too.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( |$)`)

// checkedLineBytes is how much of each line is checked, at least. The rest is part of a value, whose bytes net/http checks, or of a
// name, which can't become a known one.
const checkedLineBytes = 1 << 10

// headConn checks the heads of answers as their bytes arrive. net/http hides parts of them: it keeps names that hold blanks, and drops
// a Content-Length or Transfer-Encoding that contradicts the framing that it chose. The connection is closed at the first fault,
// before net/http can use it for another request.
type headConn struct {
	net.Conn

	mu sync.Mutex
	// inHead is set from the beginning of a request until the end of the answer's head.
	inHead bool
	line   []byte
	head   head
	// fault is set once a head was malformed.
	fault string
}

// begin expects the head of the answer to a new request.
func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.line, c.head = true, c.line[:0], head{}
}

// verdict returns why the head of an answer is malformed, empty if it isn't. parsed is set if net/http has taken it for a whole one.
func (c *headConn) verdict(parsed bool) (fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if parsed && c.inHead && c.fault == "" {
		c.fault = faultEarly
	}
	return c.fault
}

// Read implements net.Conn.
func (c *headConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.check(data[:n]) != "" {
		// net/http sees the end of the connection, and the fault is what is reported.
		_ = c.Conn.Close()
	}
	return n, err
}

// check handles bytes that arrived, and returns the fault that they show.
func (c *headConn) check(data []byte) (fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.inHead && c.fault == "" && len(data) > 0 {
		part, rest, ended := bytes.Cut(data, []byte{'\n'})
		if len(c.line) < checkedLineBytes {
			c.line = append(c.line, part...)
		}
		data = rest
		if !ended {
			break
		}
		line := strings.TrimSuffix(string(c.line), "\r")
		c.line = c.line[:0]
		c.inHead, c.fault = c.head.next(line)
	}
	return c.fault
}

// head is the part of an answer's head that has been read.
type head struct {
	status string
	// old is set for HTTP/1.0.
	old bool
	// fields, lengths and encodings count the fields, and those that delimit the body.
	fields, lengths, encodings int
}

// next checks the next line. more is false after the last one of the head of a final answer.
func (h *head) next(line string) (more bool, fault string) {
	switch {
	case h.status == "":
		return true, h.begin(line)
	case line != "":
		return true, h.field(line)
	case h.encodings > 0 && (h.old || h.lengths > 0):
		return true, faultFraming
	case h.status[0] == '1':
		*h = head{}
		return true, ""
	}
	return false, ""
}

func (h *head) begin(line string) (fault string) {
	if !statusLine.MatchString(line) || !httpguts.ValidHeaderFieldValue(line) {
		return faultStatusLine
	}
	h.old, h.status = line[7] == '0', line[9:12]
	if h.status == "101" {
		// No request asks for another protocol.
		return faultStatusLine
	}
	return ""
}

func (h *head) field(line string) (fault string) {
	h.fields++
	if line[0] == ' ' || line[0] == '\t' {
		// HTTP allows to join folded lines, as net/http does. The first one has none before it.
		if h.fields == 1 {
			return faultLine
		}
		return valueFault(line)
	}
	name, value, found := strings.Cut(line, ":")
	switch {
	case !found:
		return faultLine
	case !httpguts.ValidHeaderFieldName(name):
		return faultName
	case strings.EqualFold(name, "Content-Length"):
		h.lengths++
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.encodings++
	}
	return valueFault(value)
}

func valueFault(value string) (fault string) {
	if !httpguts.ValidHeaderFieldValue(value) {
		return faultValue
	}
	return ""
}

// Transport is an http.Transport that returns a MalformedError for an answer that isn't one, and never uses its connection again.
// Connections with TLS aren't checked.
type Transport struct{ *http.Transport }

// CheckHeads returns a Transport that checks the answers which transport gets.
func CheckHeads(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return checkHeads(conn), nil
	}
	return &Transport{transport}
}

// checkHeads returns conn with a check of the heads of answers.
func checkHeads(conn net.Conn) net.Conn { return &headConn{Conn: conn} }

// headConnOf returns the part of a connection that checks heads, nil if it has none.
func headConnOf(conn net.Conn) *headConn {
	if gated, ok := conn.(*gatedConn); ok {
		conn = gated.Conn
	}
	checked, _ := conn.(*headConn)
	return checked
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var latest atomic.Pointer[headConn]
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := headConnOf(info.Conn)
		latest.Store(conn)
		if conn != nil {
			conn.begin()
		}
	}})
	answer, err := t.Transport.RoundTrip(request.WithContext(traced))
	conn := latest.Load()
	if conn == nil {
		return answer, err
	}
	fault := conn.verdict(err == nil)
	if fault == "" {
		return answer, err
	}
	// Both ends of the answer are of no use, and so are errors.
	_ = conn.Close()
	if err == nil {
		_ = answer.Body.Close()
	}
	return nil, &MalformedError{Reason: fault}
}
