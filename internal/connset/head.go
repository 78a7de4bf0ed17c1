package connset

import (
	"bytes"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/event"
)

const (
	// exemptHeadBytes is the memory that the head of each connection's request may take in any case.
	exemptHeadBytes = 8 << 10
	// fieldBytes estimates the memory of a header field beside its name and value.
	fieldBytes = 128
	// bufferedBytes is the size of the buffer through which net/http reads a connection.
	bufferedBytes = 4096
)

// CallersHeads begins the names of the metrics of the budget of callers' heads.
const CallersHeads = "callers.heads"

// NewHeadBudget returns a budget of so many bytes for the heads of requests, beside 8 KB of each, which several sets may share. Its
// metrics begin with name.
func NewHeadBudget(name string, bytes int64) *bytelimit.Budget {
	return bytelimit.NewBudget(name, bytes, exemptHeadBytes)
}

// head estimates the memory of a request's head from the bytes of its connection, since net/http builds the fields of a head before any
// handler sees it.
type head struct {
	// size is the estimate for the bytes that have arrived.
	size int
	// lineBytes is the length of the last line so far.
	lineBytes int
	// isComplete is true when the head has ended.
	isComplete bool
	// bodyBytes is the announced length of the body behind the head, negative if it isn't known.
	bodyBytes int64
	// behindBytes counts the bytes that were received behind the head. behind is the estimate for those of them that net/http may have
	// buffered, if they are the head of a next request.
	behindBytes int64
	behind      int
	// isPipelined is true if the connection may have brought bytes of a request before the one before it had ended.
	isPipelined bool
}

// add measures bytes that were read into a buffer of the given size.
func (h *head) add(data []byte, bufferSize int) {
	if !h.isComplete {
		h.behind = 0
		data = h.measure(data)
		if !h.isComplete {
			return
		}
	}
	h.behindBytes += int64(len(data))
	switch {
	case bufferSize == 1:
		// While a request is processed, net/http reads one byte to notice that the caller leaves.
		h.behind += memoryOf(data)
	case bufferSize > bufferedBytes:
		// The body is read past net/http's buffer.
		h.behind = 0
	default:
		h.behind = memoryOf(data)
	}
}

// measure measures bytes of the head up to its end, and returns those behind it.
func (h *head) measure(data []byte) (behind []byte) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.size += len(data)
			h.lineBytes += len(bytes.TrimSuffix(data, []byte("\r")))
			return nil
		}
		h.size += fieldBytes + end + 1
		length := h.lineBytes + len(bytes.TrimSuffix(data[:end], []byte("\r")))
		h.lineBytes = 0
		data = data[end+1:]
		if length == 0 {
			h.isComplete = true
			return data
		}
	}
	return nil
}

// memoryOf estimates the memory of bytes that are fields of a head.
func memoryOf(data []byte) int { return bytes.Count(data, []byte("\n"))*fieldBytes + len(data) }

// next begins the head of a next request, of which net/http may have buffered a part.
func (h *head) next() {
	isPipelined := h.isPipelined || h.behindBytes > h.bodyBytes
	behind := 0
	if isPipelined {
		behind = h.behind
	}
	*h = head{size: behind, behind: behind, lineBytes: h.lineBytes, isPipelined: behind > 0}
}

// holdHead takes room for the head of a connection's request. Connections that wait for their callers yield if there is too little; if
// none does, the connection is closed, and holdHead returns false.
func (s *Set) holdHead(c *conn, size int) (ok bool) {
	if size <= exemptHeadBytes || s.growHead(c, size) {
		return true
	}
	refusedHeads.Inc(1)
	s.refusedHeads.Emit(s.options.Events, event.HeadRefused, event.Fields{"caller": c.RemoteAddr().String(), "memory": size})
	c.discard()
	c.untrack()
	return false
}

// growHead takes room for a head of the given size. It returns false if there is none, or if the connection is no longer tracked.
func (s *Set) growHead(c *conn, size int) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.conns[c]; !found {
		return false
	}
	holdsRoom := func(other *conn) bool { return other != c && other.headRoom.Taken() > 0 }
	for !c.headRoom.GrowAlone(size) {
		if !s.yieldOne(time.Now(), holdsRoom) {
			return false
		}
	}
	return true
}
