package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var requestNumber atomic.Int64

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("r%06d", requestNumber.Add(1)) }

// streamCall is one stream of a client, over all its attempts.
type streamCall struct {
	rec     *record
	adapter string
	// prompt is the body of all attempts.
	prompt string
	// begunBy is the ID of the attempt that brought the first event.
	begunBy string
	last    int
	// versions holds the software versions that made the events, in the order of their first event.
	versions []string
	complete bool
	deadline time.Time
	// quiet keeps the attempts out of the record.
	quiet bool
}

// adapterName returns the adapter of the client with a number.
func adapterName(number, adapters int) string { return fmt.Sprintf("a%d", 1+number%adapters) }

// answer is how an attempt ended.
type answer struct {
	id         string
	status     int
	events     int
	err        error
	retryAfter time.Duration
}

// attempt sends the request, or takes the stream up after its last event, on a new connection.
func (c *streamCall) attempt(ctx context.Context, n *node, path string) answer {
	a := answer{id: newID()}
	if c.prompt == "" {
		c.prompt = "prompt of " + a.id
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+path, strings.NewReader(c.prompt))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set(names["requestID"], a.id)
	request.Header.Set(names["model"], baseModel+"/"+c.adapter)
	request.Header.Set(names["tokens"], "800,60")
	request.Header.Set(names["prefix"], "5c1e07a2:400,"+strconv.FormatInt(time.Now().UnixNano(), 16)+":400")
	request.Header.Set(names["deadline"], strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.last > 0 {
		request.Header.Set(names["lastEvent"], strconv.Itoa(c.last))
		request.Header.Set(names["resumes"], c.begunBy)
	}
	if !c.quiet {
		c.rec.add("client sends %s to %s: adapter %s, after event %d of %q", a.id, n.name, c.adapter, c.last, c.begunBy)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	result, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		if c.quiet {
			return a
		}
		c.rec.add("client: %s ends without an answer: %v", a.id, err)
		return a
	}
	defer func() { _ = result.Body.Close() }()
	a.status = result.StatusCode
	if seconds, err := strconv.ParseFloat(result.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.status == http.StatusOK && result.Header.Get(names["digest"]) != "" {
		a.events, a.err = c.readEvents(a.id, result)
	}
	if !c.quiet {
		c.rec.add("client: %s gets %d, %d events up to %d, error %v", a.id, a.status, a.events, c.last, a.err)
	}
	return a
}

// readEvents reads the events of an answer.
func (c *streamCall) readEvents(id string, result *http.Response) (count int, err error) {
	lines := bufio.NewScanner(result.Body)
	number, version := 0, ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			number, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		case strings.HasPrefix(line, "data: "):
			version = line[strings.LastIndex(line, "software ")+len("software "):]
			version, _, _ = strings.Cut(version, " ")
		case line == "" && number > 0:
			if c.last == 0 {
				c.begunBy = id
			}
			if len(c.versions) == 0 || c.versions[len(c.versions)-1] != version {
				c.rec.add("client: stream of %s gets event %d from software %s", c.begunBy, number, version)
				c.versions = append(c.versions, version)
			}
			c.last = number
			count++
			number = 0
		}
	}
	if err := lines.Err(); err != nil {
		return count, err
	}
	c.complete = true
	return count, nil
}

// mixed reports whether the stream has events of two software versions.
func (c *streamCall) mixed() bool {
	for _, version := range c.versions {
		if version != c.versions[0] {
			return true
		}
	}
	return false
}
