package connset

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against fields of a next head that net/http has buffered and that aren't measured once the request before it has ended.
func TestBufferedFieldsAreMeasuredAtTheNextHead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	fields := strings.Repeat("x:\r\n", 100)
	const atLeast = 100 * fieldBytes
	for name, play := range map[string]func(h *head){
		"behind a head": func(h *head) {
			h.add([]byte(request+fields), bufferedBytes)
			h.next()
		},
		"a byte is read while the request is processed": func(h *head) {
			h.add([]byte(request+fields), bufferedBytes)
			h.isComplete = true
			h.add([]byte("x"), 1)
			h.next()
		},
		"behind two requests": func(h *head) {
			h.add([]byte(request+request+fields), bufferedBytes)
			h.next()
			h.isComplete = true
			h.next()
		},
		"behind a body of unknown length": func(h *head) {
			h.add([]byte(request), bufferedBytes)
			h.isComplete, h.bodyBytes = true, -1
			h.add([]byte("1\r\nx\r\n0\r\n\r\n"+fields), bufferedBytes)
			h.next()
		},
	} {
		g := gomega.NewWithT(t)
		h := &head{}
		play(h)
		g.Expect(h.size).To(gomega.BeNumerically(">=", atLeast), name)
	}
}

// Guards against lines of a body that count as a head, although its length says that no byte of a next request has come.
func TestLinesOfABodyAreNoFields(t *testing.T) {
	g := gomega.NewWithT(t)
	body := strings.Repeat("\n", 100)
	h := &head{}
	h.add([]byte("GET / HTTP/1.1\r\n\r\n"+body[:50]), bufferedBytes)
	h.isComplete, h.bodyBytes = true, int64(len(body))
	h.add([]byte(body[50:]), bufferedBytes)
	h.next()
	g.Expect(h.size).To(gomega.BeZero())
}
