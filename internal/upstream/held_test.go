package upstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
)

// Guards against answers that are cut at a bound or at the end of a buffer, and against larger ones that count as whole.
func TestReadHeldReturnsWholeAnswersUpToTheLimit(t *testing.T) {
	const limit = 20 << 10
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8192, limit - 1} {
		body := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			g := gomega.NewWithT(t)
			data, err := ReadHeld(iotest.OneByteReader(strings.NewReader(body)), length, limit, bytelimit.NewBudget("test", 0, limit).Hold())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(data)).To(gomega.Equal(body))
		}
	}
	g := gomega.NewWithT(t)
	endless := io.MultiReader(bytes.NewReader(make([]byte, limit)), iotest.ErrReader(errors.New("read beyond the limit")))
	data, err := ReadHeld(endless, -1, limit, bytelimit.NewBudget("test", 0, limit).Hold())
	g.Expect(err).To(gomega.MatchError(ErrTooLarge))
	g.Expect(data).To(gomega.HaveLen(limit))
	_, err = ReadHeld(bytes.NewReader(make([]byte, limit)), -1, limit, bytelimit.NewBudget("test", 0, 10<<10).Hold())
	g.Expect(err).To(gomega.MatchError(ErrNoMemory))
	_, err = ReadHeld(iotest.ErrReader(iotest.ErrTimeout), -1, limit, bytelimit.NewBudget("test", 0, limit).Hold())
	g.Expect(err).To(gomega.MatchError(iotest.ErrTimeout))
}

// Guards against large answers that come in faster than the pace, together, and against sound ones that wait.
func TestOnlyLargeAnswersArePaced(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	sound := allowance{startedAt: now}
	g.Expect(sound.exceededBy(now, unpacedBytes)).To(gomega.BeZero())
	g.Expect(sound.exceededBy(now.Add(time.Second), unpacedPerSecond)).To(gomega.BeZero(), "a long stream of small events")
	flood := allowance{startedAt: now}
	flood.exceededBy(now, unpacedBytes)
	for range 10 {
		g.Expect(flood.exceededBy(now, maximumRead)).To(gomega.Equal(maximumRead))
	}
	pacer, paced := bytelimit.NewPacer("test", 1), make(chan bool, 1)
	closed := make(chan struct{})
	g.Expect(pacer.Wait(bytelimit.PacerBurst, closed)).To(gomega.BeTrue())
	go func() { paced <- pacer.Wait(maximumRead, closed) }()
	g.Consistently(paced, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(closed)
	g.Eventually(paced).Should(gomega.Receive(gomega.BeFalse()), "a read waits after its connection was closed")
}

// Guards against ends of events that are missed when bytes are searched once as they arrive.
func TestEventsEndIsFoundInNewBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"id: 1\ndata: x\n\nid: 2\n", "data: x\r\n\r\nid", "data: x\r\ry", "data: x\n\r\n", "\n\ndata"} {
		for split := range len(text) {
			if EventsEnd([]byte(text[:split]), 0) > 0 {
				break
			}
			g.Expect(EventsEnd([]byte(text), split)).To(gomega.Equal(EventsEnd([]byte(text), 0)), "%q after %d", text, split)
		}
	}
}
