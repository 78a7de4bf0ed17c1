package forward

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against complete streams that count as truncated because of their line terminators or of how reads split them.
func TestEndOfEventIsFoundForAllLineEndsAndReads(t *testing.T) {
	for text, whole := range map[string]bool{
		"data: a\n\n": true, "data: a\r\n\r\n": true, "data: a\r\r": true, "data: a\n\r\n": true,
		"": false, "data: a": false, "data: a\n": false, "data: a\r\n": false, "data: a\n\nid: 2": false, "\n": false,
	} {
		for size := 1; size <= len(text)+1; size++ {
			var tail []byte
			for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				tail = lastBytes(tail, rest[:min(size, len(rest))])
			}
			gomega.NewWithT(t).Expect(endsWithBlankLine(tail)).To(gomega.Equal(whole), "%q in reads of %d", text, size)
		}
	}
}
