package forward

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against events that follow the latest one and are taken for something else, and against others that pass.
func TestContinuationHasTheNextEvent(t *testing.T) {
	for _, c := range []struct {
		sent []string
		next string
		ok   bool
	}{
		{[]string{"1", "2"}, "id: 3\ndata: x\n\nid: 4\ndata: x\n\n", true},
		{[]string{"1", "2"}, "id: 3\r\ndata: x\r\n\r\n", true},
		{[]string{"1", "2"}, ": comment\n\nwaxwingcleat-weight-versions: 7\nid: 3\ndata: x\n\n", true},
		{[]string{"5", "10"}, "data: x\nid: 15\n\n", true},
		{[]string{"1", "2", "4"}, "id: 7\n\n", true},
		{[]string{"7"}, "id: 9\n\n", true},
		{[]string{"a", "b"}, "id: c\n\n", true},
		{[]string{"1", "2"}, "id: 4\n\n", false},
		{[]string{"1", "2"}, "id: 2\n\n", false},
		{[]string{"1", "2"}, "id: c\n\n", false},
		{[]string{"7"}, "id: 7\n\n", false},
		{[]string{"1", "2"}, "data: x\n\nid: 3\n\n", false},
		{[]string{"1", "2"}, "id: 3\n\nHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false},
	} {
		g := gomega.NewWithT(t)
		s := &stream{resumed: true}
		for _, id := range c.sent {
			s.ids.note(id)
		}
		if err := s.checkContinuation([]byte(c.next)); c.ok {
			g.Expect(err).NotTo(gomega.HaveOccurred(), strconv.Quote(c.next))
		} else {
			g.Expect(err).To(gomega.MatchError(errNoContinuation), strconv.Quote(c.next))
		}
	}
}
