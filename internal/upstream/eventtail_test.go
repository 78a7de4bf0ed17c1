package upstream

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against complete streams that count as truncated because of their line terminators or of how reads split them.
func TestEndOfEventIsFoundForAllLineEndsAndReads(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "data: a\n\n": false, "data: a\r\n\r\n": false, "data: a\r\r": false, "data: a\n\r\n": false,
		"data: a": true, "data: a\n": true, "data: a\r\n": true, "data: a\n\nid: 2": true, "\n": true,
	} {
		for size := 1; size <= len(text)+1; size++ {
			var tail eventTail
			for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				tail.add(rest[:min(size, len(rest))])
			}
			gomega.NewWithT(t).Expect(tail.endsInsideEvent()).To(gomega.Equal(inside), "%q in reads of %d", text, size)
		}
	}
}

// Guards against complete events that are held back because their lines don't end with LF.
func TestCompleteEventsEndWithAnyBlankLine(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, end := range []string{"\n", "\r", "\r\n"} {
		event := "id: 1" + end + "data: x" + end + end
		g.Expect(EventsEnd([]byte(event+"id: 2"+end), 0)).To(gomega.Equal(len(event)), "%q", end)
		g.Expect(EventsEnd([]byte(event+event), 0)).To(gomega.Equal(2*len(event)), "%q", end)
		g.Expect(EventsEnd([]byte("id: 1"+end+"data: x"), 0)).To(gomega.BeZero(), "%q", end)
	}
}
