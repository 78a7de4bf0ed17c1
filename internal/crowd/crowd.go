// Package crowd plays callers that don't behave, for tests: many connections at once on which scripts write what they like, and the
// memory and descriptors that the process under test takes meanwhile.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Script writes what one caller sends. number tells the callers apart. It returns when the caller has nothing more to send, or with
// the error of a write, which means that the process has closed the connection.
type Script func(conn io.Writer, number int) error

// Crowd is a set of callers with open connections.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	// done is closed once all scripts have returned.
	done chan struct{}
}

// Options describe a crowd.
type Options struct {
	Address string
	Callers int
	Script  Script
	// Reads makes the callers read what the process writes; others leave it unread.
	Reads bool
}

// connecting bounds the connections that are opened at the same time, below the length of the queue of a listener.
const connecting = 256

// Start connects the callers and starts their scripts. A caller that can't connect sends nothing.
func Start(options Options) *Crowd {
	c := &Crowd{done: make(chan struct{})}
	var group errgroup.Group
	connect := make(chan struct{}, connecting)
	for number := range options.Callers {
		group.Go(func() error {
			connect <- struct{}{}
			conn, err := (&net.Dialer{Timeout: 10 * time.Second}).Dial("tcp", options.Address)
			<-connect
			if err != nil {
				return nil
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if options.Reads {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			// An error means that the process has closed the connection, as it may.
			_ = options.Script(conn, number)
			return nil
		})
	}
	go func() {
		_ = group.Wait()
		close(c.done)
	}()
	return c
}

// Wait waits until all scripts have returned, or ctx ends. Connections stay open.
func (c *Crowd) Wait(ctx context.Context) {
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Head returns the head of a request to POST a body.
func Head(path string, fields ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%s\r\n\r\n", path, strings.Join(fields, "\r\n"))
}

// StoppedHead returns the head of a request to POST a body without its end; fields are whole lines.
func StoppedHead(path, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: site.example\r\n%s", path, fields)
}

// ManyFields returns as many lines of header fields as so many bytes hold, with names of their own.
func ManyFields(bytes int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < bytes; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return fields.String()
}

// ContentLength returns the header field of a body of so many bytes.
func ContentLength(bytes int) string { return fmt.Sprintf("Content-Length: %d", bytes) }

// Chunked is the header field of a body in chunks.
const Chunked = "Transfer-Encoding: chunked"

// written is what a script writes at once.
const written = 64 << 10

// Fill writes so many bytes of a body.
func Fill(conn io.Writer, bytes int) error {
	block := []byte(strings.Repeat("x", written))
	for ; bytes > 0; bytes -= written {
		if _, err := conn.Write(block[:min(bytes, written)]); err != nil {
			return err
		}
	}
	return nil
}

// FillChunks writes so many bytes of a body in chunks of the given size.
func FillChunks(conn io.Writer, bytes, size int) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	perWrite := max(written/len(chunk), 1)
	block := []byte(strings.Repeat(chunk, perWrite))
	for left := bytes / size; left > 0; left -= perWrite {
		if _, err := conn.Write(block[:min(left, perWrite)*len(chunk)]); err != nil {
			return err
		}
	}
	return nil
}
