package forward

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against bytes that count as events without being any, and against events that don't count because of their line ends or
// of how reads split them.
func TestOnlyEventsEndTheCountOfBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		text string
		left int
	}{
		{"id: 1\ndata: x\n\n", 0}, {"data: x\r\n\r\n", 1}, {"data: x\r\r", 0}, {"id: 1\n\nid: 2\n", 6}, {"data: x\n", 8},
		{"\n\n\n\n", 4}, {": x\n\n: y\n\n", 10}, {": x\ndata: y\n\n", 0}, {"\r\r\n\n", 4}, {"", 0},
	} {
		for size := 1; size <= len(c.text)+1; size++ {
			meter, left := eventMeter{}, 0
			for rest := c.text; rest != ""; rest = rest[min(size, len(rest)):] {
				left = meter.add([]byte(rest[:min(size, len(rest))]))
			}
			g.Expect(left).To(gomega.Equal(c.left), "%q in reads of %d", c.text, size)
		}
	}
	meter := eventMeter{}
	g.Expect(meter.add([]byte(strings.Repeat(": x\n\n", 1000)))).To(gomega.Equal(5000))
}
